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

}  // namespace

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
                       [this] { StartRequest(); });
}

void SoakClient::StartRequest() {
  // Every third request of a client is non-idempotent.
  id_ = std::string(next_id_ % 3 == 2 ? "w" : "r") +
        (route_ == SoakOptions::OrdersRoute() ? "o" : "p") +
        std::to_string(index_) + "-" + std::to_string(next_id_);
  ++next_id_;
  ++world_.verdict.requests;
  started_in_calm_ = world_.calm();
  if (started_in_calm_) ++world_.verdict.calm_requests;
  busy_ = true;
  tries_used_ = 0;
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
  addressed.source = Endpoint(world_.options.Client(index_, 0).ip(), port_);
  addressed.destination = route_;
  world_.RouteToBalancer({addressed.source, route_},
                         PacketWorld::MakePacket(addressed, payload));
}

void SoakClient::OnPacket(char* bytes, size_t size) {
  const std::string_view packet(bytes, size);
  const auto head = world_.codec.Decode(packet);
  if (!head || head->destination.port() != port_ || world_.ShouldDrop()) return;
  if (head->reset) {
    ++world_.verdict.resets;
    const bool may_have_run = open_ && busy_;
    open_ = false;
    ++attempt_;
    if (!busy_) return;
    if (may_have_run && IsNonIdempotent(id_)) {
      Finish(false);
    } else {
      ScheduleRetry();
    }
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

void SoakClient::Finish(bool answered) {
  busy_ = false;
  ++attempt_;
  if (answered) ++world_.verdict.answered;
  if (started_in_calm_) {
    ++(answered ? world_.verdict.calm_answered : world_.verdict.calm_failed);
  }
  if (!answered || !keeps_flow_) Close();
  const Duration pause = kRequestPause + Duration(world_.random.Below(100000));
  world_.loop.Schedule(pause, [this] { StartRequest(); });
}

}  // namespace sesamesaddle
