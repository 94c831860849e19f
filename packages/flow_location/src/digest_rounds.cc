#include "flow_location/digest_rounds.h"

#include <algorithm>

#include "schema/flow_key.h"

namespace sesamesaddle {
namespace {

// Bounds the backoff of queries within the time of a search.
constexpr size_t kMaxBackoffDoublings = 2;
// An agent that leaves more queries unanswered is down; a reply to an older
// query is ignored.
constexpr size_t kMaxOutstanding = 8;
// States of agents kept beyond the number of listed ones.
constexpr size_t kMaxRemovedAgents = 64;

bool Contains(const std::vector<schema::FlowKey>& keys, const Flow& flow) {
  return std::any_of(keys.begin(), keys.end(),
                     [&flow](const auto& key) { return FromKey(key) == flow; });
}

}  // namespace

std::vector<DigestQuery> DigestRounds::Start(
    TimePoint now, const std::vector<WaitingSearch>& searches,
    TargetDirectory& directory) {
  if (round_ == 0) {
    // A reply to an earlier process at this address may still arrive, so its
    // numbers must not be used again: the clock advances faster than rounds.
    number_base_ = static_cast<uint32_t>(now.time_since_epoch() /
                                         std::chrono::milliseconds(1));
  }
  next_start_ = now;
  std::vector<DigestQuery> queries = Select(now, searches, directory);
  if (queries.empty()) {
    next_start_ += kRoundTimeout;
    return queries;
  }
  ++round_;
  ++counters_.rounds;
  in_progress_ = true;
  started_ = now;
  unanswered_ = 0;
  summary_ = DigestRoundSummary();
  summary_.round = round_;
  summary_.searches = searches.size();
  ForgetRemovedAgents(directory);
  RecordQueries(now, queries);
  return queries;
}

std::vector<DigestQuery> DigestRounds::Continue(
    TimePoint now, const std::vector<WaitingSearch>& searches,
    TargetDirectory& directory) {
  // Later searches need digests of the next round.
  std::vector<WaitingSearch> of_round;
  for (const WaitingSearch& waiting : searches) {
    if (waiting.search->first_digest_round <= round_) {
      of_round.push_back(waiting);
    }
  }
  std::vector<DigestQuery> queries = Select(now, of_round, directory);
  RecordQueries(now, queries);
  return queries;
}

std::vector<DigestQuery> DigestRounds::Select(
    TimePoint now, const std::vector<WaitingSearch>& searches,
    TargetDirectory& directory) {
  std::vector<DigestQuery> queries;
  QueryServices(now, searches, directory, queries);
  QueryOtherAgents(now, searches, directory, queries);
  return queries;
}

void DigestRounds::RecordQueries(TimePoint now,
                                 const std::vector<DigestQuery>& queries) {
  if (queries.empty()) return;
  for (const DigestQuery& query : queries) {
    AgentState& state = agents_[query.agent->agent];
    const size_t doublings =
        std::min(state.outstanding.size(), kMaxBackoffDoublings);
    state.next_query = now + kRetryDelay * (1 << doublings);
    if (state.outstanding.size() == kMaxOutstanding) {
      state.outstanding.erase(state.outstanding.begin());
    }
    state.outstanding.push_back(round_);
    state.named = query.named;
  }
  last_queries_ = now;
  // On average kAgentsPerRound queries per kRoundTimeout, so that flows that
  // arrive one after another do not cost a query to all agents each time.
  next_start_ = std::min(next_start_ + kRoundTimeout, started_ + kMaxRoundTime);
  unanswered_ += queries.size();
  summary_.agents += queries.size();
  counters_.queries += static_cast<int64_t>(queries.size());
}

void DigestRounds::SortLatestFirst(Group& group) {
  std::sort(group.begin(), group.end(),
            [](const WaitingSearch& a, const WaitingSearch& b) {
              return a.search->first_digest_round >
                     b.search->first_digest_round;
            });
}

void DigestRounds::QueryServices(TimePoint now,
                                 const std::vector<WaitingSearch>& searches,
                                 TargetDirectory& directory,
                                 std::vector<DigestQuery>& queries) {
  std::map<std::string, Group> groups;
  for (const WaitingSearch& waiting : searches) {
    for (const std::string& service : waiting.search->scope.services) {
      groups[service].push_back(waiting);
    }
  }
  // Begins after the service that was served last, and within a service after
  // the agent that was queried last, so that new searches, which need all
  // agents again, do not keep others from their turn.
  auto it = groups.upper_bound(last_service_);
  for (size_t i = 0; i < groups.size(); ++i, ++it) {
    if (queries.size() == kAgentsPerRound) return;
    if (it == groups.end()) it = groups.begin();
    SortLatestFirst(it->second);
    const std::vector<AgentView*>& agents = directory.OfService(it->first);
    size_t& position = service_positions_[it->first];
    for (size_t n = 0; n < agents.size(); ++n) {
      if (queries.size() == kAgentsPerRound) break;
      AgentView& view = *agents[position++ % agents.size()];
      AddQuery(now, view, it->second, queries);
    }
    last_service_ = it->first;
  }
}

void DigestRounds::QueryOtherAgents(TimePoint now,
                                    const std::vector<WaitingSearch>& searches,
                                    TargetDirectory& directory,
                                    std::vector<DigestQuery>& queries) {
  // Agents of other services are queried after those of the flow's services.
  const bool services_done = queries.empty();
  Group group;
  for (const WaitingSearch& waiting : searches) {
    const FlowSearch& search = *waiting.search;
    if (!search.scope.any_service) continue;
    if (services_done || search.first_digest_round <= round_) {
      group.push_back(waiting);
    }
  }
  if (group.empty()) return;
  SortLatestFirst(group);
  std::set<Endpoint> selected;
  for (const DigestQuery& query : queries) selected.insert(query.agent->agent);
  for (size_t n = directory.size(); n > 0; --n) {
    if (queries.size() == kAgentsPerRound) return;
    AgentView& view = *directory.NextAfter(last_other_agent_);
    last_other_agent_ = view.agent;
    if (selected.count(view.agent) == 0) AddQuery(now, view, group, queries);
  }
}

void DigestRounds::AddQuery(TimePoint now, AgentView& view, const Group& group,
                            std::vector<DigestQuery>& queries) {
  const Endpoint& agent = view.agent;
  if (without_digest_.count(agent) != 0) return;
  int64_t answered = 0;
  if (const auto it = agents_.find(agent); it != agents_.end()) {
    if (now < it->second.next_query) return;
    answered = it->second.answered;
  }
  for (const WaitingSearch& waiting : group) {
    const FlowSearch& search = *waiting.search;
    if (search.first_digest_round <= answered) return;
    if (search.ruled_out.count(agent) != 0 || search.IsUnsure(agent) ||
        search.AwaitsReplyOf(now, agent)) {
      continue;
    }
    queries.push_back({&view, *waiting.flow});
    return;
  }
}

bool DigestRounds::NamesQueriedFlow(const AgentState& state,
                                    const schema::AgentReport& report) const {
  return Contains(report.not_held, state.named) ||
         Contains(report.unsure, state.named) ||
         Contains(report.held, state.named);
}

std::optional<int64_t> DigestRounds::OnReport(
    TimePoint now, const Endpoint& agent, const schema::AgentReport& report) {
  const auto it = agents_.find(agent);
  if (it == agents_.end() || it->second.outstanding.empty()) {
    if (report.__isset.digest) ++counters_.unmatched;
    return std::nullopt;
  }
  AgentState& state = it->second;
  if (!report.__isset.digest) {
    if (!NamesQueriedFlow(state, report)) return std::nullopt;
    ++counters_.without_digest;
    if (in_progress_ && state.outstanding.back() == round_) {
      ++summary_.without_digest;
    }
    OnReply(state);
    state.outstanding.clear();
    state.next_query = TimePoint();
    state.without_digest_until = now + kWithoutDigestPeriod;
    without_digest_.insert(agent);
    return std::nullopt;
  }
  const auto match = std::find_if(
      state.outstanding.begin(), state.outstanding.end(),
      [&](int64_t round) { return ToNumber(round) == report.digest.query; });
  if (match == state.outstanding.end()) {
    ++counters_.unmatched;
    return std::nullopt;
  }
  const int64_t round = *match;
  ++counters_.digests;
  if (in_progress_ && round == round_) ++summary_.digests;
  if (round == state.outstanding.back()) OnReply(state);
  // The digest was made after the queries of all rounds up to this one.
  state.outstanding.erase(state.outstanding.begin(), match + 1);
  if (state.outstanding.empty()) state.next_query = TimePoint();
  state.answered = std::max(state.answered, round);
  return round;
}

void DigestRounds::OnReply(const AgentState& state) {
  if (in_progress_ && state.outstanding.back() == round_) --unanswered_;
}

std::optional<DigestRoundSummary> DigestRounds::EndIfOver(TimePoint now) {
  if (!in_progress_) return std::nullopt;
  if (unanswered_ > 0 && now - last_queries_ < kRoundTimeout) {
    return std::nullopt;
  }
  in_progress_ = false;
  summary_.took = now - started_;
  return summary_;
}

void DigestRounds::ExpireWithoutDigest(TimePoint now) {
  for (auto it = without_digest_.begin(); it != without_digest_.end();) {
    const auto state = agents_.find(*it);
    const bool expired =
        state == agents_.end() || now >= state->second.without_digest_until;
    it = expired ? without_digest_.erase(it) : std::next(it);
  }
}

void DigestRounds::ForgetRemovedAgents(TargetDirectory& directory) {
  if (agents_.size() <= directory.size() + kMaxRemovedAgents) return;
  for (auto it = agents_.begin(); it != agents_.end();) {
    it = directory.Find(it->first) == nullptr ? agents_.erase(it)
                                              : std::next(it);
  }
}

}  // namespace sesamesaddle
