// The part of FlowLocator that resolves searches by digests.

#include <algorithm>
#include <vector>

#include "flow_location/flow_locator.h"

namespace sesamesaddle {
namespace {

/** Returns for how long the agent has known its target. */
Duration TargetKnownFor(const schema::AgentReport& report) {
  if (report.state == schema::TargetState::kUnknown) return Duration::zero();
  // An agent of an earlier build does not report it.
  if (!report.__isset.target_known_ms) return Duration::max();
  return std::chrono::milliseconds(report.target_known_ms);
}

}  // namespace

std::vector<WaitingSearch> FlowLocator::SearchesByDigest() const {
  std::vector<WaitingSearch> waiting;
  for (const auto& [flow, search] : searches_) {
    if (search.by_digest) waiting.push_back({&flow, &search});
  }
  return waiting;
}

void FlowLocator::StartDigestRound(TimePoint now) {
  if (!digest_rounds_.StartDue(now)) return;
  const std::vector<WaitingSearch> waiting = SearchesByDigest();
  if (waiting.empty()) return;
  SendDigestQueries(now, digest_rounds_.Start(now, waiting, directory_));
}

void FlowLocator::SendDigestQueries(TimePoint now,
                                    const std::vector<DigestQuery>& queries) {
  for (const DigestQuery& query : queries) {
    RecordQuery(now, searches_.at(query.named), query.agent->agent);
    output_.QueryDigest(now, *query.agent, query.named,
                        digest_rounds_.query_number());
  }
}

void FlowLocator::EndDigestRound(TimePoint now) {
  if (digest_rounds_.ContinueDue(now)) {
    const auto queries =
        digest_rounds_.Continue(now, SearchesByDigest(), directory_);
    SendDigestQueries(now, queries);
  }
  const auto summary = digest_rounds_.EndIfOver(now);
  if (!summary) return;
  output_.OnDigestRoundOver(*summary);
  AdvanceAll(now);
}

void FlowLocator::OnReport(TimePoint now, const Endpoint& agent,
                           const schema::AgentReport& report) {
  trust_.OnReport(now, TargetKnownFor(report));
  const bool in_progress = digest_rounds_.InProgress();
  const auto round = digest_rounds_.OnReport(now, agent, report);
  if (round) QueryListedFlows(now, agent, *round, report.digest.hashes);
  EndDigestRound(now);
  // A digest that arrives after its round may be the last one needed.
  if (round && !in_progress) AdvanceAll(now);
  StartDigestRound(now);
}

void FlowLocator::QueryListedFlows(TimePoint now, const Endpoint& agent,
                                   int64_t round,
                                   const std::vector<int32_t>& hashes) {
  AgentView* view = directory_.Find(agent);
  if (view == nullptr) return;
  for (const int32_t hash : hashes) {
    const auto range = flows_by_hash_.equal_range(hash);
    for (auto it = range.first; it != range.second; ++it) {
      const Flow& flow = it->second;
      FlowSearch& search = searches_.at(flow);
      if (search.first_digest_round > round) continue;
      search.listed.insert(agent);
      if (search.ruled_out.count(agent) != 0 || search.IsUnsure(agent) ||
          search.AwaitsReplyOf(now, agent)) {
        continue;
      }
      RecordQuery(now, search, agent);
      search.next_round = now + kRoundTimeout;
      output_.QueryAgent(now, *view, flow);
    }
  }
}

}  // namespace sesamesaddle
