#ifndef SESAMESADDLE_DAEMON_BALANCER_ROLE_H_
#define SESAMESADDLE_DAEMON_BALANCER_ROLE_H_

#include <memory>
#include <string>

#include "balancer/balancer.h"
#include "daemon/role.h"
#include "net/event_loop.h"
#include "net/udp_socket.h"
#include "settings_types.h"

namespace sesamesaddle {

/** A balancer and its UDP socket to the fabric. */
class BalancerRole : public Role {
 public:
  /** Opens the socket to the fabric; returns an error if that fails. */
  static tl::expected<std::unique_ptr<BalancerRole>, NetError> Open(
      EventLoop& loop, const schema::DaemonSettings& settings,
      const schema::MemberRecord& self, RandomSource& random,
      ActionExecutor execute_actions);

  BalancerRole(EventLoop& loop, const schema::DaemonSettings& settings,
               const schema::MemberRecord& self, RandomSource& random,
               ActionExecutor execute_actions);

  ControlPlane& control() override { return balancer_.control(); }
  void OnMessage(TimePoint now, const Endpoint& from,
                 const schema::PeerMessage& message, Outbox& out) override;
  void OnTick(TimePoint now, Outbox& out) override;
  void ExecuteAction(const Action& action) override;
  void BeginStop() override;
  std::string PendingWork(TimePoint now) const override;
  void Leave(TimePoint now, Outbox& out) override;
  Counters counters() const override;
  void FillDump(TimePoint now, schema::StateDump& dump) const override;

 private:
  void OnFabricDatagram(std::string_view bytes);

  EventLoop& loop_;
  Endpoint fabric_;
  Balancer balancer_;
  ActionExecutor execute_actions_;
  std::unique_ptr<UdpSocket> socket_;
  TimePoint last_datagram_{};
  TimePoint stop_started_{};
  int64_t malformed_ = 0;
  int64_t send_failures_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_BALANCER_ROLE_H_
