#ifndef SESAMESADDLE_STEERING_FLOW_BALANCER_H_
#define SESAMESADDLE_STEERING_FLOW_BALANCER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/event_log.h"
#include "core/time.h"
#include "steering/admission_control.h"
#include "steering/flow_locator.h"
#include "steering/packet.h"
#include "steering/placement.h"
#include "steering/report_rate_controller.h"
#include "steering/route_history.h"
#include "steering/route_table.h"
#include "steering/target_directory.h"
#include "steering_types.h"

namespace sesamesaddle {

/** Sends what a FlowBalancer decides to send. */
class FlowBalancerOutput {
 public:
  virtual ~FlowBalancerOutput() = default;

  virtual void ToAgent(const Endpoint& agent, std::string_view packet) = 0;
  virtual void ToClient(const Endpoint& client, std::string_view packet) = 0;
  virtual void Query(const Endpoint& agent, const schema::FlowQuery& query) = 0;
  /**
   * Read from the store what it lists now, and call
   * FlowBalancer::OnDirectoryRead; asked again while a flow waits for it.
   */
  virtual void RefreshDirectory() = 0;
};

/** What a balancer remembers of one flow. */
struct BalancerFlow {
  Flow flow;
  Endpoint agent;
  /** The agent has confirmed that its target took the flow. */
  bool accepted = false;
  Duration idle{};
};

/** Counts since the start of the process. */
struct FlowBalancerCounters {
  int64_t packets = 0;
  int64_t syns = 0;
  int64_t placed = 0;
  int64_t placed_again = 0;
  int64_t refused_by_agents = 0;
  int64_t yielded_by_agents = 0;
  int64_t queries = 0;
  /** Agents asked whether they are there, as a client repeated a packet. */
  int64_t probes = 0;
  int64_t reports = 0;
  int64_t offers = 0;
  int64_t searches = 0;
  int64_t resets_no_route = 0;
  int64_t resets_no_target = 0;
  int64_t resets_overload = 0;
  int64_t waited_for_room = 0;
  int64_t resets_nobody_holds = 0;
  int64_t resets_target_gone = 0;
  int64_t resets_target_silent = 0;
  int64_t malformed = 0;
};

/** What a balancer is told at its start. */
struct FlowBalancerOptions {
  Topology topology;
  /** A flow older than this may be forgotten by everybody. */
  Duration flow_lifetime = std::chrono::seconds(60);
};

/**
 * Decisions of a balancer: which target gets a new flow, and which one a packet
 * of an open flow belongs to. What it remembers of flows is a cache; agents and
 * targets have the truth, and a flow it does not know is looked up.
 */
class FlowBalancer : private FlowLocatorOutput {
 public:
  /** A SYN that no target has accepted is placed again after this time. */
  static constexpr Duration kAcceptTimeout = std::chrono::milliseconds(120);
  /** Queries of one agent are sent together, at most this often. */
  static constexpr Duration kQueryPeriod = std::chrono::milliseconds(5);
  /** Largest number of flows that one query names. */
  static constexpr size_t kMaxFlowsPerQuery = 60;
  /** Waiting SYNs are looked at again this often. */
  static constexpr Duration kPlacementRetryPeriod =
      std::chrono::milliseconds(10);
  /**
   * A client that sends the same again after this time has got no
   * acknowledgement; clients repeat after 200 ms.
   */
  static constexpr Duration kMinRetransmissionDelay =
      std::chrono::milliseconds(150);
  /** Targets that one SYN is sent to at most, without refusals. */
  static constexpr size_t kMaxTargetsPerSyn = 3;

  FlowBalancer(FlowBalancerOptions options, const PacketCodec& codec,
               TargetDirectory& directory, PlacementPolicy& placement,
               FlowBalancerOutput& output, EventLog& log);

  /** A packet from a client. @param packet  is changed in place */
  void OnClientPacket(TimePoint now, char* packet, size_t size);
  /** A packet that an agent sent back. */
  void OnAgentPacket(TimePoint now, const Endpoint& agent, char* packet,
                     size_t size);
  void OnReport(TimePoint now, const schema::AgentReport& report);
  /** Takes a later version; flows of dropped routes are reset. */
  void Apply(TimePoint now, RouteTable routes,
             UpdateContinuity continuity = UpdateContinuity::kContiguous);
  /** Agents that the directory has dropped. */
  void OnAgentsRemoved(TimePoint now, const std::vector<Endpoint>& agents);
  /** The directory holds all that the store listed at `as_of`. */
  void OnDirectoryRead(TimePoint now, TimePoint as_of) {
    locator_.OnDirectoryRead(now, as_of);
  }
  /** Retries and forgets; call it often while `busy`. */
  void OnTick(TimePoint now);
  /**
   * Whether the configuration and the directory follow the store; a route that
   * is missing proves nothing otherwise.
   */
  void SetStoreCurrent(bool current) { store_current_ = current; }

  const RouteTable& routes() const { return routes_; }
  const FlowBalancerCounters& counters() const { return counters_; }
  /** Time between reports that it asks of each agent. */
  Duration report_period() const { return report_rate_.period(); }
  size_t flow_count() const { return flows_.size(); }
  std::vector<BalancerFlow> Flows(TimePoint now) const;
  /** Sends the queries gathered so far, unless some were sent just now. */
  void FlushQueries(TimePoint now);
  /** Whether something waits for the next tick. */
  bool busy() const {
    return !pending_syns_.empty() || !locator_.idle() || !queries_.empty() ||
           !suspects_.empty();
  }

 private:
  struct FlowEntry {
    Endpoint agent;
    /** The agent has confirmed that its target took the flow. */
    bool accepted = false;
    /** The client has closed it or given it up. */
    bool ended = false;
    bool runs_once = false;
    /** The client repeats what it sent last. */
    bool retransmitting = false;
    uint32_t acknowledged = 0;
    uint32_t syn_sequence = 0;
    /** End of what the client has sent, and when it sent that first. */
    uint32_t client_sequence_end = 0;
    TimePoint last_progress{};
    TimePoint last_packet{};
    /** All agents that got the SYN, while more than one did. */
    std::vector<Endpoint> tried;
  };
  /** A SYN that no target has accepted yet. */
  struct PendingSyn {
    std::string packet;
    /** Sequence number of the SYN. */
    uint32_t sequence = 0;
    std::vector<Endpoint> refused;
    TimePoint arrived{};
    TimePoint retry_at{};
    bool waiting_for_room = false;
  };
  using FlowMap = std::unordered_map<Flow, FlowEntry>;

  void OnSyn(TimePoint now, const Flow& flow, const PacketHeader& header,
             std::string_view packet);
  void OnData(TimePoint now, const Flow& flow, const PacketHeader& header,
              char* packet, size_t size);
  /** An agent sent a SYN back. */
  void OnSynReturned(TimePoint now, const Flow& flow, const Route& route,
                     const PacketHeader& header, AgentView* agent,
                     std::string_view packet);
  /** @return false if the flow was refused; `placing` is void then. */
  bool Place(TimePoint now, const Flow& flow, const Route& route,
             PendingSyn& pending);
  bool Admit(TimePoint now, const Flow& flow, const Route& route,
             const AgentView& chosen, PendingSyn& pending);
  void Send(TimePoint now, const Flow& flow, const Route& route,
            AgentView& chosen, PendingSyn& pending);
  std::vector<Flow> DuePlacements(TimePoint now) const;
  /** A SYN; the agent answers it by a report. */
  void ForwardSyn(TimePoint now, AgentView& agent, std::string packet,
                  uint8_t priority, SynTimes times);
  /** Any other packet, which needs no answer from the agent itself. */
  void Forward(TimePoint now, AgentView& agent, char* packet, size_t size);
  /** Asks whether the agent is there if the client repeats its packet. */
  void DetectRetransmission(TimePoint now, const PacketHeader& header,
                            FlowEntry& entry, AgentView& agent);
  /**
   * Asks the agent for a report, and another one as a witness that this
   * balancer hears answers at all.
   */
  void Probe(TimePoint now, AgentView& agent);
  void RequestReport(TimePoint now, AgentView& agent);
  /**
   * Repeats probes until they are answered, or enough to conclude that the
   * agent is unreachable.
   */
  void ProbeSuspects(TimePoint now);
  /** Resets flows whose clients wait in vain and may ask elsewhere. */
  void ResetRetransmittingFlows(const AgentView& agent);
  /** Resets a flow of an unreachable agent. */
  void ResetForSilentTarget(const Flow& flow, const FlowEntry& entry);
  void UpdateReportPeriod(TimePoint now);
  void StartSearch(TimePoint now, const Flow& flow, const PacketHeader& header,
                   std::string_view packet,
                   const std::vector<Endpoint>& likely_holders,
                   const std::vector<Endpoint>& ruled_out);
  void OnHolderFound(TimePoint now, const Flow& flow, AgentView& agent);
  void Reset(const Flow& flow, uint32_t acknowledged, std::string_view reason);
  void QueryAgent(TimePoint now, AgentView& agent, const Flow& flow) override;
  void OfferPacket(TimePoint now, AgentView& agent,
                   std::string packet) override;
  void OnFlowNotFound(TimePoint now, const Flow& flow,
                      uint32_t acknowledged) override;
  void RefreshDirectory() override { output_.RefreshDirectory(); }
  void RetryPlacements(TimePoint now);
  void ExpireFlows(TimePoint now);

  const PacketCodec& codec_;
  TargetDirectory& directory_;
  PlacementPolicy& placement_;
  FlowBalancerOutput& output_;
  EventLog& log_;
  FlowLocator locator_;
  RouteTable routes_;
  RouteHistory history_;
  bool store_current_ = false;
  FlowMap flows_;
  std::unordered_map<Flow, PendingSyn> pending_syns_;
  /** Flows to ask each agent about. */
  std::map<Endpoint, std::vector<schema::FlowKey>> queries_;
  TimePoint last_queries_{};
  /** Agents that were probed and not heard since. */
  std::set<Endpoint> suspects_;
  Endpoint last_reference_;
  ReportRateController report_rate_;
  int64_t solicited_before_ = 0;
  TimePoint next_sweep_{};
  FlowBalancerCounters counters_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_FLOW_BALANCER_H_
