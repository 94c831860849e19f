#include "packet_world.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "core/hash.h"

namespace sesamesaddle {
namespace {

constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(400);
constexpr Duration kReadinessProbePeriod = std::chrono::milliseconds(250);
constexpr int kUnreadyAfterFailedProbes = 2;
constexpr Duration kTargetFaultPeriod = std::chrono::milliseconds(2500);
// Covers a drain and the slow start of the target that follows it.
constexpr Duration kTargetFaultDuration = std::chrono::milliseconds(4000);
// A client that pauses on an open flow notices the end of its target so late.
constexpr Duration kLongestPause = std::chrono::milliseconds(2600);
// The users' sites count a flow as broken by so many packets that reach other
// targets in this time, and none its own.
constexpr int kMisledPackets = 3;
constexpr Duration kMisledTime = std::chrono::seconds(2);

std::string ServiceOf(const std::string& id) {
  return id[1] == 'o' ? "orders" : "reports";
}

/** Names the flow as the logs of the processes do. */
void PrintBroken(const Flow& flow, const char* how) {
  printf("soak: broken flow=%s>%s %s at %ld\n", flow.caller.ToString().c_str(),
         flow.service.ToString().c_str(), how, WallClockMs());
}

}  // namespace

uint32_t PacketWorld::Checksum(std::string_view packet) {
  std::string fixed(packet);
  fixed[2] = static_cast<char>(fixed[2] & ~2);
  std::fill(fixed.begin() + 3, fixed.begin() + 6, '\0');
  std::fill(fixed.begin() + kChecksumOffset, fixed.begin() + 22, '\0');
  std::fill(fixed.begin() + 30, fixed.begin() + 34, '\0');
  return static_cast<uint32_t>(Hash64(fixed));
}

std::string PacketWorld::MakePacket(const PacketHeader& head,
                                    const std::string& payload) {
  const auto put = [](std::string& to, size_t at, uint64_t value, int bytes) {
    for (int i = 0; i < bytes; ++i) {
      to[at + static_cast<size_t>(i)] =
          static_cast<char>(value >> (8 * (bytes - 1 - i)));
    }
  };
  std::string packet(PlatformPacketCodec::kHeaderBytes, '\0');
  put(packet, 0, payload.size(), 2);
  packet[2] = static_cast<char>((head.syn ? 1 : 0) | (head.ack ? 16 : 0) |
                                (head.fin ? 4 : 0) | (head.reset ? 128 : 0));
  put(packet, 6, head.source.port(), 2);
  put(packet, 8, head.destination.port(), 2);
  put(packet, 10, head.source.ip(), 4);
  put(packet, 14, head.destination.ip(), 4);
  put(packet, 22, head.sequence, 4);
  put(packet, 26, head.acknowledged, 4);
  packet += payload;
  put(packet, kChecksumOffset, Checksum(packet), 4);
  return packet;
}

PacketWorld::PacketWorld(EventLoop& the_loop, SoakOptions the_options)
    : loop(the_loop),
      options(std::move(the_options)),
      random(options.seed),
      configuration_(*this),
      failed_probes_(static_cast<size_t>(options.balancers),
                     kUnreadyAfterFailedProbes) {
  auto router = PacketSocket::Open(
      loop, Endpoint(127U << 24 | 1, 0),
      {[](const Endpoint& /*from*/, char* /*bytes*/, size_t /*size*/) {}, [] {},
       nullptr});
  router_ = std::move(*router);
  for (int i = 0; i < options.targets; ++i) {
    const bool reports = i % 3 == 2;
    targets_.push_back(
        std::make_unique<SoakTarget>(*this, i, reports ? "reports" : "orders"));
  }
  for (int i = 0; i < options.clients; ++i) {
    clients_.push_back(std::make_unique<SoakClient>(
        *this, i,
        i % 4 == 3 ? SoakOptions::ReportsRoute() : SoakOptions::OrdersRoute(),
        i % 2 == 0));
  }
  for (int i = 0; i < options.balancers; ++i) {
    readiness_.push_back(std::make_unique<HttpClient>(
        loop, options.Balancer(i, SoakOptions::kReadiness)));
  }
}

bool PacketWorld::calm() const {
  return calm_from_ != TimePoint() && loop.Now() >= calm_from_;
}

SoakVerdict PacketWorld::Run() {
  configuration_.Start();
  for (int i = 0; i < options.balancers; ++i) {
    timers_.push_back(
        loop.Every(kReadinessProbePeriod, [this, i] { ProbeReadiness(i); }));
  }
  for (auto& target : targets_) {
    timers_.push_back(loop.Every(kHeartbeatPeriod,
                                 [raw = target.get()] { raw->Announce(); }));
  }
  timers_.push_back(
      loop.Every(kTargetFaultPeriod, [this] { InjectTargetFault(); }));
  constexpr Duration kStartupTime = std::chrono::seconds(3);
  loop.Schedule(kStartupTime, [this] {
    for (auto& client : clients_) client->Start();
  });
  const Duration length = kStartupTime + std::chrono::seconds(options.seconds);
  calm_from_ = loop.Now() + length - std::chrono::seconds(options.calm_seconds);
  loop.Schedule(length, [this] { loop.Stop(); });
  loop.Run();
  return verdict;
}

void PacketWorld::ProbeReadiness(int balancer) {
  const auto at = static_cast<size_t>(balancer);
  // The previous probe was not answered.
  if (probes_.count(balancer) != 0) ++failed_probes_[at];
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/ready";
  probes_[balancer] = readiness_[at]->Call(
      request, ConnectionUse::kFresh, [this, balancer, at](HttpResult result) {
        const bool ready = result.complete && result.response.status == 200;
        failed_probes_[at] = ready ? 0 : failed_probes_[at] + 1;
        loop.Post([this, balancer] { probes_.erase(balancer); });
      });
}

bool PacketWorld::ShouldDrop() {
  return random.Below(1000) < static_cast<uint64_t>(options.lost_packets);
}

void PacketWorld::InjectTargetFault() {
  // The last fault must be over when the calm period begins.
  const Duration notice = options.open_flows ? kLongestPause : Duration::zero();
  if (-SinceCalm() < kTargetFaultDuration + notice) return;
  const auto count = static_cast<uint64_t>(options.targets);
  SoakTarget& target = *targets_[random.Below(count)];
  // A service with no target left would refuse every new flow.
  const bool other_draining = std::any_of(
      targets_.begin(), targets_.end(), [&target](const auto& other) {
        return other->draining() && other->service() == target.service();
      });
  if (other_draining) return;
  const bool crash =
      options.crashes && (!options.drains || random.Below(2) == 0);
  if (crash) {
    ++verdict.crashes;
    target.Crash();
  } else if (options.drains) {
    ++verdict.drains;
    target.Drain();
  }
}

void PacketWorld::RouteToBalancer(const Flow& flow, std::string_view packet) {
  if (ShouldDrop()) return;
  std::vector<int> candidates;
  for (int i = 0; i < options.balancers; ++i) {
    if (InRotation(i)) candidates.push_back(i);
  }
  for (int i = 0; candidates.empty() && i < options.balancers; ++i) {
    candidates.push_back(i);
  }
  Send(ChooseBalancer(flow, candidates), packet);
}

int PacketWorld::ChooseBalancer(const Flow& flow,
                                const std::vector<int>& candidates) const {
  if (options.open_flows) return candidates[HashFlow(flow) % candidates.size()];
  const auto weight = [this, &flow](int balancer) {
    return HashFlow(
        {flow.caller, options.Balancer(balancer, SoakOptions::kPackets)});
  };
  return *std::max_element(
      candidates.begin(), candidates.end(),
      [&weight](int a, int b) { return weight(a) < weight(b); });
}

void PacketWorld::Send(int balancer, std::string_view packet) {
  router_->Queue(options.Balancer(balancer, SoakOptions::kPackets), packet);
  router_->Flush();
}

bool PacketWorld::InRotation(int balancer) const {
  return failed_probes_[static_cast<size_t>(balancer)] <
         kUnreadyAfterFailedProbes;
}

bool PacketWorld::HeldByLivingTarget(const Flow& flow) const {
  return std::any_of(
      targets_.begin(), targets_.end(),
      [&flow](const auto& target) { return target->Holds(flow); });
}

void PacketWorld::RecordReset(const Flow& flow) {
  if (!HeldByLivingTarget(flow)) return;
  ++verdict.open_resets;
  PrintBroken(flow, "reset");
}

void PacketWorld::RecordStray(const Flow& flow) {
  if (!HeldByLivingTarget(flow)) return;
  Strays& strays = strays_[flow];
  if (strays.packets++ == 0) strays.first = loop.Now();
  if (strays.counted || strays.packets < kMisledPackets ||
      loop.Now() - strays.first < kMisledTime) {
    return;
  }
  strays.counted = true;
  ++verdict.misled_flows;
  PrintBroken(flow, "misled");
}

Endpoint PacketWorld::RouteOfNewFlow(const Endpoint& first) const {
  // A version that was written just before the calm period needs its time.
  const bool usual =
      !options.open_flows || calm() || first != SoakOptions::OrdersRoute();
  return usual ? first : configuration_.NewestAddedRoute();
}

void PacketWorld::RecordRun(const std::string& service, const std::string& id) {
  if (ServiceOf(id) != service) ++verdict.wrong_service;
  if (++runs_[id] > 1 && IsNonIdempotent(id)) ++verdict.duplicate_runs;
}

}  // namespace sesamesaddle
