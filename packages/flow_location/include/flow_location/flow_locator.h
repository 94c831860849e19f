#ifndef SESAMESADDLE_FLOW_LOCATION_FLOW_LOCATOR_H_
#define SESAMESADDLE_FLOW_LOCATION_FLOW_LOCATOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
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
   * Sends the packet to be delivered only if the agent's target holds its flow.
   */
  virtual void OfferPacket(TimePoint now, AgentView& agent,
                           std::string packet) = 0;
  /**
   * Called when each target that could hold the flow has reported that it
   * doesn't.
   */
  virtual void OnFlowNotFound(TimePoint now, const Flow& flow,
                              uint32_t acknowledged) = 0;
  /** Reads the entries from the store; called again while they are needed. */
  virtual void RefreshDirectory() = 0;
};

/** The services whose targets may hold a flow. */
struct SearchScope {
  /** Services of the route, current ones and recent ones; queried first. */
  std::vector<std::string> services;
  /** Targets of any other service may hold the flow as well. */
  bool any_service = true;
};

/**
 * Locates the target that holds a flow. Queries the most likely agents first
 * and further ones when those do not answer or do not hold the flow. An agent
 * that is not sure is offered the flow's packets, so that its target decides:
 * only after no agent of its round claims the flow, and a few at a time, as a
 * packet is many times the size of a query. A target that does not hold the
 * flow returns the packet at once, so no further agents are tried while an
 * offer is unanswered. A flow counts as not found only when all agents that may
 * hold it and that were listed when the search began have replied: the holder
 * may have been listed just before, and another balancer may have learned of it
 * sooner.
 *
 * It answers for the load after a restart of all processes, when each balancer
 * looks up the flows of all its clients and no agent remembers any.
 */
class FlowLocator {
 public:
  /** Time allowed for a query and its reply between zones. */
  static constexpr Duration kRoundTimeout = std::chrono::milliseconds(20);
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
  static constexpr size_t kAgentsPerRound = 32;
  /** Maximum number of packets buffered per flow; later ones are dropped. */
  static constexpr size_t kMaxBufferedPackets = 16;
  /** An unfinished search is dropped after this; the client retransmits. */
  static constexpr Duration kSearchTimeout = std::chrono::seconds(2);

  FlowLocator(Topology topology, TargetDirectory& directory,
              FlowLocatorOutput& output)
      : topology_(std::move(topology)),
        directory_(directory),
        output_(output) {}

  /**
   * Starts a search, or adds a packet to one in progress.
   * @param scope           services whose targets may hold the flow
   * @param likely_holders  the few agents that the flow's SYN was sent to,
   * which are offered the packet at once; if empty, agents chosen by the flow's
   * hash are queried first
   * @param ruled_out       agents that are known not to hold the flow
   */
  void Search(TimePoint now, const Flow& flow, const PacketHeader& header,
              std::string packet, const SearchScope& scope,
              const std::vector<Endpoint>& likely_holders,
              const std::vector<Endpoint>& ruled_out);
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
  /**
   * Called when the directory holds all entries that the store listed at
   * `as_of` or later.
   */
  void OnDirectoryRead(TimePoint now, TimePoint as_of);
  /** Starts due rounds of queries and drops searches that timed out. */
  void OnTick(TimePoint now);

  bool idle() const { return searches_.empty(); }

 private:
  struct QueryState {
    int queries = 0;
    TimePoint next_query{};
  };
  struct SearchState {
    std::vector<std::string> packets;
    SearchScope scope;
    /** Agents queried so far. */
    std::map<Endpoint, QueryState> queried;
    std::set<Endpoint> ruled_out;
    /** Agents that are not sure, in the order of their replies. */
    std::vector<Endpoint> unsure;
    /** Unsure agents that were offered the packets, and when. */
    std::map<Endpoint, TimePoint> offered;
    uint32_t acknowledged = 0;
    TimePoint started{};
    TimePoint next_round{};
  };

  void StartRound(TimePoint now, const Flow& flow, SearchState& search,
                  const std::vector<AgentView*>& agents);
  /**
   * Returns the agents to query in the next round: those not queried yet, and
   * those whose reply is overdue.
   */
  std::vector<AgentView*> SelectNextAgents(TimePoint now, const Flow& flow,
                                           const SearchState& search);
  bool AllRuledOut(const SearchState& search);
  /**
   * Ends the search if all agents in scope are ruled out.
   * @return whether the search has ended
   */
  bool ConcludeIfNotFound(TimePoint now, const Flow& flow);
  /** Offers the packets or starts the next round, if either is due. */
  void Advance(TimePoint now, const Flow& flow, SearchState& search);
  /** Whether an offer may still be answered. */
  static bool AwaitsOffer(TimePoint now, const SearchState& search);
  /** Whether an agent of the round may still reply. */
  static bool AwaitsReply(TimePoint now, const SearchState& search);
  /** Offers the packets to unsure agents; returns false if there are none. */
  bool OfferToUnsure(TimePoint now, SearchState& search);

  Topology topology_;
  TargetDirectory& directory_;
  FlowLocatorOutput& output_;
  /** Time of the store's state that the directory is known to contain. */
  TimePoint directory_as_of_{};
  std::unordered_map<Flow, SearchState> searches_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_LOCATION_FLOW_LOCATOR_H_
