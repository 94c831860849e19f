#ifndef SESAMESADDLE_FLOW_LOCATION_FLOW_LOCATOR_H_
#define SESAMESADDLE_FLOW_LOCATION_FLOW_LOCATOR_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "evidence/reset_evidence.h"
#include "flow_location/digest_rounds.h"
#include "flow_location/directory_trust.h"
#include "flow_location/flow_search.h"
#include "flow_model/packet.h"
#include "placement/target_directory.h"
#include "placement/topology.h"

namespace sesamesaddle {

/** Actions of a FlowLocator. */
class FlowLocatorOutput {
 public:
  virtual ~FlowLocatorOutput() = default;

  /** Asks the agent whether its target holds the flow. */
  virtual void QueryAgent(TimePoint now, AgentView& agent,
                          const Flow& flow) = 0;
  /**
   * Asks the agent for a digest of all its flows, and whether its target holds
   * the flow.
   * @param number  repeated in the reply
   */
  virtual void QueryDigest(TimePoint now, AgentView& agent, const Flow& flow,
                           int32_t number) = 0;
  virtual void OnDigestRoundOver(const DigestRoundSummary& round) = 0;
  /**
   * Sends the packet to be delivered only if the agent's target holds its flow.
   */
  virtual void OfferPacket(TimePoint now, AgentView& agent,
                           std::string packet) = 0;
  /**
   * Returns the services whose targets may hold the flow by the configuration
   * in force, which may be a later one than at the start of its search.
   */
  virtual SearchScope ScopeOf(TimePoint now, const Flow& flow) = 0;
  /**
   * Called when each target that could hold the flow has denied it or ended.
   */
  virtual void OnFlowDenied(TimePoint now, const Flow& flow,
                            uint32_t acknowledged,
                            const FlowDenied& evidence) = 0;
  /** Reads the entries from the store; called again while they are needed. */
  virtual void RefreshDirectory() = 0;
};

/**
 * Locates the target that holds a flow. Queries the most likely agents first.
 * When those do not answer or do not hold the flow, further ones are asked for
 * digests, which resolve all searches at once (DigestRounds); agents that give
 * no digest, and those whose digest has the flow's hash, are queried for the
 * flow. An agent that is not sure is offered the flow's packets, so that its
 * target decides: only after no agent of its round claims the flow, and a few
 * at a time, as a packet is many times the size of a query. A target that does
 * not hold the flow returns the packet at once, so no further agents are tried
 * while an offer is unanswered. A flow counts as not found only when all agents
 * that may hold it and that were listed when the search began have replied: the
 * holder may have been listed just before, and another balancer may have
 * learned of it sooner.
 *
 * It answers for the load after a restart of all processes, when each balancer
 * looks up the flows of all its clients and no agent remembers any.
 */
class FlowLocator {
 public:
  /** Time allowed for a query and its reply between zones. */
  static constexpr Duration kRoundTimeout = DigestRounds::kRoundTimeout;
  /** Time after which an offer that was not returned is taken as lost. */
  static constexpr Duration kOfferTimeout = TargetDirectory::kReplyTimeout;
  /** Maximum number of agents that are offered a flow's packets at once. */
  static constexpr size_t kOffersPerRound = 8;
  /**
   * An agent that has not replied is queried again after this time, then after
   * twice and four times as long: a query or its reply may be lost, as many are
   * when all processes start at once and links are full.
   */
  static constexpr Duration kQueryRetryDelay = TargetDirectory::kReplyTimeout;
  /** Maximum number of agents queried per round. */
  static constexpr size_t kAgentsPerRound = DigestRounds::kAgentsPerRound;
  /** Maximum number of packets buffered per flow; later ones are dropped. */
  static constexpr size_t kMaxBufferedPackets = 16;
  /** An unfinished search is dropped after this; the client retransmits. */
  static constexpr Duration kSearchTimeout = std::chrono::seconds(2);
  /**
   * The next search for a flow knows for this long which targets returned its
   * packets, so that they do not get each retransmission again.
   */
  static constexpr Duration kDenialRetention = std::chrono::seconds(15);
  /** Maximum number of flows whose denials are kept. */
  static constexpr size_t kMaxRetainedDenials = 4096;

  /** @param verification_interval  see DirectoryTrust */
  FlowLocator(Topology topology, TargetDirectory& directory,
              FlowLocatorOutput& output, Duration verification_interval)
      : topology_(std::move(topology)),
        directory_(directory),
        output_(output),
        trust_(verification_interval) {}

  /**
   * Starts a search, or adds a packet to one in progress.
   * @param likely_holders  the few agents that the flow's SYN was sent to,
   * which are offered the packet at once; if empty, agents chosen by the flow's
   * hash are queried first
   * @param ruled_out       agents that are known not to hold the flow
   */
  void Search(TimePoint now, const Flow& flow, const PacketHeader& header,
              std::string packet, const std::vector<Endpoint>& likely_holders,
              const std::vector<Endpoint>& ruled_out);
  /**
   * Returns the sequence number of the packet that started the search for the
   * flow, or nothing if there is none.
   */
  std::optional<uint32_t> ClientSequenceOf(const Flow& flow) const;
  /**
   * Ends the search because the holder is found.
   * @return the buffered packets that were not offered to the holder
   */
  std::vector<std::string> CompleteSearch(const Flow& flow,
                                          const Endpoint& holder);
  /** Handles an agent's reply that it is not sure. */
  void OnUnsure(TimePoint now, const Flow& flow, const Endpoint& agent);
  /** Handles an agent's reply that its target doesn't hold the flow. */
  void OnNotHeld(TimePoint now, const Flow& flow, const Endpoint& agent);
  /** Handles the digest of a report, after the report's lists of flows. */
  void OnReport(TimePoint now, const Endpoint& agent,
                const schema::AgentReport& report);
  /**
   * Handles a report of a living agent that the directory lacks, whose target
   * may hold any flow.
   */
  void OnUnlistedReport(TimePoint now, const Endpoint& agent) {
    trust_.OnUnlistedReport(now, agent);
  }
  /** What is known of the completeness of the directory. */
  DirectoryTrust& trust() { return trust_; }
  const DirectoryTrust& trust() const { return trust_; }
  /**
   * Called when the directory holds all entries that the store listed at
   * `as_of` or later.
   */
  void OnDirectoryRead(TimePoint now, TimePoint as_of, StoreRevision revision);
  /** Starts due rounds of queries and drops searches that timed out. */
  void OnTick(TimePoint now);

  bool idle() const { return searches_.empty(); }
  /** Whether a search for the flow is in progress. */
  bool Searches(const Flow& flow) const { return searches_.count(flow) != 0; }
  /**
   * Whether a search is in progress for the flow that a SYN with that sequence
   * number opened, not for an earlier one from the same port.
   */
  bool SearchesFlowOf(const Flow& flow, uint32_t syn_sequence) const;
  /** Ends the search for the flow without a result, if there is one. */
  void Cancel(const Flow& flow);
  const DigestRoundCounters& digest_counters() const {
    return digest_rounds_.counters();
  }
  /** Returns the number of flows that digests have shown to be nowhere. */
  int64_t resolved_by_digest() const { return resolved_by_digest_; }

 private:
  using SearchMap = std::unordered_map<Flow, FlowSearch>;

  /** What a search that timed out leaves to the next one for its flow. */
  struct Denials {
    /** Agents that denied the flow; an open flow never moves to their targets.
     */
    std::set<Endpoint> agents;
    uint32_t client_sequence = 0;
    TimePoint ended{};
  };

  /** Drops a search that found no holder and keeps its denials. */
  SearchMap::iterator EndWithoutHolder(TimePoint now, SearchMap::iterator it);
  /** Applies the denials of an earlier search for the same flow. */
  void RecallDenials(const Flow& flow, FlowSearch& search);

  void StartRound(TimePoint now, const Flow& flow, FlowSearch& search,
                  const std::vector<AgentView*>& agents);
  /** Asks the other agents for digests, or for this flow. */
  void QueryFurtherAgents(TimePoint now, const Flow& flow, FlowSearch& search);
  static void RecordQuery(TimePoint now, FlowSearch& search,
                          const Endpoint& agent);
  /**
   * Returns the agents to query for this flow, as digests cannot rule them out:
   * those not queried yet, and those whose reply is overdue.
   */
  std::vector<AgentView*> SelectNextAgents(TimePoint now, const Flow& flow,
                                           const FlowSearch& search);
  /** Whether the agent has denied the flow, by itself or by a digest. */
  bool IsDenied(const FlowSearch& search, const Endpoint& agent) const;
  /** Whether the agent has denied the flow or its target has ended. */
  bool IsRuledOut(TimePoint now, const FlowSearch& search,
                  const AgentView& view) const;
  bool AllRuledOut(TimePoint now, const Flow& flow, FlowSearch& search);
  /** Like AllRuledOut, for some agents; begins at a position for the flow. */
  bool AreRuledOut(TimePoint now, const Flow& flow, FlowSearch& search,
                   const std::vector<AgentView*>& agents) const;
  /**
   * Ends the search if all agents in scope are ruled out.
   * @return whether the search has ended
   */
  bool ConcludeIfNotFound(TimePoint now, const Flow& flow);
  /**
   * Reads the directory if it does not show yet that the search's flow has no
   * holder.
   * @return whether it does not show that
   */
  bool RefreshIfNeeded(TimePoint now, const FlowSearch& search);
  /**
   * Applies a configuration that arrived since the search started.
   * @return whether the scope has changed
   */
  bool UpdateScope(TimePoint now, const Flow& flow, FlowSearch& search);
  /** Returns what is known of the agents in scope, as evidence of a reset. */
  FlowDenied::Search SummarizeDenials(TimePoint now,
                                      const FlowSearch& search) const;
  /** Offers the packets or starts the next round, if either is due. */
  void Advance(TimePoint now, const Flow& flow, FlowSearch& search);
  std::vector<WaitingSearch> SearchesByDigest() const;
  void SendDigestQueries(TimePoint now,
                         const std::vector<DigestQuery>& queries);
  /** Starts a round of digests if one is due and any search waits for it. */
  void StartDigestRound(TimePoint now);
  /** Continues the round, or advances all searches if it is over. */
  void EndDigestRound(TimePoint now);
  /** Concludes or advances each search. */
  void AdvanceAll(TimePoint now);
  /** Queries the agent for the flows whose hashes are in its digest. */
  void QueryListedFlows(TimePoint now, const Endpoint& agent, int64_t round,
                        const std::vector<int32_t>& hashes);
  SearchMap::iterator Erase(SearchMap::iterator it);
  /** Whether an offer may still be answered. */
  static bool AwaitsOffer(TimePoint now, const FlowSearch& search);
  /** Whether an agent of the round may still reply. */
  bool AwaitsReply(TimePoint now, const FlowSearch& search) const;
  /** Offers the packets to unsure agents; returns false if there are none. */
  bool OfferToUnsure(TimePoint now, FlowSearch& search);

  Topology topology_;
  TargetDirectory& directory_;
  FlowLocatorOutput& output_;
  /** Time of the store's state that the directory is known to contain. */
  TimePoint directory_as_of_{};
  DirectoryTrust trust_;
  SearchMap searches_;
  /** Flows of the searches by their hash in digests. */
  std::unordered_multimap<int32_t, Flow> flows_by_hash_;
  DigestRounds digest_rounds_;
  int64_t resolved_by_digest_ = 0;
  std::unordered_map<Flow, Denials> denials_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_LOCATION_FLOW_LOCATOR_H_
