// The part of FlowAgent that replies to balancers' queries for flows.

#include <cstdint>
#include <optional>
#include <vector>

#include "schema/flow_key.h"
#include "steering/flow_agent.h"

namespace sesamesaddle {
namespace {

/** Compares numbers of queries in serial number arithmetic (RFC 1982). */
bool IsLater(int32_t a, int32_t b) {
  const uint32_t ahead = static_cast<uint32_t>(a) - static_cast<uint32_t>(b);
  return static_cast<int32_t>(ahead) > 0;
}

/** Returns the size of a hash in a message: a zigzag number of 7-bit groups. */
size_t EncodedBytes(int32_t hash) {
  const auto bits = static_cast<uint32_t>(hash);
  uint32_t rest = (bits << 1) ^ (hash < 0 ? ~0U : 0U);
  size_t bytes = 1;
  while (rest >= 0x80) {
    rest >>= 7;
    ++bytes;
  }
  return bytes;
}

}  // namespace

void FlowAgent::OnQuery(TimePoint now, const Endpoint& balancer,
                        const schema::FlowQuery& query) {
  last_contact_ = now;
  BalancerState& balancer_state = RecordUrgentContact(now, balancer);
  if (query.__isset.digest_query) {
    std::optional<int32_t>& latest = balancer_state.digest_query;
    // One digest, made after all queries have arrived, replies to all of them.
    if (!latest || IsLater(query.digest_query, *latest)) {
      latest = query.digest_query;
    }
  }
  for (const schema::FlowKey& key : query.flows) {
    const Flow flow = FromKey(key);
    const auto it = flows_.find(flow);
    if (it == flows_.end()) {
      const bool sure = target_monitor_.gone() || TracksAllFlows(now);
      (sure ? balancer_state.not_held : balancer_state.unsure).push_back(flow);
    } else if (it->second.state == FlowState::kOpen) {
      balancer_state.held.push_back(flow);
    } else {
      // The SYN may have reached two targets; the flow's next packet shows
      // which one holds it.
      balancer_state.unsure.push_back(flow);
    }
  }
}

std::optional<std::vector<int32_t>> FlowAgent::DigestFlows(
    TimePoint now) const {
  if (!target_monitor_.gone() && !TracksAllFlows(now)) return std::nullopt;
  if (flows_.size() + queue_.size() > kMaxDigestFlows) return std::nullopt;
  std::vector<int32_t> hashes;
  hashes.reserve(flows_.size() + queue_.size());
  // Contains ended flows as well: late packets of them are left to the target,
  // as a reset could hit a new flow from the same port.
  for (const auto& [flow, entry] : flows_) hashes.push_back(DigestHash(flow));
  for (const QueuedSyn& syn : queue_.syns()) {
    hashes.push_back(DigestHash(syn.flow));
  }
  size_t bytes = 0;
  for (const int32_t hash : hashes) bytes += EncodedBytes(hash);
  if (bytes > kMaxDigestBytes) return std::nullopt;
  return hashes;
}

void FlowAgent::AddDigest(TimePoint now, BalancerState& balancer_state,
                          schema::AgentReport& report) {
  if (!balancer_state.digest_query) return;
  if (auto hashes = DigestFlows(now)) {
    ++counters_.digests;
    schema::FlowDigest digest;
    digest.query = *balancer_state.digest_query;
    digest.hashes = *std::move(hashes);
    report.__set_digest(digest);
  } else {
    ++counters_.digests_left_out;
  }
  balancer_state.digest_query.reset();
}

}  // namespace sesamesaddle
