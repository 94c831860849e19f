#ifndef SESAMESADDLE_STEERING_FLOW_BALANCER_H_
#define SESAMESADDLE_STEERING_FLOW_BALANCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/admission_control.h"
#include "admission/admission_options.h"
#include "core/endpoint.h"
#include "core/event_log.h"
#include "core/store_revision.h"
#include "core/time.h"
#include "evidence/flow_resetter.h"
#include "evidence/reset_evidence.h"
#include "evidence/syn_copies.h"
#include "flow_location/flow_locator.h"
#include "flow_location/route_history.h"
#include "flow_location/unrouted_flows.h"
#include "flow_model/packet.h"
#include "flow_model/route_table.h"
#include "placement/placement.h"
#include "placement/split_overflow.h"
#include "placement/target_directory.h"
#include "placement/zone_evacuations.h"
#include "steering/missing_entry_schedule.h"
#include "steering/notice_schedule.h"
#include "steering/report_rate_controller.h"
#include "steering_types.h"

namespace sesamesaddle {

/** Sends the packets and queries of a FlowBalancer. */
class FlowBalancerOutput : public ClientOutput {
 public:
  virtual void ToAgent(const Endpoint& agent, std::string_view packet) = 0;
  virtual void Query(const Endpoint& agent, const schema::FlowQuery& query) = 0;
  virtual void Notify(const Endpoint& agent,
                      const schema::AgentNotice& notice) = 0;
  /**
   * Reads the entries from the store, then calls FlowBalancer::OnDirectoryRead.
   * Called again while a flow waits for it.
   */
  virtual void RefreshDirectory() = 0;
  /**
   * Tries to connect to the instance of the agent, then calls
   * FlowBalancer::OnInstanceAnswer; not if the instance does not answer.
   * @return whether the attempt was made
   */
  virtual bool ProbeInstance(const Endpoint& agent) = 0;
};

/** State of one flow at a balancer. */
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
  /** Flows sent to another service than the weights of their route pick. */
  int64_t placed_by_overflow = 0;
  int64_t refused_by_agents = 0;
  int64_t yielded_by_agents = 0;
  int64_t queries = 0;
  /** Probes sent to agents because a client retransmitted a packet. */
  int64_t probes = 0;
  int64_t reports = 0;
  int64_t offers = 0;
  int64_t searches = 0;
  int64_t resets_no_route = 0;
  int64_t resets_no_target = 0;
  int64_t resets_overload = 0;
  /** New flows dropped because their clients' attempts were about to end. */
  int64_t attempts_over = 0;
  /** New flows refused because all their targets are in evacuated zones. */
  int64_t resets_zones_evacuated = 0;
  int64_t notices = 0;
  /** Notices to agents that their entries are missing. */
  int64_t missing_entries_reported = 0;
  int64_t waited_for_room = 0;
  int64_t resets_nobody_holds = 0;
  int64_t resets_target_gone = 0;
  int64_t resets_target_silent = 0;
  /** Packets of flows without a known route that waited for a read. */
  int64_t unrouted_packets = 0;
  /** Flows whose route arrived while their packets waited. */
  int64_t unrouted_found = 0;
  /** Connection attempts to instances whose agents owed a report. */
  int64_t instance_probes = 0;
  /** Those that were accepted or refused, so that the instance runs. */
  int64_t instance_answers = 0;
  int64_t malformed = 0;
};

/** Settings of a FlowBalancer. */
struct FlowBalancerOptions {
  Topology topology;
  /** Maximum lifetime of a flow; older ones may be dropped by any process. */
  Duration flow_lifetime = std::chrono::seconds(60);
  SplitMode split = SplitMode::kStrict;
  AdmissionOptions admission;
  /**
   * Longest time until an agent that no balancer sends anything verifies its
   * entry.
   */
  Duration verification_interval = std::chrono::seconds(4);
};

/**
 * Chooses the target of each new flow and forwards packets of open flows to the
 * agent of their target. Its flow table is only a cache: agents and targets are
 * authoritative, and the holder of an unknown flow is looked up.
 */
class FlowBalancer : private FlowLocatorOutput {
 public:
  /** A SYN that no target has accepted is placed again after this time. */
  static constexpr Duration kAcceptTimeout = std::chrono::milliseconds(120);
  /** Maximum number of unlisted agents that a peer is told, in one packet. */
  static constexpr size_t kMaxUnlistedAgents = 100;
  /** Minimum time between batches of queries. */
  static constexpr Duration kQueryPeriod = std::chrono::milliseconds(5);
  /** Maximum number of flows in one query. */
  static constexpr size_t kMaxFlowsPerQuery = 60;
  /** Retry period of SYNs that wait for room. */
  static constexpr Duration kPlacementRetryPeriod =
      std::chrono::milliseconds(10);
  /**
   * The same data after this time is a retransmission for lack of an
   * acknowledgement; clients retransmit after 200 ms.
   */
  static constexpr Duration kMinRetransmissionDelay =
      std::chrono::milliseconds(150);
  /** Maximum number of targets that a SYN is sent to, refusals not counted. */
  static constexpr size_t kMaxTargetsPerSyn = 3;

  FlowBalancer(FlowBalancerOptions options, const PacketCodec& codec,
               TargetDirectory& directory, ZoneEvacuations& zones,
               PlacementPolicy& placement, FlowBalancerOutput& output,
               EventLog& log);

  /**
   * Handles a packet from a client.
   * @param packet  modified in place
   */
  void OnClientPacket(TimePoint now, char* packet, size_t size);
  /** Handles a packet that an agent returned. */
  void OnAgentPacket(TimePoint now, const Endpoint& agent, char* packet,
                     size_t size);
  void OnReport(TimePoint now, const schema::AgentReport& report);
  /**
   * Applies routes unless their version is older; flows of removed routes are
   * reset.
   */
  void Apply(TimePoint now, RouteTable routes,
             UpdateContinuity continuity = UpdateContinuity::kContiguous);
  /**
   * Applies a state of an availability zone unless a later one is known.
   * @param source  "store", "peer" or "agent", for the log
   */
  void ApplyZone(TimePoint now, const schema::ZoneState& state,
                 std::string_view source);
  /** Ends all evacuations that the store did not list at `revision`. */
  void ApplyZoneList(TimePoint now, const std::set<std::string>& evacuated,
                     StoreRevision revision);
  /**
   * Sets the balancers that the store lists, which share the notices to agents.
   */
  void SetBalancers(const Endpoint& self, std::vector<Endpoint> peers) {
    notices_.SetBalancers(self, std::move(peers));
  }
  /**
   * Called when the agent's entry is new or was written again: its process may
   * have restarted and know none of the operators' settings.
   */
  void OnAgentListed(TimePoint now, const Endpoint& agent);
  /**
   * Called when the store no longer lists the agent's entry. Begins the notices
   * of that to the agent, which may be running.
   */
  void OnAgentUnlisted(TimePoint now, const Endpoint& agent);
  /** Resets the flows of targets that were dropped from the directory. */
  void OnTargetsDropped(const std::vector<DroppedTarget>& targets);
  /**
   * Called when the directory holds all entries that the store listed at
   * `as_of`.
   * @param revision  the store's revision then
   * @param routes_known  whether the configuration in force is the one that the
   *        store had then; not if that one could not be read
   */
  void OnDirectoryRead(TimePoint now, TimePoint as_of, StoreRevision revision,
                       bool routes_known = true);
  /** Called when the instance of an agent accepted or refused a connection. */
  void OnInstanceAnswer(const Endpoint& agent, InstanceAnswer answer);
  /** Retries placements and drops expired flows; called often while `busy`. */
  void OnTick(TimePoint now);
  /**
   * Sets whether the configuration and the directory are current; if not, a
   * missing route or target may only be unknown here.
   */
  void SetStoreCurrent(TimePoint now, bool current) {
    store_current_ = current;
    if (!current) locator_.trust().OnStoreLost(now);
  }
  /**
   * Whether a peer should be asked for the agents that the store does not list,
   * as this balancer has not run for long enough to know them.
   */
  bool NeedsUnlistedAgents(TimePoint now) const;
  /**
   * Returns the agents that may live although the store does not list them;
   * nothing if this balancer may not know them all.
   * @param since  the directory must be of this revision or a later one
   */
  std::optional<std::vector<Endpoint>> UnlistedAgents(
      TimePoint now, StoreRevision since) const;
  /**
   * Handles a peer's list of these agents.
   * @param revision  revision of the peer's directory
   */
  void OnUnlistedAgents(TimePoint now, const Endpoint& peer,
                        StoreRevision revision,
                        const std::vector<Endpoint>& agents);
  /**
   * Handles that the directory lacks an agent that may live: a search does not
   * conclude without it, and it is notified.
   */
  void OnUnlistedAgent(TimePoint now, const Endpoint& agent);
  /** Returns the store revision of the directory; 0 before the first read. */
  StoreRevision directory_revision() const { return directory_revision_; }

  const RouteTable& routes() const { return routes_; }
  const FlowBalancerCounters& counters() const { return counters_; }
  const DigestRoundCounters& digest_counters() const {
    return locator_.digest_counters();
  }
  /** Returns the number of lost flows for which digests spared queries. */
  int64_t flows_resolved_by_digest() const {
    return locator_.resolved_by_digest();
  }
  /** Returns the report period that agents are asked for. */
  Duration report_period() const { return report_rate_.period(); }
  size_t flow_count() const { return flows_.size(); }
  std::vector<BalancerFlow> Flows(TimePoint now) const;
  /** Sends the pending queries, at most once per kQueryPeriod. */
  void FlushQueries(TimePoint now);
  /** Whether the next OnTick has work. */
  bool busy() const {
    return !pending_syns_.empty() || !locator_.idle() || !queries_.empty() ||
           !suspects_.empty() || !notices_.idle() || !missing_entries_.idle() ||
           !unrouted_.empty() || directory_.has_unlisted();
  }

 private:
  /** What is known of the target to which a flow's SYN was last sent. */
  struct Holder {
    /** The agent has confirmed that its target took the SYN. */
    bool accepted = false;
    /**
     * No other target can have opened the flow: all copies of its SYN came to
     * this process, or the agent has reported that its target holds the flow.
     */
    bool sole = false;
    /** The agent was asked whether its target holds the flow. */
    bool asked = false;
    /** When the SYN was sent. */
    TimePoint syn_sent{};

    /** Whether the flow is known to be open at the agent's target. */
    bool Confirmed() const { return accepted && sole; }
    /**
     * Whether the agent has to be asked to confirm that. It reports by itself
     * that its target took the SYN, which suffices if no other one can have.
     */
    bool QueryDue(TimePoint now) const {
      if (Confirmed() || asked) return false;
      return !sole || now - syn_sent >= kAcceptTimeout;
    }
  };
  struct FlowEntry {
    Endpoint agent;
    Holder holder;
    /** The client has sent a packet after its SYN. */
    bool opened = false;
    /** The client has closed or reset it. */
    bool ended = false;
    bool runs_once = false;
    /** Version of the configuration by which this process placed the flow. */
    std::optional<int64_t> placed_version;
    /** The client retransmits its latest data. */
    bool retransmitting = false;
    uint32_t acknowledged = 0;
    uint32_t syn_sequence = 0;
    /** Sequence number of the client's latest packet after its SYN. */
    std::optional<uint32_t> client_sequence;
    /** Copies of the SYN that arrived here. */
    SynCopies copies;
    /**
     * Sequence number after the last byte that the client sent, and the time
     * when it first sent that byte.
     */
    uint32_t client_sequence_end = 0;
    TimePoint last_progress{};
    TimePoint last_packet{};
    /** All agents that the SYN was sent to. */
    std::vector<Endpoint> tried;
  };
  /** A SYN that no target has accepted yet. */
  struct PendingSyn {
    std::string packet;
    /** Sequence number of the SYN. */
    uint32_t sequence = 0;
    /**
     * Copies that arrived here. Another balancer may have sent the others to a
     * target that takes the flow.
     */
    SynCopies copies;
    std::vector<Endpoint> refused;
    TimePoint arrived{};
    /** Time at which the client sent its first SYN, as far as known. */
    TimePoint sent{};
    TimePoint retry_at{};
    bool waiting_for_room = false;
  };
  using FlowMap = std::unordered_map<Flow, FlowEntry>;

  void OnSyn(TimePoint now, const Flow& flow, const PacketHeader& header,
             std::string_view packet);
  void OnData(TimePoint now, const Flow& flow, const PacketHeader& header,
              char* packet, size_t size);
  /** Records a client's packet after its SYN. */
  void RecordData(TimePoint now, const PacketHeader& header, FlowEntry& entry);
  /** Handles a SYN that an agent returned. */
  void OnSynReturned(TimePoint now, const Flow& flow, const Route& route,
                     const PacketHeader& header, AgentView* agent,
                     std::string_view packet);
  /**
   * Sends the SYN to the best target or schedules a retry. Returns false if the
   * flow was refused; `pending` is invalid then.
   */
  bool Place(TimePoint now, const Flow& flow, const Route& route,
             PendingSyn& pending);
  /** Returns the best target for the flow, or null if none can take it. */
  AgentView* ChooseTarget(TimePoint now, const Route& route,
                          const PlacementRequest& request);
  /**
   * Returns a target of the route's other services with much less work than the
   * picked one, or null.
   * @param work  requests per slot at the best target of the picked service
   */
  AgentView* ChooseOverflowTarget(TimePoint now, const Route& route,
                                  const PlacementRequest& request,
                                  const std::string& picked,
                                  std::optional<double> work);
  /**
   * Drops a flow whose client is about to give the attempt up, unless an agent
   * may still deliver its SYN. The client is not reset: it may just have got an
   * answer to an earlier copy.
   * @return whether it was dropped; `pending` is invalid then
   */
  bool DropIfOver(TimePoint now, const Flow& flow, const Route& route,
                  const PendingSyn& pending);
  /**
   * Ends the attempts to place a flow, at once or after its client's next copy.
   * The client is refused unless the flow may be open.
   * @return whether it was refused
   */
  bool GiveUp(TimePoint now, const Flow& flow, Refusal refusal);
  /** Refuses a new flow and counts that. */
  void Refuse(const Flow& flow, Refusal refusal, const AllCopiesSeen& evidence);
  /** Returns false if the flow was refused; `pending` is invalid then. */
  bool Admit(TimePoint now, const Flow& flow, const Route& route,
             const AgentView& chosen, PendingSyn& pending);
  void Send(TimePoint now, const Flow& flow, const Route& route,
            AgentView& chosen, PendingSyn& pending);
  std::vector<Flow> DuePlacements(TimePoint now) const;
  /** Forwards a SYN, which the agent answers by a report. */
  void ForwardSyn(TimePoint now, AgentView& agent, std::string packet,
                  uint8_t priority, SynTimes times);
  /** Forwards any other packet; the agent itself sends no answer. */
  void Forward(TimePoint now, AgentView& agent, char* packet, size_t size);
  /** Probes the agent if the client retransmits its data. */
  void DetectRetransmission(TimePoint now, const PacketHeader& header,
                            FlowEntry& entry, AgentView& agent);
  /**
   * Requests a report from the agent and from a reference agent, whose report
   * shows that this balancer receives reports at all.
   */
  void Probe(TimePoint now, AgentView& agent);
  void RequestReport(TimePoint now, AgentView& agent);
  /**
   * Repeats probes until they are answered or enough went unanswered to mark
   * the agent unreachable.
   */
  void ProbeSuspects(TimePoint now);
  /**
   * Resets the agent's flows whose clients retransmit and may retry elsewhere.
   */
  void ResetRetransmittingFlows(TimePoint now, const AgentView& agent);
  /**
   * Asks the agents that the store does not list whether they run, so that
   * their flows are kept or reset on what they answer.
   */
  void AskUnlisted(TimePoint now);
  /** Tries to connect to instances whose agents owe a report. */
  void ProbeInstances(TimePoint now);
  /**
   * Marks the agent's flows as ended: its target is gone, and it has reset them
   * itself. A second reset could hit a new flow from the same port.
   */
  void ForgetFlowsOf(const AgentView& agent);
  /**
   * Resets a flow whose agent and instance are silent, so that its client has
   * time to retry elsewhere.
   * @return whether there was evidence for it
   */
  bool ResetIfSilent(TimePoint now, const Flow& flow, const FlowEntry& entry,
                     const AgentView& agent);
  void UpdateReportPeriod(TimePoint now);
  /**
   * Refuses a new flow if its services have targets, but all of them are in
   * evacuated zones. `pending` is invalid then.
   * @return whether the flow was refused
   */
  bool RefuseIfEvacuated(TimePoint now, const Flow& flow, const Route& route);
  /** Begins the notices of a zone's new state to its agents. */
  void NotifyZone(TimePoint now, const std::string& zone);
  void LogZone(const std::string& zone, std::string_view source);
  /** Learns from a report the state of its agent's zone. */
  void OnZoneReported(TimePoint now, const AgentView& agent,
                      const schema::AgentReport& report);
  /** Whether the report shows that its agent lacks something of a notice. */
  bool LacksNotice(const AgentView& agent,
                   const schema::AgentReport& report) const;
  void SendNotices(TimePoint now);
  /** Handles the report of an agent that the directory lacks. */
  void OnUnlistedReport(TimePoint now, const schema::AgentReport& report);
  /** Sends the due notices of missing entries. */
  void ReportMissingEntries(TimePoint now);
  /** Returns the notice to an agent, unless its entry is not missing. */
  std::optional<schema::AgentNotice> MakeMissingEntryNotice(
      TimePoint now, const Endpoint& agent) const;
  void SendNotice(TimePoint now, AgentView& agent);
  /** Records which services have another limit than before. */
  void OnLimitsChanged(TimePoint now,
                       const std::map<std::string, SlowStart>& before);
  /** Whether the agent needs a notice of its service's slow start limit. */
  bool LacksLimit(TimePoint now, const AgentView& agent) const;
  /** Returns when this balancer learned what LacksLimit is about. */
  TimePoint LimitKnownSince(TimePoint now, const AgentView& agent) const;
  /** Sends the limit before the first SYN to a target in slow start. */
  void NotifyBeforeSyn(TimePoint now, AgentView& agent);
  /** Returns what the agent needs of the operators' settings. */
  schema::AgentNotice MakeNotice(const AgentView& agent) const;
  void StartSearch(TimePoint now, const Flow& flow, const PacketHeader& header,
                   std::string_view packet,
                   const std::vector<Endpoint>& likely_holders,
                   const std::vector<Endpoint>& ruled_out);
  void OnHolderFound(TimePoint now, const Flow& flow, AgentView& agent);
  /** Records that the agent's target did not take the flow's SYN. */
  void ForgetTry(const Flow& flow, const Endpoint& agent);
  /**
   * Whether the client is known to have opened the flow at a target; a copy of
   * its SYN that comes back from another one is not placed or refused then.
   */
  bool IsOpen(const Flow& flow) const;
  /** Handles a packet of a flow whose route is not known. */
  void OnUnrouted(TimePoint now, const Flow& flow, const PacketHeader& header,
                  std::string_view packet);
  /** Handles the packets that waited for a route that is known now. */
  void ForwardRouted(TimePoint now);
  /** Resets the flows whose route the store's configuration lacks. */
  void ResetUnrouted(TimePoint read_began);
  void QueryAgent(TimePoint now, AgentView& agent, const Flow& flow) override;
  void QueryDigest(TimePoint now, AgentView& agent, const Flow& flow,
                   int32_t number) override;
  void OnDigestRoundOver(const DigestRoundSummary& round) override;
  void OfferPacket(TimePoint now, AgentView& agent,
                   std::string packet) override;
  SearchScope ScopeOf(TimePoint now, const Flow& flow) override;
  void OnFlowDenied(TimePoint now, const Flow& flow, uint32_t acknowledged,
                    const FlowDenied& evidence) override;
  void RefreshDirectory() override { output_.RefreshDirectory(); }
  void RetryPlacements(TimePoint now);
  void ExpireFlows(TimePoint now);

  const PacketCodec& codec_;
  TargetDirectory& directory_;
  ZoneEvacuations& zones_;
  PlacementPolicy& placement_;
  FlowBalancerOutput& output_;
  EventLog& log_;
  FlowResetter resetter_;
  FlowLocator locator_;
  UnroutedFlows unrouted_;
  SplitMode split_;
  AdmissionOptions admission_;
  RouteTable routes_;
  RouteHistory history_;
  bool store_current_ = false;
  /** Of the latest complete read of the directory. */
  StoreRevision directory_revision_;
  FlowMap flows_;
  std::unordered_map<Flow, PendingSyn> pending_syns_;
  /** Pending queries by agent; sent in parts if they name many flows. */
  std::map<Endpoint, schema::FlowQuery> queries_;
  TimePoint last_queries_{};
  /** Agents that were probed and have not answered since. */
  std::set<Endpoint> suspects_;
  Endpoint last_reference_;
  ReportRateController report_rate_;
  NoticeSchedule notices_;
  MissingEntrySchedule missing_entries_;
  /** A version of the configuration, and when this process learned it. */
  struct LimitChange {
    int64_t version = 0;
    TimePoint since{};
  };
  /** The latest change of each service's slow start limit. */
  std::map<std::string, LimitChange> limit_changes_;
  int64_t solicited_before_ = 0;
  TimePoint next_sweep_{};
  FlowBalancerCounters counters_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_FLOW_BALANCER_H_
