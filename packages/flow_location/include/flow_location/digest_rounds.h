#ifndef SESAMESADDLE_FLOW_LOCATION_DIGEST_ROUNDS_H_
#define SESAMESADDLE_FLOW_LOCATION_DIGEST_ROUNDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "flow_location/flow_search.h"
#include "placement/target_directory.h"
#include "steering_types.h"

namespace sesamesaddle {

/** A search that takes part in a round; both must outlive the call. */
struct WaitingSearch {
  const Flow* flow;
  const FlowSearch* search;
};

/** A query for a digest of all flows of an agent's target. */
struct DigestQuery {
  AgentView* agent;
  /**
   * A flow of the round that the query names. An agent that answers for this
   * flow without a digest cannot give one; any other report may have been sent
   * before the query arrived.
   */
  Flow named;
};

/** What happened in a round, for the log. */
struct DigestRoundSummary {
  int64_t round = 0;
  /** Searches that waited when the round began. */
  size_t searches = 0;
  size_t agents = 0;
  size_t digests = 0;
  size_t without_digest = 0;
  Duration took{};
};

/** Counts since the start of the process. */
struct DigestRoundCounters {
  int64_t rounds = 0;
  int64_t queries = 0;
  /** Digests that replied to a query. */
  int64_t digests = 0;
  /** Replies of agents that cannot give a digest. */
  int64_t without_digest = 0;
  /** Digests that match no query, such as duplicates. */
  int64_t unmatched = 0;
};

/**
 * Decides which agents are asked for a digest of their flows and when, and
 * which searches a digest resolves. All searches share the queries: one query
 * per agent and round, whatever the number of flows. A round queries up to
 * kAgentsPerRound agents at once, and the next ones when all of these have
 * replied. It ends when no agent is left, or when agents have not replied for
 * kRoundTimeout; searches that begin meanwhile take part in the next one.
 *
 * A digest that replies to the query of round N denies the flows of searches
 * that began before round N, and of no others: a flow of a later search may
 * have been opened since. Nothing is concluded from an agent that does not
 * reply or gives no digest.
 *
 * It answers for the load after a restart of all processes, when each balancer
 * looks up the flows of all its clients and most of them no longer exist.
 */
class DigestRounds {
 public:
  /** Time allowed for a query and its reply between zones. */
  static constexpr Duration kRoundTimeout = std::chrono::milliseconds(20);
  /**
   * A longer round makes no further queries, so that new searches need not wait
   * for all agents of a large fleet.
   */
  static constexpr Duration kMaxRoundTime = std::chrono::milliseconds(100);
  /** Maximum number of agents queried at once. */
  static constexpr size_t kAgentsPerRound = 32;
  /**
   * An agent that has not replied is queried again after this time, then after
   * twice and four times as long.
   */
  static constexpr Duration kRetryDelay = TargetDirectory::kReplyTimeout;
  /**
   * An agent without a digest is queried by flow for this time. It becomes sure
   * of all its flows when its target starts, or a flow lifetime after its own
   * start.
   */
  static constexpr Duration kWithoutDigestPeriod = std::chrono::seconds(5);

  /** Returns the first round that can deny a flow searched from now on. */
  int64_t next_round() const { return round_ + 1; }
  int64_t round() const { return round_; }
  /** Whether agents of the current round may still reply. */
  bool InProgress() const { return in_progress_; }
  /** Whether a round may start. */
  bool StartDue(TimePoint now) const {
    return !in_progress_ && (round_ == 0 || now >= next_start_);
  }
  /**
   * Starts a round unless no agent has to be queried.
   * @return the agents to query with query_number()
   */
  std::vector<DigestQuery> Start(TimePoint now,
                                 const std::vector<WaitingSearch>& searches,
                                 TargetDirectory& directory);
  /**
   * Whether all agents queried so far have replied and further ones may be
   * queried in the same round.
   */
  bool ContinueDue(TimePoint now) const {
    return in_progress_ && unanswered_ == 0 && now - started_ < kMaxRoundTime;
  }
  /** Returns the next agents to query in this round, if any are left. */
  std::vector<DigestQuery> Continue(TimePoint now,
                                    const std::vector<WaitingSearch>& searches,
                                    TargetDirectory& directory);
  /** Returns the number of the queries of the current round. */
  int32_t query_number() const { return ToNumber(round_); }
  /**
   * Handles a report of an agent: its digest, or a reply without one.
   * @return the round that the digest replies to, or nothing if there is no
   * digest that matches a query
   */
  std::optional<int64_t> OnReport(TimePoint now, const Endpoint& agent,
                                  const schema::AgentReport& report);
  /** Ends the round if it is over; returns its summary then. */
  std::optional<DigestRoundSummary> EndIfOver(TimePoint now);

  /**
   * Whether the agent has given a digest that may deny flows whose search began
   * before that round.
   */
  bool HasDigestSince(const Endpoint& agent, int64_t round) const {
    const auto it = agents_.find(agent);
    return it != agents_.end() && it->second.answered >= round;
  }
  /** Returns the agents that give no digests and are queried by flow. */
  const std::set<Endpoint>& agents_without_digest() const {
    return without_digest_;
  }
  /** Lets agents that gave no digest be asked for one again. */
  void ExpireWithoutDigest(TimePoint now);
  const DigestRoundCounters& counters() const { return counters_; }

 private:
  struct AgentState {
    /** Latest round that the agent replied to with a digest. */
    int64_t answered = 0;
    /** Rounds whose query has no reply yet, ascending. */
    std::vector<int64_t> outstanding;
    TimePoint next_query{};
    TimePoint without_digest_until{};
    /** The flow that the latest query named. */
    Flow named;
  };
  /** Searches that an agent may resolve, the latest first. */
  using Group = std::vector<WaitingSearch>;

  int32_t ToNumber(int64_t round) const {
    return static_cast<int32_t>(number_base_ + static_cast<uint32_t>(round));
  }
  void QueryServices(TimePoint now, const std::vector<WaitingSearch>& searches,
                     TargetDirectory& directory,
                     std::vector<DigestQuery>& queries);
  void QueryOtherAgents(TimePoint now,
                        const std::vector<WaitingSearch>& searches,
                        TargetDirectory& directory,
                        std::vector<DigestQuery>& queries);
  /** Chooses the agents to query at once. */
  std::vector<DigestQuery> Select(TimePoint now,
                                  const std::vector<WaitingSearch>& searches,
                                  TargetDirectory& directory);
  /** Records that the queries of the current round are sent. */
  void RecordQueries(TimePoint now, const std::vector<DigestQuery>& queries);
  /** Adds a query to the agent if it may resolve a search of the group. */
  void AddQuery(TimePoint now, AgentView& view, const Group& group,
                std::vector<DigestQuery>& queries);
  static void SortLatestFirst(Group& group);
  bool NamesQueriedFlow(const AgentState& state,
                        const schema::AgentReport& report) const;
  void OnReply(const AgentState& state);
  void ForgetRemovedAgents(TargetDirectory& directory);

  std::unordered_map<Endpoint, AgentState> agents_;
  std::set<Endpoint> without_digest_;
  int64_t round_ = 0;
  /** Number of round 0 in queries; differs between starts of the process. */
  uint32_t number_base_ = 0;
  bool in_progress_ = false;
  TimePoint started_{};
  TimePoint next_start_{};
  TimePoint last_queries_{};
  /** Agents of the current round that have not replied. */
  size_t unanswered_ = 0;
  DigestRoundSummary summary_;
  /** Where the agents of a service were last queried, to ask all in turn. */
  std::map<std::string, size_t> service_positions_;
  std::string last_service_;
  Endpoint last_other_agent_;
  DigestRoundCounters counters_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_LOCATION_DIGEST_ROUNDS_H_
