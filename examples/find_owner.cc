// Ranks the agents of a service for some flows, as a balancer does, and shows
// that an agent that joins moves only the flows it gains.

#include <cstdio>
#include <vector>

#include "membership/member.h"
#include "routing/rendezvous.h"

int main() {
  using sesamesaddle::Endpoint;
  using sesamesaddle::Flow;
  std::vector<sesamesaddle::MemberId> agents;
  for (const char* name : {"ordering-0", "ordering-1", "ordering-2"}) {
    agents.push_back(sesamesaddle::MakeMemberId(name, 1));
  }
  auto more = agents;
  more.push_back(sesamesaddle::MakeMemberId("ordering-3", 1));
  const Endpoint service = Endpoint::Parse("127.0.1.1:5683").value();
  int moved = 0;
  constexpr int kFlows = 1000;
  for (uint32_t i = 0; i < kFlows; ++i) {
    const Flow flow{Endpoint(0x0a000000 + i, 40000), service};
    const auto before = sesamesaddle::FindHomeAgents(flow, agents);
    const auto after = sesamesaddle::FindHomeAgents(flow, more);
    if (before.first != after.first) ++moved;
  }
  printf("%d of %d flows have a new first home\n", moved, kFlows);
  return 0;
}
