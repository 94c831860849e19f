#ifndef SESAMESADDLE_STEERING_FLOW_AGENT_H_
#define SESAMESADDLE_STEERING_FLOW_AGENT_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/admission_options.h"
#include "admission/handshake_time_estimator.h"
#include "admission/slow_start_limiter.h"
#include "admission/syn_queue.h"
#include "core/endpoint.h"
#include "core/event_log.h"
#include "core/time.h"
#include "flow_model/agent_hop.h"
#include "flow_model/packet.h"
#include "placement/zone_evacuations.h"
#include "steering/recent_balancers.h"
#include "steering/report_rate_controller.h"
#include "steering/target_failure_detector.h"
#include "steering/target_monitor.h"
#include "steering/target_restart_detector.h"
#include "steering_types.h"

namespace sesamesaddle {

/** Sends the packets and reports of a FlowAgent. */
class FlowAgentOutput {
 public:
  virtual ~FlowAgentOutput() = default;

  virtual void ToTarget(std::string_view packet) = 0;
  /** Sends a packet directly to the client, not through a balancer. */
  virtual void ToClient(const Endpoint& client, std::string_view packet) = 0;
  /** Returns a packet to the balancer that sent it. */
  virtual void ToBalancer(const Endpoint& balancer,
                          std::string_view packet) = 0;
  virtual void Report(const Endpoint& balancer,
                      const schema::AgentReport& report) = 0;
};

/** Settings of a FlowAgent. */
struct FlowAgentOptions {
  Endpoint self;
  /** Service of the target, from the settings. */
  std::string service;
  /** Maximum lifetime of a flow; older ones may be dropped by any process. */
  Duration flow_lifetime = std::chrono::seconds(60);
  /** Availability zone of the agent and its target. */
  std::string zone = {};
  AdmissionOptions admission;
};

/** Counts since the start of the process. */
struct FlowAgentCounters {
  int64_t packets_to_target = 0;
  int64_t packets_to_clients = 0;
  int64_t syns = 0;
  int64_t late_syns = 0;
  int64_t accepted = 0;
  int64_t refused = 0;
  /** SYNs refused or returned because the zone is evacuated. */
  int64_t refused_evacuated = 0;
  int64_t queued = 0;
  /** SYNs queued because a target in slow start had no room. */
  int64_t held_slow_start = 0;
  int64_t yielded = 0;
  /** Queued SYNs that left a full queue for a more urgent one. */
  int64_t displaced = 0;
  int64_t returned_by_target = 0;
  int64_t not_held = 0;
  int64_t wrong_service = 0;
  /** Packets of balancers that name their service by the narrow check. */
  int64_t narrow_checks = 0;
  int64_t resets = 0;
  /** Resets of flows that only the recalled record still knew. */
  int64_t resets_recalled = 0;
  int64_t malformed = 0;
  int64_t reports = 0;
  /** Digests sent in reports. */
  int64_t digests = 0;
  /** Queries for a digest that was not given. */
  int64_t digests_left_out = 0;
  /** Number of times the target started to fail requests. */
  int64_t failing = 0;
};

/** State of one flow at an agent. */
struct AgentFlow {
  Flow flow;
  /** The balancer that sent the latest packet. */
  Endpoint balancer;
  /** "opening", "open" or "ended". */
  std::string_view state;
  /** The target has not answered the latest request yet. */
  bool request_in_flight = false;
  Duration idle{};
};

/** A balancer that sends packets to an agent. */
struct AgentPeer {
  Endpoint balancer;
  Duration last_packet{};
  /** Period of unsolicited reports. */
  Duration report_period{};
};

/** Records durations for the metrics. */
class DurationObserver {
 public:
  virtual ~DurationObserver() = default;
  virtual void Observe(Duration duration) = 0;
};

/**
 * Forwards packets between balancers, its local target and clients. It tracks
 * from these packets which flows the target holds and how many requests are in
 * flight. The target is authoritative: it returns packets of flows that it does
 * not hold.
 */
class FlowAgent {
 public:
  /** Minimum time between reports to a balancer, except urgent ones. */
  static constexpr Duration kReportPeriod = ReportRateController::kMinPeriod;
  /** Delay of urgent reports, to send several as one. */
  static constexpr Duration kUrgentReportDelay = std::chrono::milliseconds(2);
  /** A balancer that sent nothing for this long gets no reports. */
  static constexpr Duration kBalancerIdleTimeout =
      std::chrono::milliseconds(1500);
  /** A request without a response no longer counts as in flight after this. */
  static constexpr Duration kMaxRequestTime = std::chrono::seconds(3);
  /** Period at which queued SYNs are checked. */
  static constexpr Duration kQueueCheckPeriod = std::chrono::milliseconds(10);
  /** Time for which an ended flow is kept to handle late packets. */
  static constexpr Duration kEndedFlowRetention = std::chrono::seconds(4);
  /**
   * Time for the last answers of a target that deregisters: they come through
   * another socket than its deregistration. Ten times the longest time that a
   * packet takes from the target to its agent.
   */
  static constexpr Duration kLastAnswerTime = std::chrono::milliseconds(10);
  /** Reports of a stop to each balancer; some of them may be lost. */
  static constexpr int kStopReports = 3;
  /** All of them fit in the shortest stop. */
  static constexpr Duration kStopReportPeriod = std::chrono::milliseconds(100);
  /** Maximum number of flows in each list of a report. */
  static constexpr size_t kMaxFlowsPerReport = 40;
  /** Maximum number of flows in a digest. */
  static constexpr size_t kMaxDigestFlows = 250;
  /**
   * Maximum size of a digest's hashes, of up to five bytes each, so that a
   * report without many flows fits a packet of the network.
   */
  static constexpr size_t kMaxDigestBytes = 1200;
  /** Flows younger than this are not recorded; most end with their request. */
  static constexpr Duration kMinRecordedAge = std::chrono::milliseconds(500);
  /** Maximum number of flows in a record; about 25 bytes each. */
  static constexpr size_t kMaxRecordedFlows = 10000;

  /** @param now  start of this process */
  FlowAgent(TimePoint now, FlowAgentOptions options, const PacketCodec& codec,
            FlowAgentOutput& output, EventLog& log,
            DurationObserver& response_times);

  /**
   * Handles a packet from a balancer.
   * @param packet  modified in place
   */
  void OnBalancerPacket(TimePoint now, const Endpoint& balancer, char* packet,
                        size_t size);
  /** Handles a balancer's query for the holders of flows. */
  void OnQuery(TimePoint now, const Endpoint& balancer,
               const schema::FlowQuery& query);
  /** Handles a balancer's notice of the operators' settings. */
  void OnNotice(TimePoint now, const Endpoint& balancer,
                const schema::AgentNotice& notice);
  /**
   * Called when the agent's zone is no longer evacuated. Its target may have
   * been replaced shortly before, so it counts as in slow start until its next
   * announcement shows otherwise.
   */
  void OnZoneRestored(TimePoint now);
  /** Handles a packet that the target sent or returned. */
  void OnTargetPacket(TimePoint now, char* packet, size_t size);
  AnnouncementEffect OnAnnouncement(TimePoint now,
                                    const TargetAnnouncement& announcement);
  /**
   * Handles the deregistration of a target.
   * @param sent_after  see TargetMonitor::OnDeregister
   * @return whether it is of the current target
   */
  bool OnDeregister(TimePoint now, const std::string& id, TimePoint sent_after);
  void OnTargetUnreachable(TimePoint now) {
    target_monitor_.OnUnreachable(now);
    restart_detector_.OnPortClosed(now);
  }
  /**
   * Returns the flows that the target holds, to be kept where they outlast this
   * process. Young flows and those that an end has closed are left out.
   */
  schema::FlowRecord RecordFlows(TimePoint now) const;
  /**
   * Returns all flows that the target holds or may hold, for the next
   * incarnation of a process that is stopping; nothing if this process may not
   * know them all.
   * @param now_ms  Unix time in milliseconds
   * @param entry_revision  store revision of this process's entry
   */
  std::optional<schema::FlowRecord> RecordAllFlows(
      TimePoint now, int64_t now_ms, int64_t entry_revision) const;
  /**
   * Takes the record that an earlier incarnation of this process left. Once
   * another target than the recorded one has announced itself, the recorded
   * flows are reset, as no target holds them: their clients can open new ones
   * before they send the next request. If the recorded target still runs, its
   * flows stay as they are.
   * @param complete  whether that target can hold no flows but the recorded
   *        ones and those that this process has seen
   */
  void Recall(TimePoint now, schema::FlowRecord record, bool complete = false);
  /** Returns the approximate number of agents, from the balancers' pace. */
  size_t EstimateAgentCount() const;
  /** Sends due reports and drops expired flows; called every kReportPeriod. */
  void OnTick(TimePoint now);
  /**
   * Refuses new flows from now on; the target may continue to run. Reports the
   * stop kStopReports times, every kStopReportPeriod, to all balancers that may
   * hold flows of the target.
   */
  void BeginStop(TimePoint now);

  const TargetMonitor& target_monitor() const { return target_monitor_; }
  const std::string& service() const;
  const FlowAgentCounters& counters() const { return counters_; }
  size_t flow_count() const { return flows_.size(); }
  std::vector<AgentFlow> Flows(TimePoint now) const;
  std::vector<AgentPeer> Peers(TimePoint now) const;
  Duration response_time() const { return response_time_; }
  size_t queued() const { return queue_.size(); }
  /** Limit of new flows while the target is in slow start. */
  const SlowStartLimiter& slow_start() const { return slow_start_; }
  int in_flight() const { return in_flight_; }
  /** Whether the target fails requests, whatever its health check reports. */
  bool failing() const { return failing_; }
  /** Whether the agent's zone is evacuated, so that it refuses new flows. */
  bool zone_evacuated() const { return zones_.Evacuated(options_.zone); }
  /** Returns the state of the agent's zone, or null if it has none. */
  const ZoneEvacuation* zone_state() const {
    return zones_.Find(options_.zone);
  }
  /** Whether any balancer is active, so that reports may be due. */
  bool busy() const { return !balancers_.empty() || stop_reports_left_ > 0; }
  /**
   * Whether the target may hold flows, known to this process or not, and no
   * balancer has sent anything for kBalancerIdleTimeout, so that none may know
   * of this agent.
   */
  bool AtSilence(TimePoint now) const {
    const bool may_hold_flows = !flows_.empty() || !TracksAllFlows(now);
    return may_hold_flows && now - last_contact_ > kBalancerIdleTimeout;
  }
  /** Whether a report should be sent before the period ends. */
  bool urgent() const { return urgent_; }
  /** Whether SYNs are queued. */
  bool queueing() const { return !queue_.empty(); }

 private:
  enum class FlowState : uint8_t { kOpening, kOpen, kEnded };
  static std::string_view NameOf(FlowState state);
  struct FlowEntry {
    FlowState state = FlowState::kOpening;
    bool sequence_known = false;
    /**
     * While opening: the target may hold it open, which an earlier process may
     * have seen.
     */
    bool may_be_open = false;
    bool request_in_flight = false;
    /** The client's first request is expected and counts as work. */
    bool request_expected = false;
    bool client_ended = false;
    bool target_ended = false;
    /** Its requests must run at most once; false if unknown. */
    bool runs_once = false;
    /**
     * Sequence number of the SYN that this agent delivered, or 0 if the flow is
     * older than the agent.
     */
    uint32_t syn_sequence = 0;
    uint32_t target_sequence = 0;
    uint32_t client_acknowledged = 0;
    /**
     * Sequence number after the last byte that the client sent; nothing if the
     * flow is older than this process and the client has sent none since.
     */
    std::optional<uint32_t> client_sequence_end;
    TimePoint opened{};
    TimePoint last_packet{};
    /** Last packet that the target sent, not returned. */
    TimePoint last_target_packet{};
    TimePoint request_sent{};
    Endpoint balancer;
  };
  struct BalancerState {
    TimePoint last_packet{};
    TimePoint last_report{};
    /** Period of unsolicited reports that the balancer asked for. */
    Duration report_period = kReportPeriod;
    bool packets_since_report = false;
    /** A SYN came and the balancer waits for its report. */
    bool report_owed = false;
    bool urgent = false;
    int reported_in_flight = 0;
    /** SlowStartLimiter::Room in the last report. */
    std::optional<size_t> reported_room;
    std::vector<Flow> accepted;
    std::vector<Flow> held;
    std::vector<Flow> not_held;
    std::vector<Flow> unsure;
    /** Number of the latest query for a digest that has no reply yet. */
    std::optional<int32_t> digest_query;

    /** Whether there are flows to tell the balancer about. */
    bool HasReplies() const {
      return !accepted.empty() || !held.empty() || !not_held.empty() ||
             !unsure.empty();
    }
  };
  /** A packet that was passed to the target to see whether it holds the flow.
   */
  struct Offer {
    Endpoint balancer;
    TimePoint at{};
  };
  using FlowMap = std::unordered_map<Flow, FlowEntry>;

  /**
   * Returns the hashes of all flows of the target, or nothing if this process
   * may not know them all or they do not fit a report.
   */
  std::optional<std::vector<int32_t>> DigestFlows(TimePoint now) const;
  /** Adds a digest to the report if the balancer has asked for one. */
  void AddDigest(TimePoint now, BalancerState& balancer_state,
                 schema::AgentReport& report);
  /** Records what the balancer asks of this agent by any of its packets. */
  void RecordBalancerPacket(TimePoint now, const Endpoint& balancer,
                            const AgentHop& hop);
  /** Returns a packet that is for a target of another service. */
  void RefuseOtherService(TimePoint now, const Endpoint& balancer,
                          const PacketHeader& header, char* packet,
                          size_t size);
  void OnSyn(TimePoint now, const Endpoint& balancer,
             const PacketHeader& header, char* packet, size_t size);
  /** Delivers the SYN of a new flow, or a copy of it. */
  void OpenFlow(TimePoint now, QueuedSyn syn);
  /** Queues the SYN; returns or refuses the one that has no place. */
  void QueueOrRefuse(TimePoint now, QueuedSyn syn, int slots);
  /** Returns the time from the delivery of a SYN to the response. */
  Duration ExpectedServiceTime() const;
  /** Delivers queued SYNs while the target has room. */
  void DispatchQueue(TimePoint now);
  void ExpireQueue(TimePoint now);
  /** Returns queued SYNs to their balancers. */
  void ReturnQueued(TimePoint now, std::vector<QueuedSyn> syns, HopKind kind);
  /**
   * Refuses a new flow's SYN if the agent's zone is evacuated.
   * @return whether it was refused
   */
  bool RefuseIfEvacuated(TimePoint now, const Endpoint& balancer,
                         const Flow& flow, char* packet, size_t size);
  /**
   * Applies a balancer's statement of the state of this agent's zone.
   * @return whether the statement is valid
   */
  bool ApplyZone(TimePoint now, const Endpoint& balancer,
                 const schema::ZoneState& state);
  /** Whether the target may get a new flow: by its slots and its slow start. */
  bool HasRoom(TimePoint now) const;
  /**
   * Whether the target may be in slow start and no notice has told this process
   * yet whether its service has a limit.
   */
  bool LacksLimit(TimePoint now) const;
  /** Counts a SYN that was queued for lack of room in the slow start. */
  void RecordHeldSyn(TimePoint now, const Endpoint& balancer);
  /**
   * Learns how long the target stays in slow start.
   * @return whether it was not in slow start before
   */
  bool LearnColdTime(TimePoint now, const TargetAnnouncement& announcement);
  /**
   * Takes the target for cold from now on, as its packets show that it has
   * started again, until it announces itself.
   * @param sign  what shows the restart
   */
  void OnTargetRestarted(TimePoint now, std::string_view sign);
  /**
   * Takes the target for cold if the announcement may be of a new target whose
   * clock was set back, until the next announcement of the current one.
   */
  void LearnReplacement(TimePoint now, const TargetAnnouncement& announcement);
  /**
   * Applies the limit of a notice, or its absence, unless a later version of
   * the configuration is known.
   * @return whether the limit is valid
   */
  bool ApplySlowStart(TimePoint now, const Endpoint& balancer,
                      const schema::AgentNotice& notice);
  /** Sets the cold time from the notice while no announcement has told it. */
  void AssumeColdTime();
  /** Logs and reports when the target begins or ceases to be limited. */
  void UpdateLimited(TimePoint now);
  void OnData(TimePoint now, const Endpoint& balancer,
              const PacketHeader& header, char* packet, size_t size);
  /**
   * Delivers a packet of a flow that this process does not know. The target
   * answers it, or returns it if it does not hold the flow.
   */
  void LetTargetDecide(TimePoint now, const PacketHeader& header,
                       const Endpoint& balancer, char* packet, size_t size);
  void DeliverToTarget(TimePoint now, const PacketHeader& header,
                       FlowEntry* entry, const Endpoint& balancer, char* packet,
                       size_t size);
  void OnReturned(TimePoint now, const PacketHeader& header, char* packet,
                  size_t size);
  void RefuseSyn(TimePoint now, const Endpoint& balancer, const Flow& flow,
                 std::string_view reason, char* packet, size_t size);
  void ReplyNotHeld(TimePoint now, const Endpoint& balancer, const Flow& flow,
                    bool offered, char* packet, size_t size);
  void ResetFlow(const Flow& flow, const FlowEntry& entry,
                 std::string_view reason);
  /**
   * Resets the flows of the target, which has ended. Those that wait for an
   * answer are reset kLastAnswerTime later, as it may be on its way.
   */
  void ResetFlowsOfEndedTarget(TimePoint now);
  void ResetUnansweredFlows(TimePoint now);
  void EndFlow(TimePoint now, const Flow& flow, FlowEntry& entry);
  /** Resets the flows that the target before the current one held. */
  void ResetFormerFlows();
  /**
   * Returns the latest time at which a target is known to have run by its
   * packets: those of flows that were open at a time when it ran. Flows that
   * opened earlier were not opened by a later target.
   * @param ran_until  a time at which the target ran
   */
  TimePoint ExtendByPackets(TimePoint ran_until) const;
  /** Resets the recalled flows if their target has ended. */
  void ResolveRecall(TimePoint now);
  void ResetRecalledFlows();
  /** Takes the recorded flows as held, as their target still runs. */
  void AdoptRecalledFlows(TimePoint now);
  /** Tells the balancer that offered the flow that the target holds it. */
  void AnswerOffer(TimePoint now, const Flow& flow);
  void RecordClientPacket(TimePoint now, const PacketHeader& header,
                          FlowEntry& entry);
  void RecordResponse(TimePoint now, const Flow& flow, FlowEntry& entry,
                      size_t bytes);
  /** Counts a reset by the target as a failed request where it is one. */
  void RecordTargetReset(const FlowEntry& entry);
  /** Reports to balancers when the target starts or stops failing requests. */
  void UpdateFailing();
  void EndRequest(FlowEntry& entry);
  void ExpectRequest(TimePoint now, const Flow& flow, FlowEntry& entry);
  void CancelExpectedRequest(FlowEntry& entry);
  /** Counts the flow neither as in flight nor as expected any more. */
  void ReleaseWork(FlowEntry& entry);
  void ExpireExpectedRequests(TimePoint now);
  void Erase(FlowMap::iterator it);
  /** Whether the target can hold no flow that this process does not know. */
  bool TracksAllFlows(TimePoint now) const;
  /** Returns an empty record of the current target. */
  schema::FlowRecord MakeRecord() const;
  static schema::RecordedFlow MakeRecordedFlow(const Flow& flow,
                                               const FlowEntry& entry);
  /** Whether a SYN is a copy of the one that opened the flow. */
  static bool IsCopyOfSyn(const FlowEntry& entry, uint32_t sequence);
  BalancerState& RecordContact(TimePoint now, const Endpoint& balancer);
  /** Like RecordContact, and schedules an urgent report to the balancer. */
  BalancerState& RecordUrgentContact(TimePoint now, const Endpoint& balancer);
  /** Schedules an urgent report to each balancer. */
  void ReportToAll();
  /** Like ReportToAll, also to balancers that sent nothing lately. */
  void ReportToRecent(TimePoint now);
  /** Repeats the report of a stop when it is due. */
  void RepeatStopReports(TimePoint now);
  uint32_t EncodeEcho(const Endpoint& balancer, bool offered);
  Endpoint DecodeEcho(uint32_t echo, bool& offered) const;
  void SendReport(TimePoint now, const Endpoint& balancer,
                  BalancerState& balancer_state);
  bool ReportDue(TimePoint now, const BalancerState& balancer_state) const;
  void ExpireFlows(TimePoint now);

  FlowAgentOptions options_;
  const PacketCodec& codec_;
  FlowAgentOutput& output_;
  EventLog& log_;
  DurationObserver& response_times_;
  TargetMonitor target_monitor_;
  TargetRestartDetector restart_detector_;
  /** The state of the agent's own zone, if it was ever evacuated. */
  ZoneEvacuations zones_;
  FlowAgentCounters counters_;
  FlowMap flows_;
  SynQueue queue_;
  SlowStartLimiter slow_start_;
  /** Version of the latest configuration that a notice named; 0 if none did. */
  int64_t slow_start_version_ = 0;
  /**
   * A balancer's SYN has shown that the service has a limit. Until a notice
   * names it, a target in slow start has no room.
   */
  bool limit_awaited_ = false;
  /** Duration of the service's slow start, from the notice. */
  Duration slow_start_duration_{};
  /**
   * Start of a slow start that no announcement has confirmed or denied yet: the
   * start of this process, a restart of the target that its packets show, or
   * the restoration of its zone.
   */
  std::optional<TimePoint> assumed_cold_since_;
  /** Limit in force, as last logged; nothing while the target is warm. */
  std::optional<size_t> limited_to_;
  /** Balancers that sent something lately. */
  std::unordered_map<Endpoint, BalancerState> balancers_;
  /** Balancers that did so before, and may still hold flows of the target. */
  RecentBalancers recent_balancers_;
  /** Balancers by their index in the echo field. */
  std::vector<Endpoint> echo_balancers_;
  TimePoint started_;
  /** When a balancer last sent anything. */
  TimePoint last_contact_{};
  TimePoint next_sweep_{};
  int in_flight_ = 0;
  int expected_requests_ = 0;
  HandshakeTimeEstimator handshake_time_;
  TargetFailureDetector failure_detector_;
  /** Whether the target is failing, as last reported to balancers. */
  bool failing_ = false;
  /** Flows with an expected request, oldest first. */
  std::deque<std::pair<TimePoint, Flow>> expected_flows_;
  Duration response_time_{};
  /**
   * Balancers that offered packets of flows that this process does not know; a
   * packet from the target shows that it holds the flow.
   */
  std::unordered_map<Flow, Offer> offers_;
  /** The record of an earlier incarnation, until its target is identified. */
  std::optional<schema::FlowRecord> recalled_;
  TimePoint recalled_at_{};
  bool recalled_completely_ = false;
  /** When the flows that still wait for an answer of the target are reset. */
  std::optional<TimePoint> reset_unanswered_at_;
  /**
   * The target's first announcement came to this process, so it has seen all
   * flows of the target.
   */
  bool saw_target_start_ = false;
  /**
   * An earlier process that knew all flows of the target has left them to this
   * one.
   */
  bool inherited_all_flows_ = false;
  /** When this process learned of the target's present start. */
  std::optional<TimePoint> target_known_since_;
  bool stopping_ = false;
  int stop_reports_left_ = 0;
  TimePoint next_stop_report_{};
  bool urgent_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_FLOW_AGENT_H_
