#include "soak_client.h"

#include <algorithm>
#include <utility>

#include "packet_world.h"

namespace sesamesaddle {
namespace {

constexpr Duration kFirstRetransmission = std::chrono::milliseconds(200);
constexpr Duration kSecondRetransmission = std::chrono::milliseconds(600);
constexpr Duration kMaxRetransmissionDelay = std::chrono::milliseconds(1600);
constexpr Duration kRequestDeadline = std::chrono::milliseconds(2500);
constexpr Duration kRequestPause = std::chrono::milliseconds(150);
constexpr Duration kRetryPause = std::chrono::milliseconds(90);
constexpr int kMaxTries = 4;
// Balancers ask an agent again that sent nothing for 1.5 s.
constexpr Duration kLongPause = std::chrono::milliseconds(1600);
constexpr uint64_t kLongPauseSpreadUs = 1'000'000;
// Keeps flows younger than their lifetime in the sites, 60 s.
constexpr int kMaxRequestsPerFlow = 8;
constexpr int kRequestsPerShortFlow = 2;

}  // namespace

SoakClient::SoakClient(PacketWorld& world, int index, Endpoint route,
                       bool keeps_flow)
    : world_(world),
      index_(index),
      first_route_(route),
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

Flow SoakClient::flow() const {
  return {Endpoint(world_.options.Client(index_, 0).ip(), port_), route_};
}

void SoakClient::Start() {
  world_.loop.Schedule(Duration(world_.random.Below(200000)),
                       [this] { StartRequest(); });
}

void SoakClient::StartRequest() {
  // Every third request of a client is non-idempotent.
  id_ = std::string(next_id_ % 3 == 2 ? "w" : "r") +
        (first_route_ == SoakOptions::OrdersRoute() ? "o" : "p") +
        std::to_string(index_) + "-" + std::to_string(next_id_);
  ++next_id_;
  ++world_.verdict.requests;
  started_in_calm_ = world_.calm();
  if (started_in_calm_) ++world_.verdict.calm_requests;
  busy_ = true;
  tries_used_ = 0;
  // Copies of the last request may have reached other targets after its own.
  world_.ForgetStrays(flow());
  const int64_t request = next_id_;
  world_.loop.Schedule(kRequestDeadline, [this, request] {
    if (busy_ && request == next_id_) Finish(false);
  });
  StartAttempt();
}

void SoakClient::StartAttempt() {
  const int64_t attempt = ++attempt_;
  ++tries_used_;
  if (open_) {
    SendRequest(attempt, kFirstRetransmission);
    return;
  }
  ++port_;
  route_ = world_.RouteOfNewFlow(first_route_);
  answered_on_flow_ = 0;
  sequence_ = static_cast<uint32_t>(world_.random.Next());
  SendSyn(attempt);
  world_.loop.Schedule(kFirstRetransmission,
                       [this, attempt] { SendSyn(attempt); });
  world_.loop.Schedule(kSecondRetransmission,
                       [this, attempt] { SendSyn(attempt); });
}

void SoakClient::SendSyn(int64_t attempt) {
  if (attempt != attempt_ || open_ || !busy_) return;
  PacketHeader head;
  head.syn = true;
  head.sequence = sequence_;
  Send(head, "");
}

void SoakClient::SendRequest(int64_t attempt, Duration next) {
  if (attempt != attempt_ || !open_ || !busy_) return;
  PacketHeader head;
  head.ack = true;
  head.sequence = sequence_;
  head.acknowledged = server_sequence_ + 1;
  Send(head, id_);
  world_.loop.Schedule(next, [this, attempt, next] {
    SendRequest(attempt, std::min(kMaxRetransmissionDelay, next * 2));
  });
}

void SoakClient::Send(const PacketHeader& head, const std::string& payload) {
  PacketHeader addressed = head;
  addressed.source = flow().caller;
  addressed.destination = route_;
  world_.RouteToBalancer(flow(), PacketWorld::MakePacket(addressed, payload));
}

void SoakClient::OnPacket(char* bytes, size_t size) {
  const std::string_view packet(bytes, size);
  const auto head = world_.codec.Decode(packet);
  if (!head || head->destination.port() != port_ || world_.ShouldDrop()) return;
  if (head->reset) {
    OnReset();
    return;
  }
  if (head->syn) {
    if (open_ || !busy_) return;
    open_ = true;
    server_sequence_ = head->sequence;
    SendRequest(attempt_, kFirstRetransmission);
    return;
  }
  if (!busy_) return;
  const std::string text(packet.substr(PlatformPacketCodec::kHeaderBytes));
  if (text == "done " + id_) {
    sequence_ += static_cast<uint32_t>(id_.size());
    Finish(true);
    if (head->fin) Close();
  } else if (text == "shed " + id_) {
    Close();
    ScheduleRetry();
  } else if (text.rfind("done ", 0) != 0) {
    ++world_.verdict.wrong_answers;
  }
}

void SoakClient::OnReset() {
  ++world_.verdict.resets;
  if (open_) world_.RecordReset(flow());
  const bool may_have_run = open_ && busy_;
  open_ = false;
  ++attempt_;
  if (!busy_) return;
  if (may_have_run && IsNonIdempotent(id_)) {
    Finish(false);
  } else {
    ScheduleRetry();
  }
}

void SoakClient::ScheduleRetry() {
  if (tries_used_ >= kMaxTries) {
    Finish(false);
    return;
  }
  const int64_t attempt = ++attempt_;
  world_.loop.Schedule(kRetryPause, [this, attempt] {
    if (busy_ && attempt == attempt_) StartAttempt();
  });
}

void SoakClient::Close() {
  if (!open_) return;
  open_ = false;
  PacketHeader head;
  head.ack = head.fin = true;
  head.sequence = sequence_;
  head.acknowledged = server_sequence_ + 1;
  Send(head, "");
}

bool SoakClient::KeepsFlow() const {
  if (!world_.options.open_flows) return keeps_flow_;
  return answered_on_flow_ <
         (keeps_flow_ ? kMaxRequestsPerFlow : kRequestsPerShortFlow);
}

Duration SoakClient::Pause() const {
  // The second request of a flow follows soon, as balancers may still lack the
  // version that added its route.
  if (world_.options.open_flows && answered_on_flow_ != 1) {
    return kLongPause + Duration(world_.random.Below(kLongPauseSpreadUs));
  }
  return kRequestPause + Duration(world_.random.Below(100000));
}

void SoakClient::Finish(bool answered) {
  busy_ = false;
  ++attempt_;
  if (answered) ++world_.verdict.answered;
  if (started_in_calm_) {
    ++(answered ? world_.verdict.calm_answered : world_.verdict.calm_failed);
  }
  if (answered) ++answered_on_flow_;
  if (!answered || !KeepsFlow()) Close();
  world_.loop.Schedule(Pause(), [this] { StartRequest(); });
}

}  // namespace sesamesaddle
