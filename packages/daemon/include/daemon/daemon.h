#ifndef SESAMESADDLE_DAEMON_DAEMON_H_
#define SESAMESADDLE_DAEMON_DAEMON_H_

#include <atomic>
#include <memory>
#include <string>

#include "configuration/change_log.h"
#include "core/random.h"
#include "daemon/admin_server.h"
#include "daemon/loop_scheduler.h"
#include "daemon/operator_commands.h"
#include "daemon/role.h"
#include "daemon/seed_discovery.h"
#include "net/event_loop.h"
#include "net/udp_socket.h"
#include "platform/store_client.h"
#include "settings_types.h"
#include "steering_daemon/rate_limited_log.h"

namespace sesamesaddle {

/** A balancer or agent process: its sockets, its role and its shutdown. */
class Daemon {
 public:
  /** Opens all listening sockets; returns an error if one cannot be opened. */
  static tl::expected<std::unique_ptr<Daemon>, NetError> Open(
      EventLoop& loop, const schema::DaemonSettings& settings,
      RandomSource& random);

  Daemon(EventLoop& loop, const schema::DaemonSettings& settings,
         RandomSource& random);

  /**
   * Runs until a graceful stop is complete.
   * @param stop_requested  set by a signal handler to begin the stop
   */
  void Run(const std::atomic<bool>& stop_requested);

 private:
  tl::expected<void, NetError> OpenSockets();
  schema::MemberRecord MakeSelfRecord() const;
  void OnDatagram(const Endpoint& from, std::string_view bytes);
  void ExecuteActions(Outbox& out);
  void Tick(const std::atomic<bool>& stop_requested);
  void AdvanceStop(TimePoint now);
  /** Loads the configuration from the store unless peers supply it. */
  void LoadConfiguration();
  /** Watches the store if this process is selected to, else stops watching. */
  void UpdateStoreWatch();
  bool IsReady();
  schema::StateDump MakeStateDump();
  Counters CollectCounters();

  EventLoop& loop_;
  schema::DaemonSettings settings_;
  RandomSource& random_;
  LoopScheduler scheduler_;
  SteadyClock clock_;
  RateLimitedLog log_;
  StoreClient store_;
  std::unique_ptr<Role> role_;
  std::unique_ptr<ChangeLog> change_log_;
  std::unique_ptr<SeedDiscovery> seed_discovery_;
  std::unique_ptr<OperatorCommands> commands_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<UdpSocket> socket_;
  bool stopping_ = false;
  TimePoint stop_deadline_{};
  TimePoint next_stop_log_{};
  TimePoint next_watch_check_{};
  int64_t malformed_ = 0;
  int64_t sent_datagrams_ = 0;
  int64_t sent_bytes_ = 0;
  int64_t control_bytes_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_DAEMON_H_
