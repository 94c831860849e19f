#ifndef SESAMESADDLE_STEERING_FLOW_AGENT_H_
#define SESAMESADDLE_STEERING_FLOW_AGENT_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/endpoint.h"
#include "core/event_log.h"
#include "core/time.h"
#include "steering/handshake_time_estimator.h"
#include "steering/packet.h"
#include "steering/report_rate_controller.h"
#include "steering/syn_queue.h"
#include "steering/target_failure_detector.h"
#include "steering/target_monitor.h"
#include "steering_types.h"

namespace sesamesaddle {

/** Sends what a FlowAgent decides to send. */
class FlowAgentOutput {
 public:
  virtual ~FlowAgentOutput() = default;

  virtual void ToTarget(std::string_view packet) = 0;
  /** Straight to the client that the packet names; no balancer is passed. */
  virtual void ToClient(const Endpoint& client, std::string_view packet) = 0;
  /** A packet back to the balancer that sent it. */
  virtual void ToBalancer(const Endpoint& balancer,
                          std::string_view packet) = 0;
  virtual void Report(const Endpoint& balancer,
                      const schema::AgentReport& report) = 0;
};

/** What an agent is told at its start. */
struct FlowAgentOptions {
  Endpoint self;
  /** The service of its target, as the settings name it. */
  std::string service;
  /** A flow older than this may be forgotten by everybody. */
  Duration flow_lifetime = std::chrono::seconds(60);
};

/** Counts since the start of the process. */
struct FlowAgentCounters {
  int64_t packets_to_target = 0;
  int64_t packets_to_clients = 0;
  int64_t syns = 0;
  int64_t late_syns = 0;
  int64_t accepted = 0;
  int64_t refused = 0;
  int64_t queued = 0;
  int64_t yielded = 0;
  int64_t returned_by_target = 0;
  int64_t not_held = 0;
  int64_t wrong_service = 0;
  int64_t resets = 0;
  int64_t malformed = 0;
  int64_t reports = 0;
  /** Times at which the target began to fail requests. */
  int64_t failing = 0;
};

/** What an agent knows of one flow. */
struct AgentFlow {
  Flow flow;
  /** Balancer whose packet came last. */
  Endpoint balancer;
  /** "opening", "open" or "ended". */
  std::string_view state;
  /** A request is in progress. */
  bool request_in_flight = false;
  Duration idle{};
};

/** A balancer that sends packets to an agent. */
struct AgentPeer {
  Endpoint balancer;
  Duration last_packet{};
  /** Time between reports that answer nothing. */
  Duration report_period{};
};

/** Observes durations for the metrics. */
class DurationObserver {
 public:
  virtual ~DurationObserver() = default;
  virtual void Observe(Duration duration) = 0;
};

/**
 * Decisions of the agent beside a target. It passes packets between balancers,
 * its target and clients, and knows from them which flows its target holds and
 * how much work it has. The target has the last word: it returns what it does
 * not hold.
 */
class FlowAgent {
 public:
  /** Shortest time between reports to a balancer, but for urgent ones. */
  static constexpr Duration kReportPeriod = ReportRateController::kMinPeriod;
  /** Time in which urgent reports are gathered. */
  static constexpr Duration kUrgentReportDelay = std::chrono::milliseconds(2);
  /** A balancer that was silent for longer gets no reports. */
  static constexpr Duration kBalancerIdleTimeout =
      std::chrono::milliseconds(1500);
  /** A request without an answer no longer counts as work after this time. */
  static constexpr Duration kMaxRequestTime = std::chrono::seconds(3);
  /** Flows that wait for room are looked at again this often. */
  static constexpr Duration kQueueCheckPeriod = std::chrono::milliseconds(10);
  /** A flow that has ended is remembered for late packets. */
  static constexpr Duration kEndedFlowRetention = std::chrono::seconds(4);
  /** Largest number of flows a report names in each list. */
  static constexpr size_t kMaxFlowsPerReport = 40;

  /** @param now  when this process started */
  FlowAgent(TimePoint now, FlowAgentOptions options, const PacketCodec& codec,
            FlowAgentOutput& output, EventLog& log,
            DurationObserver& response_times);

  /** A packet from a balancer. @param packet  is changed in place */
  void OnBalancerPacket(TimePoint now, const Endpoint& balancer, char* packet,
                        size_t size);
  /** A balancer looks for the targets of flows. */
  void OnQuery(TimePoint now, const Endpoint& balancer,
               const schema::FlowQuery& query);
  /** A packet that the target sent or sent back. */
  void OnTargetPacket(TimePoint now, char* packet, size_t size);
  AnnouncementEffect OnAnnouncement(TimePoint now,
                                    const TargetAnnouncement& announcement);
  /** @return whether the target that ends is the present one. */
  bool OnDeregister(TimePoint now, const std::string& id);
  void OnTargetUnreachable(TimePoint now) {
    target_monitor_.OnUnreachable(now);
  }
  /** Sends reports and forgets old flows; call it every kReportPeriod. */
  void OnTick(TimePoint now);
  /** From now on no new flows are taken; the target may go on. */
  void BeginStop() { stopping_ = true; }

  const TargetMonitor& target_monitor() const { return target_monitor_; }
  const std::string& service() const;
  const FlowAgentCounters& counters() const { return counters_; }
  size_t flow_count() const { return flows_.size(); }
  std::vector<AgentFlow> Flows(TimePoint now) const;
  std::vector<AgentPeer> Peers(TimePoint now) const;
  Duration response_time() const { return response_time_; }
  size_t queued() const { return queue_.size(); }
  int in_flight() const { return in_flight_; }
  /** Whether the target fails requests although it says that it is well. */
  bool failing() const { return failing_; }
  /** Whether a balancer is owed a report. */
  bool busy() const { return !balancers_.empty(); }
  /** Whether a report should not wait for the period to end. */
  bool urgent() const { return urgent_; }
  /** Whether flows wait for room. */
  bool queueing() const { return !queue_.empty(); }

 private:
  enum class FlowState : uint8_t { kOpening, kOpen, kEnded };
  static std::string_view NameOf(FlowState state);
  struct FlowEntry {
    FlowState state = FlowState::kOpening;
    bool sequence_known = false;
    bool request_in_flight = false;
    /** Counted as work that is about to come. */
    bool request_expected = false;
    bool client_ended = false;
    bool target_ended = false;
    /** Of the SYN that this agent delivered; 0 if it started later. */
    uint32_t syn_sequence = 0;
    uint32_t target_sequence = 0;
    uint32_t client_acknowledged = 0;
    /** End of what the client has sent. */
    uint32_t client_sequence_end = 0;
    TimePoint opened{};
    TimePoint last_packet{};
    TimePoint request_sent{};
    Endpoint balancer;
  };
  struct BalancerState {
    TimePoint last_packet{};
    TimePoint last_report{};
    /** Time between reports that answer nothing, as the balancer wants it. */
    Duration report_period = kReportPeriod;
    bool packets_since_report = false;
    /** A SYN came, whose balancer waits for word from here. */
    bool report_owed = false;
    bool urgent = false;
    int reported_in_flight = 0;
    std::vector<Flow> accepted;
    std::vector<Flow> held;
    std::vector<Flow> not_held;
    std::vector<Flow> unsure;
  };
  using FlowMap = std::unordered_map<Flow, FlowEntry>;

  void OnSyn(TimePoint now, const Endpoint& balancer,
             const PacketHeader& header, char* packet, size_t size);
  void OpenFlow(TimePoint now, const Endpoint& balancer, const Flow& flow,
                uint32_t sequence, char* packet, size_t size);
  /** Lets waiting flows go on as far as the target has room. */
  void DispatchQueue(TimePoint now);
  void ExpireQueue(TimePoint now);
  /** Sends SYNs that waited back to their balancers. */
  void ReturnQueued(TimePoint now, std::vector<QueuedSyn> syns, HopKind kind);
  void OnData(TimePoint now, const Endpoint& balancer,
              const PacketHeader& header, char* packet, size_t size);
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
  void ResetAllFlows(std::string_view reason);
  void RecordClientPacket(TimePoint now, const PacketHeader& header,
                          FlowEntry& entry);
  void RecordResponse(TimePoint now, const Flow& flow, FlowEntry& entry,
                      size_t bytes);
  /** The target reset the flow. */
  void RecordTargetReset(const FlowEntry& entry);
  /** Tells balancers if the target has begun, or ceased, to fail requests. */
  void UpdateFailing();
  void EndRequest(FlowEntry& entry);
  void ExpectRequest(TimePoint now, const Flow& flow, FlowEntry& entry);
  void CancelExpectedRequest(FlowEntry& entry);
  /** The flow is no work any more, neither present nor to come. */
  void ReleaseWork(FlowEntry& entry);
  void ExpireExpectedRequests(TimePoint now);
  void Erase(FlowMap::iterator it);
  bool TracksAllFlows(TimePoint now) const;
  BalancerState& RecordContact(TimePoint now, const Endpoint& balancer);
  /** As RecordContact; the balancer's report goes out soon. */
  BalancerState& RecordUrgentContact(TimePoint now, const Endpoint& balancer);
  /** Every balancer's report goes out soon. */
  void ReportToAll();
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
  FlowAgentCounters counters_;
  FlowMap flows_;
  SynQueue queue_;
  std::unordered_map<Endpoint, BalancerState> balancers_;
  /** Balancers by the index that an echo names. */
  std::vector<Endpoint> echo_balancers_;
  TimePoint started_;
  TimePoint next_sweep_{};
  int in_flight_ = 0;
  int expected_requests_ = 0;
  HandshakeTimeEstimator handshake_time_;
  TargetFailureDetector failure_detector_;
  /** What balancers were told of the target's answers. */
  bool failing_ = false;
  /** Flows that were counted as expected, oldest first. */
  std::deque<std::pair<TimePoint, Flow>> expected_flows_;
  Duration response_time_{};
  /** The target's first announcement came here: no flow went past. */
  bool saw_target_start_ = false;
  bool stopping_ = false;
  bool urgent_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_FLOW_AGENT_H_
