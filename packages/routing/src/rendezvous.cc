#include "routing/rendezvous.h"

#include "core/hash.h"

namespace sesamesaddle {
namespace {

uint64_t Weight(uint64_t flow_hash, MemberId member) {
  return HashPair(flow_hash, static_cast<uint64_t>(member.value()));
}

}  // namespace

uint64_t RendezvousWeight(const Flow& flow, MemberId member) {
  return Weight(HashFlow(flow), member);
}

HomeAgents FindHomeAgents(const Flow& flow,
                          const std::vector<MemberId>& members) {
  const uint64_t flow_hash = HashFlow(flow);
  HomeAgents homes;
  uint64_t first_weight = 0;
  uint64_t second_weight = 0;
  for (const MemberId member : members) {
    const uint64_t weight = Weight(flow_hash, member);
    if (homes.first == MemberId() || weight > first_weight) {
      homes.second = homes.first;
      second_weight = first_weight;
      homes.first = member;
      first_weight = weight;
    } else if (homes.second == MemberId() || weight > second_weight) {
      homes.second = member;
      second_weight = weight;
    }
  }
  return homes;
}

}  // namespace sesamesaddle
