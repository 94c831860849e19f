#include "soak_target.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/time.h"
#include "packet_world.h"

namespace sesamesaddle {
namespace {

constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(400);
constexpr Duration kRequestTime = std::chrono::milliseconds(20);
constexpr int kSlots = 3;
constexpr size_t kQueueLimit = 6;
// During slow start a request takes kSlowStartFactor times as long.
constexpr int kSlowStartFactor = 3;
constexpr Duration kDrainDuration = std::chrono::milliseconds(2500);
// Time after an acknowledged drain from which the users' sites allow no new
// flows.
constexpr Duration kNewFlowBound = std::chrono::milliseconds(3000);
constexpr int64_t kClockStepMs = 2000;

}  // namespace

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

std::string SoakTarget::InstanceId() const {
  return "t" + std::to_string(index_) + "-" + std::to_string(incarnation_);
}

void SoakTarget::Crash() {
  flows_.clear();
  queue_.clear();
  running_ = 0;
  sequence_ = 0;
  ++incarnation_;
  // Differs from the previous incarnation's time even within one millisecond.
  // One restart in four simulates a machine clock that was set back.
  const bool set_back = world_.random.Below(4) == 0;
  born_ms_ = set_back ? born_ms_ - kClockStepMs
                      : std::max(born_ms_ + 1, WallClockMs());
  started_ = world_.loop.Now();
  cold_flows_.clear();
  draining_ = deregistered_ = false;
  drain_acknowledged_ = TimePoint();
  Announce();
}

void SoakTarget::Drain() {
  draining_ = true;
  Announce();
  const int incarnation = incarnation_;
  world_.loop.Schedule(kDrainDuration, [this, incarnation] {
    if (incarnation != incarnation_) return;
    deregistered_ = true;
    Call("/v1/instances/" + InstanceId() + "/deregister", "{}", [] {});
    world_.loop.Schedule(kHeartbeatPeriod, [this, incarnation] {
      if (incarnation == incarnation_) Crash();
    });
  });
}

void SoakTarget::Announce() {
  const auto slow_left =
      std::chrono::duration_cast<std::chrono::milliseconds>(SlowStartLeft());
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
  Call("/v1/instances/" + InstanceId() + "/heartbeat", body.dump(),
       [this, draining] {
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
                    if (result.complete && result.response.status == 200) {
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
    sum = (sum << 8) |
          static_cast<uint8_t>(bytes[PacketWorld::kChecksumOffset + i]);
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
    world_.RecordStray(flow);
    bytes[2] = static_cast<char>(bytes[2] | 2);
    std::fill(bytes + 3, bytes + 6, '\0');
    Send(std::string(packet));
    return;
  }
  known->second.open = true;
  world_.ForgetStrays(flow);
  if (head->fin || head->reset) {
    flows_.erase(known);
    return;
  }
  if (head->payload_bytes == 0) return;
  OnRequest(flow, known->second, *head,
            std::string(packet.substr(PlatformPacketCodec::kHeaderBytes)));
}

bool SoakTarget::Holds(const Flow& flow) const {
  const auto found = flows_.find(flow);
  return !deregistered_ && found != flows_.end() && found->second.open;
}

void SoakTarget::OnSyn(const Flow& flow, const PacketHeader& head) {
  FlowState& entry = flows_[flow];
  if (entry.client_sequence != head.sequence && !entry.open) {
    entry = FlowState();
    entry.client_sequence = head.sequence;
    entry.sequence = static_cast<uint32_t>(world_.random.Next());
    const bool late = drain_acknowledged_ != TimePoint() &&
                      world_.loop.Now() - drain_acknowledged_ > kNewFlowBound;
    if (late) ++world_.verdict.flows_after_drain;
    RecordColdFlow();
  }
  PacketHeader answer;
  answer.source = flow.service;
  answer.destination = flow.caller;
  answer.syn = answer.ack = true;
  answer.sequence = entry.sequence;
  Send(PacketWorld::MakePacket(answer, ""));
}

Duration SoakTarget::SlowStartLeft() const {
  const Duration slow_start =
      std::chrono::milliseconds(world_.options.slow_start_ms);
  return std::max(Duration::zero(),
                  slow_start - (world_.loop.Now() - started_));
}

void SoakTarget::RecordColdFlow() {
  if (SlowStartLeft() == Duration::zero()) return;
  const TimePoint now = world_.loop.Now();
  cold_flows_.push_back(now);
  while (now - cold_flows_.front() > std::chrono::seconds(1)) {
    cold_flows_.pop_front();
  }
  world_.verdict.most_cold_flows = std::max(
      world_.verdict.most_cold_flows, static_cast<int64_t>(cold_flows_.size()));
}

void SoakTarget::OnRequest(const Flow& flow, FlowState& entry,
                           const PacketHeader& head, const std::string& id) {
  const uint32_t end = head.sequence + head.payload_bytes;
  if (static_cast<int32_t>(end - entry.client_sequence) <= 0) {
    // A retransmission: the response was lost or is still outstanding.
    if (entry.answered == id) SendResponse(flow, "done " + id);
    return;
  }
  if (queue_.size() >= kQueueLimit) {
    ++world_.verdict.shed;
    SendResponse(flow, "shed " + id);
    return;
  }
  entry.client_sequence = end;
  world_.RecordRun(service_, id);
  queue_.push_back({flow, id});
  StartQueuedRequests();
}

void SoakTarget::StartQueuedRequests() {
  while (running_ < kSlots && !queue_.empty()) {
    const QueuedRequest queued = queue_.front();
    queue_.pop_front();
    ++running_;
    const int incarnation = incarnation_;
    const bool slow = SlowStartLeft() > Duration::zero();
    world_.loop.Schedule(kRequestTime * (slow ? kSlowStartFactor : 1),
                         [this, queued, incarnation] {
                           if (incarnation != incarnation_) return;
                           --running_;
                           const auto held = flows_.find(queued.flow);
                           if (held != flows_.end()) {
                             held->second.answered = queued.id;
                             SendResponse(queued.flow, "done " + queued.id);
                           }
                           StartQueuedRequests();
                         });
  }
}

void SoakTarget::SendResponse(const Flow& flow, const std::string& text) {
  PacketHeader head;
  head.source = flow.service;
  head.destination = flow.caller;
  head.ack = true;
  head.fin = draining_ && !world_.options.open_flows;
  Send(PacketWorld::MakePacket(head, text));
}

}  // namespace sesamesaddle
