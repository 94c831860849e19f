#ifndef SESAMESADDLE_STEERING_FLOW_LOCATOR_H_
#define SESAMESADDLE_STEERING_FLOW_LOCATOR_H_

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "steering/packet.h"
#include "steering/target_directory.h"
#include "steering/topology.h"

namespace sesamesaddle {

/** What the prober wants done about a flow whose target is not known. */
class FlowLocatorOutput {
 public:
  virtual ~FlowLocatorOutput() = default;

  /** QueryAgent the agent whether its target holds the flow. */
  virtual void QueryAgent(TimePoint now, AgentView& agent,
                          const Flow& flow) = 0;
  /** Deliver the packet at that agent only if its target holds its flow. */
  virtual void OfferPacket(TimePoint now, AgentView& agent,
                           std::string packet) = 0;
  /** Every target that could hold the flow has said that it does not. */
  virtual void OnFlowNotFound(TimePoint now, const Flow& flow,
                              uint32_t acknowledged) = 0;
  /** Find out what the store lists now; asked again while it is needed. */
  virtual void RefreshDirectory() = 0;
};

/** Where a flow can be. */
struct SearchScope {
  /** Services that its route leads to, or led to a while ago; asked first. */
  std::vector<std::string> services;
  /** It may be at any other service too. */
  bool any_service = true;
};

/**
 * Looks for the target that holds a flow. It asks the most likely agents first
 * and further ones when those do not answer or deny it; an agent that cannot
 * tell is offered the flow's packets, so that its target decides. It concludes
 * that nobody holds the flow only from the answers of all that may hold it and
 * were listed when the search began: a flow may be at a target that was listed
 * just before, as another balancer may have known of it sooner.
 */
class FlowLocator {
 public:
  /** Time for an offer and its answer, between zones. */
  static constexpr Duration kRoundTimeout = std::chrono::milliseconds(20);
  /** Largest number of agents that one round asks. */
  static constexpr size_t kAgentsPerRound = 32;
  /** Packets of one flow that wait for the answer; later ones are dropped. */
  static constexpr size_t kMaxBufferedPackets = 16;
  /** A search without an end is given up; the client repeats its packet. */
  static constexpr Duration kSearchTimeout = std::chrono::seconds(2);

  FlowLocator(Topology topology, TargetDirectory& directory,
              FlowLocatorOutput& output)
      : topology_(std::move(topology)),
        directory_(directory),
        output_(output) {}

  /**
   * Starts a search, or adds a packet to one in progress.
   * @param scope   where the flow can be
   * @param likely  agents to ask first; chosen by the flow's hash if empty
   * @param denied  agents that are known not to hold the flow
   */
  void Search(TimePoint now, const Flow& flow, const PacketHeader& header,
              std::string packet, const SearchScope& scope,
              const std::vector<Endpoint>& likely_holders,
              const std::vector<Endpoint>& ruled_out);
  /**
   * The holder is found and the search over.
   * @return the packets that wait for it and were not offered to it
   */
  std::vector<std::string> CompleteSearch(const Flow& flow,
                                          const Endpoint& holder);
  /** An agent cannot tell; its target is asked by the packets themselves. */
  void OnUnsure(TimePoint now, const Flow& flow, const Endpoint& agent);
  /** An agent does not hold the flow. */
  void OnNotHeld(TimePoint now, const Flow& flow, const Endpoint& agent);
  /**
   * The directory holds all that the store listed at `as_of`, or later.
   */
  void OnDirectoryRead(TimePoint now, TimePoint as_of);
  /** Starts due rounds. */
  void OnTick(TimePoint now);

  bool idle() const { return searches_.empty(); }

 private:
  struct SearchState {
    std::vector<std::string> packets;
    SearchScope scope;
    std::set<Endpoint> queried;
    std::set<Endpoint> ruled_out;
    std::set<Endpoint> unsure;
    uint32_t acknowledged = 0;
    TimePoint started{};
    TimePoint next_round{};
  };

  void StartRound(TimePoint now, const Flow& flow, SearchState& search,
                  const std::vector<AgentView*>& agents);
  std::vector<AgentView*> SelectNextAgents(const Flow& flow,
                                           const SearchState& search);
  bool AllRuledOut(const SearchState& search);
  /**
   * Concludes the search if all agents have denied the flow.
   * @return whether the search is over
   */
  bool ConcludeIfNotFound(TimePoint now, const Flow& flow);
  /** Asks further agents if all that were asked have denied the flow. */
  void StartNextRoundIfDone(TimePoint now, const Flow& flow,
                            SearchState& search);

  Topology topology_;
  TargetDirectory& directory_;
  FlowLocatorOutput& output_;
  /** Time at which the store listed no more than the directory holds. */
  TimePoint directory_as_of_{};
  std::unordered_map<Flow, SearchState> searches_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_FLOW_LOCATOR_H_
