#ifndef SESAMESADDLE_STEERING_DAEMON_BALANCER_PROCESS_H_
#define SESAMESADDLE_STEERING_DAEMON_BALANCER_PROCESS_H_

#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "net/connection_probe.h"
#include "net/packet_socket.h"
#include "registry/registration.h"
#include "registry/replica_follower.h"
#include "steering/flow_balancer.h"
#include "steering_daemon/loop_lag_reporter.h"
#include "steering_daemon/metrics.h"
#include "steering_daemon/replica_exchange.h"
#include "steering_daemon/settings_watcher.h"
#include "steering_daemon/startup_readiness.h"
#include "steering_daemon/status_server.h"
#include "steering_daemon/steering_commands.h"
#include "steering_daemon/steering_process.h"
#include "steering_daemon/zone_rotation.h"

namespace sesamesaddle {

/** How a balancer places new flows. */
struct PlacementOptions {
  PlacementKind kind = PlacementKind::kLeastWait;
  SplitMode split = SplitMode::kStrict;
};

/**
 * Runs a balancer: opens its sockets, replicates the store, exchanges replicas
 * with its peers and stops gracefully.
 */
class BalancerProcess : public SteeringProcess,
                        private FlowBalancerOutput,
                        private ReplicaListener,
                        private TableProvider {
 public:
  BalancerProcess(SteeringDependencies deps, SteeringSettings settings,
                  PlacementOptions placement);

  tl::expected<void, NetError> Open() override;
  void Run() override;

  bool Ready() override;
  tl::expected<void, AnnouncementRefusal> OnAnnouncement(
      const Endpoint& address, const TargetAnnouncement& announcement) override;
  void OnDeregister(const std::string& id, TimePoint sent_after) override;
  void OnInvalidAnnouncement(const std::string& reason) override;

 private:
  void ToAgent(const Endpoint& agent, std::string_view packet) override;
  void ToClient(const Endpoint& client, std::string_view packet) override;
  void Query(const Endpoint& agent, const schema::FlowQuery& query) override;
  void Notify(const Endpoint& agent,
              const schema::AgentNotice& notice) override;
  void RefreshDirectory() override { follower_.Refresh(); }
  bool ProbeInstance(const Endpoint& agent) override;
  bool OnConfiguration(const std::string& document, StoreRevision revision,
                       bool after_gap) override;
  int64_t ConfigurationVersion() const override {
    return balancer_.routes().version;
  }
  void OnEntry(const std::string& key, const std::string& value,
               StoreRevision revision) override;
  void OnEntryRemoved(const std::string& key, StoreRevision revision) override;
  void OnEvacuationsListed(const std::set<std::string>& keys,
                           StoreRevision as_of) override;
  void OnSynchronized(TimePoint as_of) override;

  /** Whether the key is of an evacuation of an availability zone. */
  bool IsEvacuationKey(const std::string& key) const;
  /** Returns the availability zone that an evacuation's key names. */
  std::string ZoneOf(const std::string& key) const;
  void OnEvacuation(const std::string& key, bool evacuated,
                    StoreRevision revision);
  /** Passes on the listed balancers, which share the notices to agents. */
  void UpdateNotifiers();
  tl::expected<void, NetError> OpenSockets();
  /** Handles the entry of a balancer, this one included. */
  void OnBalancerEntry(const std::string& key,
                       const schema::BalancerRecord& record,
                       StoreRevision revision);
  /** Handles an entry that cannot be used, under a target's key. */
  void OnUnusableTargetEntry(const std::string& key, StoreRevision revision);
  /** Asks peers for what this balancer cannot know yet; see DirectoryTrust. */
  void AskForUnlistedAgents();
  void OnUnlistedQuery(const Endpoint& control,
                       const schema::UnlistedQuery& query);
  void OnUnlistedReply(const Endpoint& control,
                       const schema::UnlistedReply& reply);
  void LogRefusedEntry(const std::string& key, StoreRevision revision,
                       std::string_view reason);
  void LogTarget(const schema::TargetRecord& record, StoreRevision revision);
  void OnControl(const Endpoint& from, std::string_view bytes);
  void SendToAgent(const Endpoint& agent,
                   const schema::SteeringMessage& message);
  void Flush();
  void ScheduleTick();
  void Tick();
  void RunHousekeeping();
  void BeginStop();
  void AdvanceStop();
  /** Leaves the rotation if the zone allows it or the longest wait is over. */
  void TryLeaveRotation();
  void UpdateSeeds();
  tl::expected<schema::Table, std::string> BuildTable(
      Subject subject) const override;
  MetricValues CollectMetrics() const;
  std::string State();

  SteeringDependencies deps_;
  SteeringSettings settings_;
  SettingsWatcher settings_watcher_;
  /** Key of this balancer's own entry. */
  std::string own_key_;
  ZoneEvacuations zones_;
  TargetDirectory directory_{zones_, settings_.stop_grace};
  std::unique_ptr<PlacementPolicy> placement_;
  FlowBalancer balancer_;
  ReplicaFollower follower_;
  ReplicaExchange exchange_;
  Registration registration_;
  ZoneRotation rotation_;
  StartupReadiness startup_;
  prometheus::Registry histograms_;
  LoopLagReporter loop_lag_;
  std::unique_ptr<PacketSocket> client_socket_;
  std::unique_ptr<PacketSocket> agent_socket_;
  std::unique_ptr<PacketSocket> control_socket_;
  ConnectionProber instance_prober_{deps_.loop};
  SteeringCommands commands_{*this, deps_.decoder.evacuation_prefix()};
  StatusServer status_server_;
  EventLoop::Timer tick_timer_;
  TimePoint opened_at_{};
  EventLoop::Timer housekeeping_timer_;
  EventLoop::Timer exchange_timer_;
  bool tick_scheduled_ = false;
  bool configured_ = false;
  /** The newest configuration could not be read and is not in force. */
  bool configuration_unreadable_ = false;
  /** The store was read at least once. */
  bool synchronized_ = false;
  /** A stop was requested. */
  bool stopping_ = false;
  /** Reports itself as not ready, so that the routers remove it. */
  bool leaving_rotation_ = false;
  TimePoint stop_began_{};
  TimePoint leave_began_{};
  TimePoint last_client_packet_{};
  int64_t malformed_control_ = 0;
  int64_t refused_entries_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_BALANCER_PROCESS_H_
