#include "configuration_changes.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "packet_world.h"
#include "platform/base64.h"

namespace sesamesaddle {
namespace {

using Json = nlohmann::json;

constexpr Duration kChangePeriod = std::chrono::milliseconds(1300);
constexpr Duration kFrequentChangePeriod = std::chrono::milliseconds(400);
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(400);
constexpr Duration kProbePeriod = std::chrono::milliseconds(200);
// Bounds that the users' sites require: a version is in force after
// kInForceBound; a balancer that has served a version must not serve an older
// one after kRegressionBound.
constexpr Duration kInForceBound = std::chrono::milliseconds(3000);
constexpr Duration kRegressionBound = std::chrono::milliseconds(250);
constexpr uint16_t kFirstProbePort = 9000;
constexpr int kOk = 200;

Json RouteJson(const std::string& name, const Endpoint& address,
               const std::string& service, int version) {
  const std::string text = address.ToString();
  return {{"name", name},
          {"host", text.substr(0, text.find(':'))},
          {"prefix", "/" + std::to_string(address.port()) + "/"},
          {"type", "idempotent"},
          {"timeoutMs", 2500 + 100 * (version % 5)},
          {"targetLatencyMs", 200},
          {"priority", 1},
          {"service", service}};
}

}  // namespace

ConfigurationChanges::ConfigurationChanges(PacketWorld& world)
    : world_(world),
      store_(world.loop, *Endpoint::Parse(world.options.store)),
      balancers_(static_cast<size_t>(world.options.balancers)) {
  auto socket = PacketSocket::Open(
      world.loop,
      world.options.Client(world.options.clients, SoakOptions::kPackets),
      {[this](const Endpoint& /*from*/, char* bytes, size_t size) {
         OnPacket(bytes, size);
       },
       [] {}, nullptr});
  socket_ = std::move(*socket);
}

Endpoint ConfigurationChanges::ProbeRoute(int version) {
  return {0xc6120003, static_cast<uint16_t>(kFirstProbePort + version)};
}

Endpoint ConfigurationChanges::AddedRoute(int version) {
  return {0xc6120004, static_cast<uint16_t>(kFirstProbePort + version)};
}

std::string ConfigurationChanges::DocumentOf(int version) const {
  Json services = Json::array();
  for (const char* name : {"orders", "reports"}) {
    services.push_back({{"name", name},
                        {"slowStartS", world_.options.slow_start_ms / 1000.0},
                        {"warmupPerS", world_.options.warmup_per_s}});
  }
  Json routes = Json::array(
      {RouteJson("orders", SoakOptions::OrdersRoute(), "orders", version),
       RouteJson("reports", SoakOptions::ReportsRoute(), "reports", version),
       RouteJson("probe-" + std::to_string(version), ProbeRoute(version),
                 "orders", version)});
  for (int added = 1; world_.options.open_flows && added <= version; ++added) {
    routes.push_back(RouteJson("added-" + std::to_string(added),
                               AddedRoute(added), "orders", version));
  }
  const Json document = {{"version", version},
                         {"routes", routes},
                         {"services", services},
                         {"limits", {{"idleTimeoutMs", 15000}}}};
  return document.dump();
}

void ConfigurationChanges::Start() {
  WritePending();
  if (!world_.options.changes) return;
  const Duration period =
      world_.options.open_flows ? kFrequentChangePeriod : kChangePeriod;
  timers_.push_back(world_.loop.Every(period, [this] {
    if (acknowledged_ < pending_ || world_.calm()) return;
    ++pending_;
    WritePending();
  }));
  timers_.push_back(
      world_.loop.Every(kProbePeriod, [this] { ProbeVersions(); }));
}

void ConfigurationChanges::WritePending() {
  const int version = pending_;
  const Json body = {
      {"precondition", Json::array()},
      {"writes", Json::array({{{"key", "op/config"},
                               {"value", EncodeBase64(DocumentOf(version))},
                               {"lease", 0}}})},
      {"remove", Json::array()}};
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/kv-txn";
  request.body = body.dump();
  call_ = store_.Call(request, ConnectionUse::kFresh,
                      [this, version](HttpResult result) {
                        if (!result.complete || result.response.status != kOk) {
                          return;
                        }
                        if (acknowledged_ < version) ++world_.verdict.versions;
                        acknowledged_ = version;
                      });
  // Retries until the store acknowledges the write.
  world_.loop.Schedule(kWriteRetryDelay, [this, version] {
    if (acknowledged_ < version) WritePending();
  });
}

void ConfigurationChanges::ProbeVersions() {
  if (acknowledged_ == 0) return;
  for (int i = 0; i < world_.options.balancers; ++i) {
    BalancerView& view = balancers_[static_cast<size_t>(i)];
    if (!world_.InRotation(i)) view = BalancerView();
    // A balancer stops as soon as its clients are quiet.
    if (!world_.InRotation(i) && world_.options.open_flows) continue;
    SendProbe(i, acknowledged_);
    if (view.version > 1) SendProbe(i, view.version - 1);
  }
  if (checked_in_calm_ || world_.SinceCalm() < kInForceBound) return;
  checked_in_calm_ = true;
  for (const BalancerView& view : balancers_) {
    if (view.version != acknowledged_) ++world_.verdict.versions_late;
  }
}

void ConfigurationChanges::SendProbe(int balancer, int version) {
  next_port_ = static_cast<uint16_t>(std::max<int>(1024, next_port_ + 1));
  probes_[next_port_] = {balancer, version, world_.loop.Now()};
  PacketHeader head;
  head.syn = true;
  head.source = Endpoint(world_.options.Client(world_.options.clients, 0).ip(),
                         next_port_);
  head.destination = ProbeRoute(version);
  world_.Send(balancer, PacketWorld::MakePacket(head, ""));
}

void ConfigurationChanges::OnPacket(char* bytes, size_t size) {
  const auto head = world_.codec.Decode(std::string_view(bytes, size));
  if (!head) return;
  const auto it = probes_.find(head->destination.port());
  if (it == probes_.end()) return;
  const VersionProbe probe = it->second;
  probes_.erase(it);
  if (head->syn) OnVersionServed(probe);
}

void ConfigurationChanges::OnVersionServed(const VersionProbe& probe) {
  BalancerView& view = balancers_[static_cast<size_t>(probe.balancer)];
  if (probe.version >= view.version) {
    if (probe.version > view.version) view.first_served = world_.loop.Now();
    view.version = probe.version;
  } else if (probe.sent > view.first_served + kRegressionBound) {
    ++world_.verdict.versions_back;
  }
}

}  // namespace sesamesaddle
