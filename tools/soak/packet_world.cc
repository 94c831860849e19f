#include "packet_world.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/hash.h"
#include "core/time.h"
#include "platform/base64.h"

namespace sesamesaddle {
namespace {

constexpr Duration kHeartbeat = std::chrono::milliseconds(400);
constexpr Duration kProbe = std::chrono::milliseconds(250);
constexpr int kMissesAllowed = 2;
constexpr Duration kWork = std::chrono::milliseconds(20);
constexpr int kSlots = 3;
constexpr size_t kQueueLimit = 6;
// A target that has just started takes three times as long.
constexpr Duration kSlowStart = std::chrono::milliseconds(1500);
constexpr int kSlowness = 3;
constexpr Duration kDisturbance = std::chrono::milliseconds(2500);
constexpr Duration kDrainTime = std::chrono::milliseconds(2500);
// Bound on new flows after an acknowledged drain, as the users' sites have it.
constexpr Duration kDrainBound = std::chrono::milliseconds(3000);
constexpr Duration kFirstCopy = std::chrono::milliseconds(200);
constexpr Duration kSecondCopy = std::chrono::milliseconds(600);
constexpr Duration kLongestRepeat = std::chrono::milliseconds(1600);
constexpr Duration kDeadline = std::chrono::milliseconds(2500);
constexpr Duration kPause = std::chrono::milliseconds(150);
constexpr Duration kRetryPause = std::chrono::milliseconds(90);
constexpr int kMaxTries = 4;
constexpr uint16_t kOrdersPort = 8443;
constexpr uint16_t kReportsPort = 8080;
const Endpoint kOrdersRoute(0xc6120001, kOrdersPort);
const Endpoint kReportsRoute(0xc6120002, kReportsPort);
constexpr size_t kChecksumOffset = 18;

/** Requests that may run once only say so in their id. */
bool RunsOnce(const std::string& id) { return id[0] == 'w'; }

std::string ServiceOf(const std::string& id) {
  return id[1] == 'o' ? "orders" : "reports";
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

std::string PacketWorld::MakePacket(const PacketHead& head,
                                    const std::string& payload) {
  const auto put = [](std::string& to, size_t at, uint64_t value, int bytes) {
    for (int i = 0; i < bytes; ++i) {
      to[at + static_cast<size_t>(i)] =
          static_cast<char>(value >> (8 * (bytes - 1 - i)));
    }
  };
  std::string packet(PlatformPacketCodec::kHeadBytes, '\0');
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
      misses_(static_cast<size_t>(options.balancers), kMissesAllowed) {
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
        *this, i, i % 4 == 3 ? kReportsRoute : kOrdersRoute, i % 2 == 0));
  }
  for (int i = 0; i < options.balancers; ++i) {
    readiness_.push_back(std::make_unique<HttpClient>(
        loop, options.Balancer(i, SoakOptions::kReadiness)));
  }
  store_ = std::make_unique<HttpClient>(loop, *Endpoint::Parse(options.store));
}

bool PacketWorld::calm() const {
  return calm_from_ != TimePoint() && loop.Now() >= calm_from_;
}

SoakVerdict PacketWorld::Run() {
  WriteConfiguration();
  for (int i = 0; i < options.balancers; ++i) {
    timers_.push_back(loop.Every(kProbe, [this, i] { ProbeReadiness(i); }));
  }
  for (auto& target : targets_) {
    timers_.push_back(
        loop.Every(kHeartbeat, [raw = target.get()] { raw->Announce(); }));
  }
  timers_.push_back(loop.Every(kDisturbance, [this] { DisturbTargets(); }));
  constexpr Duration kLead = std::chrono::seconds(3);
  loop.Schedule(kLead, [this] {
    for (auto& client : clients_) client->Start();
  });
  const Duration length = kLead + std::chrono::seconds(options.seconds);
  calm_from_ = loop.Now() + length - std::chrono::seconds(options.calm_seconds);
  loop.Schedule(length, [this] { loop.Stop(); });
  loop.Run();
  return verdict;
}

void PacketWorld::WriteConfiguration() {
  using Json = nlohmann::json;
  const auto route = [](const char* name, const char* host, int port,
                        const char* service) {
    return Json{{"name", name},
                {"host", host},
                {"prefix", "/" + std::to_string(port) + "/"},
                {"type", "idempotent"},
                {"timeoutMs", 2500},
                {"targetLatencyMs", 200},
                {"priority", 1},
                {"service", service}};
  };
  const Json document = {
      {"version", 1},
      {"routes",
       Json::array({route("orders", "198.18.0.1", kOrdersPort, "orders"),
                    route("reports", "198.18.0.2", kReportsPort, "reports")})},
      {"services", Json::array()},
      {"limits", {{"idleTimeoutMs", 15000}}}};
  const Json body = {
      {"precondition", Json::array()},
      {"writes", Json::array({{{"key", "op/config"},
                               {"value", EncodeBase64(document.dump())},
                               {"lease", 0}}})},
      {"remove", Json::array()}};
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/kv-txn";
  request.body = body.dump();
  store_call_ = store_->Call(request, ConnectionUse::kFresh, [](HttpResult) {});
}

void PacketWorld::ProbeReadiness(int balancer) {
  const auto at = static_cast<size_t>(balancer);
  // The answer to the probe before did not come.
  if (probes_.count(balancer) != 0) ++misses_[at];
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/ready";
  probes_[balancer] = readiness_[at]->Call(
      request, ConnectionUse::kFresh, [this, balancer, at](HttpResult result) {
        const bool ready = result.whole && result.response.status == 200;
        misses_[at] = ready ? 0 : misses_[at] + 1;
        loop.Post([this, balancer] { probes_.erase(balancer); });
      });
}

bool PacketWorld::Lose() {
  return random.Below(1000) < static_cast<uint64_t>(options.lost_packets);
}

void PacketWorld::DisturbTargets() {
  // The last disturbance is over when the calm time begins.
  if (calm_from_ - loop.Now() < kDrainTime + kSlowStart) return;
  const auto count = static_cast<uint64_t>(options.targets);
  SoakTarget& target = *targets_[random.Below(count)];
  // A service without any target could only refuse.
  const bool other_leaves = std::any_of(
      targets_.begin(), targets_.end(), [&target](const auto& other) {
        return other->draining() && other->service() == target.service();
      });
  if (other_leaves) return;
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

void PacketWorld::ToBalancer(const Flow& flow, std::string_view packet) {
  if (Lose()) return;
  int best = -1;
  uint64_t best_weight = 0;
  const bool any = std::any_of(misses_.begin(), misses_.end(),
                               [](int m) { return m < kMissesAllowed; });
  for (int i = 0; i < options.balancers; ++i) {
    if (any && misses_[static_cast<size_t>(i)] >= kMissesAllowed) continue;
    const uint64_t weight =
        HashFlow({flow.caller, options.Balancer(i, SoakOptions::kPackets)});
    if (best >= 0 && weight < best_weight) continue;
    best = i;
    best_weight = weight;
  }
  router_->Queue(options.Balancer(best, SoakOptions::kPackets), packet);
  router_->Flush();
}

void PacketWorld::OnRun(const std::string& service, const std::string& id) {
  if (ServiceOf(id) != service) ++verdict.wrong_service;
  if (++runs_[id] > 1 && RunsOnce(id)) ++verdict.duplicate_runs;
}

SoakTarget::SoakTarget(PacketWorld& world, int index, std::string service)
    : world_(world),
      index_(index),
      service_(std::move(service)),
      agent_(world.loop, world.options.Target(index, SoakOptions::kControl)) {
  auto socket = PacketSocket::Open(
      world.loop, world.options.Target(index, SoakOptions::kApp),
      {[this](const Endpoint& /*from*/, char* bytes, size_t size) {
         OnPacket(bytes, size);
       },
       [] {}, nullptr});
  socket_ = std::move(*socket);
  Crash();
}

std::string SoakTarget::Id() const {
  return "t" + std::to_string(index_) + "-" + std::to_string(incarnation_);
}

void SoakTarget::Crash() {
  flows_.clear();
  queue_.clear();
  working_ = 0;
  sequence_ = 0;
  ++incarnation_;
  // Later than that of the incarnation before, also within a millisecond.
  born_ms_ = std::max(born_ms_ + 1, WallClockMs());
  started_ = world_.loop.Now();
  draining_ = false;
  drain_acknowledged_ = TimePoint();
  Announce();
}

void SoakTarget::Drain() {
  draining_ = true;
  Announce();
  const int incarnation = incarnation_;
  world_.loop.Schedule(kDrainTime, [this, incarnation] {
    if (incarnation != incarnation_) return;
    Call("/v1/instances/" + Id() + "/deregister", "{}", [] {});
    world_.loop.Schedule(kHeartbeat, [this, incarnation] {
      if (incarnation == incarnation_) Crash();
    });
  });
}

void SoakTarget::Announce() {
  const auto slow_left = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(Duration::zero(), kSlowStart - (world_.loop.Now() - started_)));
  const nlohmann::json body = {
      {"service", service_},
      {"address", world_.options.Target(index_, SoakOptions::kApp).ToString()},
      {"zone", "z" + std::to_string(index_ % 2)},
      {"version", "v1"},
      {"capacity", kSlots},
      {"state", draining_ ? "draining" : "ready"},
      {"slowStartMs", slow_left.count()},
      {"seq", ++sequence_},
      {"born", born_ms_}};
  const bool draining = draining_;
  Call("/v1/instances/" + Id() + "/heartbeat", body.dump(), [this, draining] {
    if (draining && draining_ && drain_acknowledged_ == TimePoint()) {
      drain_acknowledged_ = world_.loop.Now();
    }
  });
}

void SoakTarget::Call(const std::string& path, const std::string& body,
                      std::function<void()> acknowledged) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  call_ =
      agent_.Call(request, ConnectionUse::kFresh,
                  [acknowledged = std::move(acknowledged)](HttpResult result) {
                    if (result.whole && result.response.status == 200) {
                      acknowledged();
                    }
                  });
}

void SoakTarget::Send(const std::string& packet) {
  socket_->Queue(world_.options.Target(index_, SoakOptions::kOutbound), packet);
  socket_->Flush();
}

void SoakTarget::OnPacket(char* bytes, size_t size) {
  const std::string_view packet(bytes, size);
  const auto head = world_.codec.Decode(packet);
  if (!head) return;
  const Flow flow{head->source, head->destination};
  uint32_t sum = 0;
  for (size_t i = 0; i < 4; ++i) {
    sum = (sum << 8) | static_cast<uint8_t>(bytes[kChecksumOffset + i]);
  }
  if (sum != PacketWorld::Checksum(packet)) ++world_.verdict.changed_packets;
  if (head->syn) {
    OnSyn(flow, *head);
    return;
  }
  const auto known = flows_.find(flow);
  const bool held =
      known != flows_.end() &&
      (known->second.open || head->acknowledged == known->second.sequence + 1);
  if (!held) {
    bytes[2] = static_cast<char>(bytes[2] | 2);
    std::fill(bytes + 3, bytes + 6, '\0');
    Send(std::string(packet));
    return;
  }
  known->second.open = true;
  if (head->fin || head->reset) {
    flows_.erase(known);
    return;
  }
  if (head->payload_bytes == 0) return;
  OnRequest(flow, known->second, *head,
            std::string(packet.substr(PlatformPacketCodec::kHeadBytes)));
}

void SoakTarget::OnSyn(const Flow& flow, const PacketHead& head) {
  Held& entry = flows_[flow];
  if (entry.client_sequence != head.sequence && !entry.open) {
    entry = Held();
    entry.client_sequence = head.sequence;
    entry.sequence = static_cast<uint32_t>(world_.random.Next());
    const bool late = drain_acknowledged_ != TimePoint() &&
                      world_.loop.Now() - drain_acknowledged_ > kDrainBound;
    if (late) ++world_.verdict.flows_after_drain;
  }
  PacketHead answer;
  answer.source = flow.service;
  answer.destination = flow.caller;
  answer.syn = answer.ack = true;
  answer.sequence = entry.sequence;
  Send(PacketWorld::MakePacket(answer, ""));
}

void SoakTarget::OnRequest(const Flow& flow, Held& entry,
                           const PacketHead& head, const std::string& id) {
  const uint32_t end = head.sequence + head.payload_bytes;
  if (static_cast<int32_t>(end - entry.client_sequence) <= 0) {
    // A repetition, because the answer was lost or is still to come.
    if (entry.answered == id) Answer(flow, "done " + id);
    return;
  }
  if (queue_.size() >= kQueueLimit) {
    ++world_.verdict.shed;
    Answer(flow, "shed " + id);
    return;
  }
  entry.client_sequence = end;
  world_.OnRun(service_, id);
  queue_.push_back({flow, id});
  Serve();
}

void SoakTarget::Serve() {
  while (working_ < kSlots && !queue_.empty()) {
    const Waiting waiting = queue_.front();
    queue_.pop_front();
    ++working_;
    const int incarnation = incarnation_;
    const bool slow = world_.loop.Now() - started_ < kSlowStart;
    world_.loop.Schedule(kWork * (slow ? kSlowness : 1),
                         [this, waiting, incarnation] {
                           if (incarnation != incarnation_) return;
                           --working_;
                           const auto held = flows_.find(waiting.flow);
                           if (held != flows_.end()) {
                             held->second.answered = waiting.id;
                             Answer(waiting.flow, "done " + waiting.id);
                           }
                           Serve();
                         });
  }
}

void SoakTarget::Answer(const Flow& flow, const std::string& text) {
  PacketHead head;
  head.source = flow.service;
  head.destination = flow.caller;
  head.ack = true;
  head.fin = draining_;
  Send(PacketWorld::MakePacket(head, text));
}

SoakClient::SoakClient(PacketWorld& world, int index, Endpoint route,
                       bool keeps_flow)
    : world_(world),
      index_(index),
      route_(route),
      keeps_flow_(keeps_flow),
      port_(static_cast<uint16_t>(1024 + world.random.Below(1000))) {
  auto socket = PacketSocket::Open(
      world.loop, world.options.Client(index, SoakOptions::kPackets),
      {[this](const Endpoint& /*from*/, char* bytes, size_t size) {
         OnPacket(bytes, size);
       },
       [] {}, nullptr});
  socket_ = std::move(*socket);
}

void SoakClient::Start() {
  world_.loop.Schedule(Duration(world_.random.Below(200000)),
                       [this] { Request(); });
}

void SoakClient::Request() {
  // Every third request of a client runs once only.
  id_ = std::string(next_id_ % 3 == 2 ? "w" : "r") +
        (route_ == kOrdersRoute ? "o" : "p") + std::to_string(index_) + "-" +
        std::to_string(next_id_);
  ++next_id_;
  ++world_.verdict.requests;
  calm_ = world_.calm();
  if (calm_) ++world_.verdict.calm_requests;
  busy_ = true;
  tries_ = 0;
  const int64_t request = next_id_;
  world_.loop.Schedule(kDeadline, [this, request] {
    if (busy_ && request == next_id_) Finish(false);
  });
  Try();
}

void SoakClient::Try() {
  const int64_t attempt = ++attempt_;
  ++tries_;
  if (open_) {
    SendRequest(attempt, kFirstCopy);
    return;
  }
  ++port_;
  sequence_ = static_cast<uint32_t>(world_.random.Next());
  SendSyn(attempt);
  world_.loop.Schedule(kFirstCopy, [this, attempt] { SendSyn(attempt); });
  world_.loop.Schedule(kSecondCopy, [this, attempt] { SendSyn(attempt); });
}

void SoakClient::SendSyn(int64_t attempt) {
  if (attempt != attempt_ || open_ || !busy_) return;
  PacketHead head;
  head.syn = true;
  head.sequence = sequence_;
  Send(head, "");
}

void SoakClient::SendRequest(int64_t attempt, Duration next) {
  if (attempt != attempt_ || !open_ || !busy_) return;
  PacketHead head;
  head.ack = true;
  head.sequence = sequence_;
  head.acknowledged = server_sequence_ + 1;
  Send(head, id_);
  world_.loop.Schedule(next, [this, attempt, next] {
    SendRequest(attempt, std::min(kLongestRepeat, next * 2));
  });
}

void SoakClient::Send(const PacketHead& head, const std::string& payload) {
  PacketHead addressed = head;
  addressed.source = Endpoint(world_.options.Client(index_, 0).ip(), port_);
  addressed.destination = route_;
  world_.ToBalancer({addressed.source, route_},
                    PacketWorld::MakePacket(addressed, payload));
}

void SoakClient::OnPacket(char* bytes, size_t size) {
  const std::string_view packet(bytes, size);
  const auto head = world_.codec.Decode(packet);
  if (!head || head->destination.port() != port_ || world_.Lose()) return;
  if (head->reset) {
    ++world_.verdict.resets;
    const bool ran_maybe = open_ && busy_;
    open_ = false;
    ++attempt_;
    if (!busy_) return;
    if (ran_maybe && RunsOnce(id_)) {
      Finish(false);
    } else {
      Again();
    }
    return;
  }
  if (head->syn) {
    if (open_ || !busy_) return;
    open_ = true;
    server_sequence_ = head->sequence;
    SendRequest(attempt_, kFirstCopy);
    return;
  }
  if (!busy_) return;
  const std::string text(packet.substr(PlatformPacketCodec::kHeadBytes));
  if (text == "done " + id_) {
    sequence_ += static_cast<uint32_t>(id_.size());
    Finish(true);
    if (head->fin) Close();
  } else if (text == "shed " + id_) {
    Close();
    Again();
  } else if (text.rfind("done ", 0) != 0) {
    ++world_.verdict.wrong_answers;
  }
}

void SoakClient::Again() {
  if (tries_ >= kMaxTries) {
    Finish(false);
    return;
  }
  const int64_t attempt = ++attempt_;
  world_.loop.Schedule(kRetryPause, [this, attempt] {
    if (busy_ && attempt == attempt_) Try();
  });
}

void SoakClient::Close() {
  if (!open_) return;
  open_ = false;
  PacketHead head;
  head.ack = head.fin = true;
  head.sequence = sequence_;
  head.acknowledged = server_sequence_ + 1;
  Send(head, "");
}

void SoakClient::Finish(bool answered) {
  busy_ = false;
  ++attempt_;
  if (answered) ++world_.verdict.answered;
  if (calm_) {
    ++(answered ? world_.verdict.calm_answered : world_.verdict.calm_failed);
  }
  if (!answered || !keeps_flow_) Close();
  const Duration pause = kPause + Duration(world_.random.Below(100000));
  world_.loop.Schedule(pause, [this] { Request(); });
}

}  // namespace sesamesaddle
