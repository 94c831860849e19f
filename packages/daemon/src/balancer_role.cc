#include "daemon/balancer_role.h"

#include <utility>

#include "net/proxy_header.h"

namespace sesamesaddle {
namespace {

// The fabric learns from /readyz that the balancer stops; until it has, its
// datagrams are still passed on.
constexpr Duration kFabricQuiet = std::chrono::milliseconds(500);
constexpr Duration kShortestStop = std::chrono::milliseconds(1000);

BalancerOptions MakeOptions(const schema::DaemonSettings& settings) {
  BalancerOptions options;
  options.max_datagrams_per_second = settings.max_datagrams_per_second;
  return options;
}

}  // namespace

tl::expected<std::unique_ptr<BalancerRole>, NetError> BalancerRole::Open(
    EventLoop& loop, const schema::DaemonSettings& settings,
    const schema::MemberRecord& self, RandomSource& random,
    CarryOut carry_out) {
  auto role = std::make_unique<BalancerRole>(loop, settings, self, random,
                                             std::move(carry_out));
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
                           RandomSource& random, CarryOut carry_out)
    : loop_(loop),
      fabric_(Endpoint::Unpack(settings.fabric)),
      balancer_(self, MakeOptions(settings), random),
      carry_out_(std::move(carry_out)) {}

void BalancerRole::OnMessage(TimePoint now, const Endpoint& from,
                             const schema::PeerMessage& message, Outbox& out) {
  balancer_.OnMessage(now, from, message, out);
}

void BalancerRole::OnTick(TimePoint now, Outbox& out) {
  balancer_.OnTick(now, out);
}

void BalancerRole::Perform(const Action& action) {
  const auto* send = std::get_if<SendToCaller>(&action);
  if (send == nullptr) return;
  const ProxiedDatagram datagram{send->flow.service, send->flow.caller,
                                 send->payload};
  if (!socket_->Send(fabric_, EncodeProxiedDatagram(datagram))) ++send_failed_;
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
  carry_out_(out);
}

void BalancerRole::BeginStop() {
  stop_began_ = loop_.Now();
  balancer_.control().BeginStop();
}

std::string BalancerRole::WaitingFor(TimePoint now) const {
  if (balancer_.queued() > 0) return "waiting datagrams";
  if (now - stop_began_ < kShortestStop) return "others to learn of the stop";
  if (now - last_datagram_ < kFabricQuiet) return "the fabric to go elsewhere";
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
          {"send_failures_total", send_failed_},
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
