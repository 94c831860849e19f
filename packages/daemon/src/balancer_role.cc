#include "daemon/balancer_role.h"

#include <utility>

#include "net/proxy_header.h"

namespace sesamesaddle {
namespace {

// The fabric polls /readyz to detect that the balancer is stopping. Datagrams
// are forwarded until none has arrived for this long.
constexpr Duration kFabricIdleTime = std::chrono::milliseconds(500);
constexpr Duration kMinStopTime = std::chrono::milliseconds(1000);

BalancerOptions MakeOptions(const schema::DaemonSettings& settings) {
  BalancerOptions options;
  options.max_datagrams_per_second = settings.max_datagrams_per_second;
  return options;
}

}  // namespace

tl::expected<std::unique_ptr<BalancerRole>, NetError> BalancerRole::Open(
    EventLoop& loop, const schema::DaemonSettings& settings,
    const schema::MemberRecord& self, RandomSource& random,
    ActionExecutor execute_actions) {
  auto role = std::make_unique<BalancerRole>(loop, settings, self, random,
                                             std::move(execute_actions));
  auto socket =
      UdpSocket::Open(loop, Endpoint::Unpack(settings.fabric_listen),
                      [raw = role.get()](const Endpoint&, std::string_view in) {
                        raw->OnFabricDatagram(in);
                      });
  if (!socket) return tl::unexpected(socket.error());
  role->socket_ = std::move(*socket);
  return role;
}

BalancerRole::BalancerRole(EventLoop& loop,
                           const schema::DaemonSettings& settings,
                           const schema::MemberRecord& self,
                           RandomSource& random, ActionExecutor execute_actions)
    : loop_(loop),
      fabric_(Endpoint::Unpack(settings.fabric)),
      balancer_(self, MakeOptions(settings), random),
      execute_actions_(std::move(execute_actions)) {}

void BalancerRole::OnMessage(TimePoint now, const Endpoint& from,
                             const schema::PeerMessage& message, Outbox& out) {
  balancer_.OnMessage(now, from, message, out);
}

void BalancerRole::OnTick(TimePoint now, Outbox& out) {
  balancer_.OnTick(now, out);
}

void BalancerRole::ExecuteAction(const Action& action) {
  const auto* send = std::get_if<SendToCaller>(&action);
  if (send == nullptr) return;
  const ProxiedDatagram datagram{send->flow.service, send->flow.caller,
                                 send->payload};
  if (!socket_->Send(fabric_, EncodeProxiedDatagram(datagram))) {
    ++send_failures_;
  }
}

void BalancerRole::OnFabricDatagram(std::string_view bytes) {
  const auto datagram = ParseProxiedDatagram(bytes);
  if (!datagram) {
    ++malformed_;
    return;
  }
  const TimePoint now = loop_.Now();
  last_datagram_ = now;
  Outbox out;
  balancer_.OnCallerDatagram(now, {datagram->source, datagram->destination},
                             std::string(datagram->payload), out);
  execute_actions_(out);
}

void BalancerRole::BeginStop() {
  stop_started_ = loop_.Now();
  balancer_.control().BeginStop();
}

std::string BalancerRole::PendingWork(TimePoint now) const {
  if (balancer_.queued() > 0) return "queued datagrams";
  if (now - stop_started_ < kMinStopTime) {
    return "the shutdown notice to reach peers";
  }
  if (now - last_datagram_ < kFabricIdleTime) {
    return "the fabric to stop sending datagrams";
  }
  return "";
}

void BalancerRole::Leave(TimePoint now, Outbox& out) {
  balancer_.Leave(now, out);
}

Counters BalancerRole::counters() const {
  const BalancerCounters& c = balancer_.counters();
  return {{"datagrams_from_callers_total", c.from_callers},
          {"datagrams_to_callers_total", c.to_callers},
          {"malformed_proxy_headers_total", malformed_},
          {"send_failures_total", send_failures_},
          {"unknown_service_total", c.unknown_service},
          {"no_agent_total", c.no_agent},
          {"dropped_overload_total", c.dropped_overload},
          {"dropped_stale_total", c.dropped_stale},
          {"hints_used_total", c.hints_used},
          {"misrouted_total", c.misrouted},
          {"silent_agents_passed_over_total", c.silent_agents_passed_over},
          {"queued_datagrams", static_cast<int64_t>(balancer_.queued())}};
}

void BalancerRole::FillDump(TimePoint /*now*/,
                            schema::StateDump& /*dump*/) const {}

}  // namespace sesamesaddle
