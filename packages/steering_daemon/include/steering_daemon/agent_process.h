#ifndef SESAMESADDLE_STEERING_DAEMON_AGENT_PROCESS_H_
#define SESAMESADDLE_STEERING_DAEMON_AGENT_PROCESS_H_

#include <memory>
#include <string>

#include "flow_location/flow_record_policy.h"
#include "net/packet_socket.h"
#include "registry/leased_value.h"
#include "registry/registration.h"
#include "steering/flow_agent.h"
#include "steering_daemon/loop_lag_reporter.h"
#include "steering_daemon/metrics.h"
#include "steering_daemon/settings_watcher.h"
#include "steering_daemon/status_server.h"
#include "steering_daemon/steering_commands.h"
#include "steering_daemon/steering_process.h"

namespace sesamesaddle {

/**
 * Runs an agent: opens its sockets, accepts its target's announcements, sends
 * reports and stops gracefully.
 */
class AgentProcess : public SteeringProcess,
                     private FlowAgentOutput,
                     private TableProvider {
 public:
  AgentProcess(SteeringDependencies deps, SteeringSettings settings);

  tl::expected<void, NetError> Open() override;
  void Run() override;

  bool Ready() override { return !stopping_; }
  tl::expected<void, AnnouncementRefusal> OnAnnouncement(
      const Endpoint& address, const TargetAnnouncement& announcement) override;
  void OnDeregister(const std::string& id, TimePoint sent_after) override;
  void OnInvalidAnnouncement(const std::string& reason) override;

 private:
  void ToTarget(std::string_view packet) override;
  void ToClient(const Endpoint& client, std::string_view packet) override;
  void ToBalancer(const Endpoint& balancer, std::string_view packet) override;
  void Report(const Endpoint& balancer,
              const schema::AgentReport& report) override;

  tl::expected<void, NetError> OpenSockets();
  void OnControl(const Endpoint& from, std::string_view bytes);
  void OnNotice(TimePoint now, const Endpoint& balancer,
                const schema::AgentNotice& notice);
  bool MatchesService(const std::string& service);
  void PublishTarget();
  /** Takes the record that the process before this one has left. */
  void RecallFlows();
  /** Takes a record that was complete when its process ended. */
  void TakeCompleteRecord(schema::FlowRecord record);
  /** Writes the record of the target's flows if it is due. */
  void RecordFlows();
  void Flush();
  void ScheduleReports();
  void SendReports();
  void ReloadSettings(bool requested);
  void RunHousekeeping();
  void BeginStop();
  void AdvanceStop();
  /**
   * Writes the record of all flows for the next process, if this one knows them
   * all, and ends the event loop.
   */
  void StopWithRecord();
  tl::expected<schema::Table, std::string> BuildTable(
      Subject subject) const override;
  MetricValues CollectMetrics() const;
  std::string State() const;
  schema::TargetRecord MakeRecord() const;

  SteeringDependencies deps_;
  SteeringSettings settings_;
  SettingsWatcher settings_watcher_;
  prometheus::Registry histograms_;
  LatencyHistogram response_times_;
  FlowAgent agent_;
  LoopLagReporter loop_lag_;
  Registration registration_;
  LeasedValue flow_record_;
  FlowRecordPolicy record_policy_;
  int64_t records_written_ = 0;
  std::unique_ptr<PacketSocket> balancer_socket_;
  std::unique_ptr<PacketSocket> target_socket_;
  std::unique_ptr<PacketSocket> control_socket_;
  SteeringCommands commands_{*this, deps_.decoder.evacuation_prefix()};
  StatusServer status_server_;
  EventLoop::Timer report_timer_;
  EventLoop::Timer housekeeping_timer_;
  bool report_scheduled_ = false;
  TimePoint report_due_{};
  bool stopping_ = false;
  TimePoint stop_began_{};
  /** The record for the next process was sent to the store. */
  bool leaving_record_ = false;
  int64_t announcements_ = 0;
  int64_t invalid_announcements_ = 0;
  int64_t malformed_control_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_AGENT_PROCESS_H_
