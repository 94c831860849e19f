#include "soak_client.h"

#include <algorithm>
#include <utility>

#include "packet_world.h"

namespace sesamesaddle {
namespace {

constexpr Duration kFirstCopy = std::chrono::milliseconds(200);
constexpr Duration kSecondCopy = std::chrono::milliseconds(600);
constexpr Duration kLongestRepeat = std::chrono::milliseconds(1600);
constexpr Duration kDeadline = std::chrono::milliseconds(2500);
constexpr Duration kPause = std::chrono::milliseconds(150);
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
                       [this] { Request(); });
}

void SoakClient::Request() {
  // Every third request of a client runs once only.
  id_ = std::string(next_id_ % 3 == 2 ? "w" : "r") +
        (route_ == SoakOptions::OrdersRoute() ? "o" : "p") +
        std::to_string(index_) + "-" + std::to_string(next_id_);
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
    SendRequest(attempt, std::min(kLongestRepeat, next * 2));
  });
}

void SoakClient::Send(const PacketHeader& head, const std::string& payload) {
  PacketHeader addressed = head;
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
  const std::string text(packet.substr(PlatformPacketCodec::kHeaderBytes));
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
  if (calm_) {
    ++(answered ? world_.verdict.calm_answered : world_.verdict.calm_failed);
  }
  if (!answered || !keeps_flow_) Close();
  const Duration pause = kPause + Duration(world_.random.Below(100000));
  world_.loop.Schedule(pause, [this] { Request(); });
}

}  // namespace sesamesaddle
