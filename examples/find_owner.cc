// Selects the home agents of 1000 flows by rendezvous hashing, as a balancer
// does, and counts the flows whose first home agent changes when an agent
// joins. Only the flows that the new agent takes over are expected to change.

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
  auto agents_after_join = agents;
  agents_after_join.push_back(sesamesaddle::MakeMemberId("ordering-3", 1));
  const Endpoint service = Endpoint::Parse("127.0.1.1:5683").value();
  int moved = 0;
  constexpr int kFlows = 1000;
  for (uint32_t i = 0; i < kFlows; ++i) {
    const Flow flow{Endpoint(0x0a000000 + i, 40000), service};
    const auto before = sesamesaddle::FindHomeAgents(flow, agents);
    const auto after = sesamesaddle::FindHomeAgents(flow, agents_after_join);
    if (before.first != after.first) ++moved;
  }
  printf("%d of %d flows have a new first home\n", moved, kFlows);
  return 0;
}
