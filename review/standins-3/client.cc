#include "client.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

constexpr Millis kFirstCopy = Millis(200);
constexpr Millis kSecondCopy = Millis(600);
constexpr Millis kAttemptTimeout = Millis(1400);
constexpr Millis kNextFlow = Millis(300);
constexpr Millis kRequestDeadline = Millis(1000);
constexpr Millis kFirstRepeat = Millis(200);
constexpr Millis kLongestRepeat = Millis(1600);
constexpr uint16_t kFirstPort = 2000;

}  // namespace

Client::Client(Loop& loop, Record& record, const Layout& layout, int index,
               Habit habit, Millis pause, Route route, OnReset on_reset)
    : loop_(loop),
      record_(record),
      index_(index),
      habit_(habit),
      pause_(pause),
      ip_(Layout::Client(index)),
      socket_(OpenUdp(ip_, layout.Packets())),
      route_(std::move(route)),
      on_reset_(std::move(on_reset)),
      random_(static_cast<uint32_t>(index) + 1001),
      port_(static_cast<uint16_t>(kFirstPort + index * 500)) {
  loop_.OnReadable(socket_, [this] {
    ReadUdp(socket_, [this](std::string_view bytes) { OnPacket(bytes); });
  });
}

FlowKey Client::key() const {
  return {ParseIp(ip_), port_, ParseIp(Layout::RouteIp()), Layout::kRoutePort};
}

void Client::Start() { OpenFlow(); }

void Client::Send(uint8_t flags, uint32_t sequence, uint32_t acknowledged,
                  const std::string& data) {
  Packet packet;
  packet.flags = flags;
  std::tie(packet.source, packet.source_port, packet.destination,
           packet.destination_port) = key();
  packet.sequence = sequence;
  packet.acknowledged = acknowledged;
  packet.data = data;
  route_(socket_, key(), Encode(packet));
}

void Client::OpenFlow() {
  const int64_t attempt = ++attempt_;
  ++port_;
  open_ = false;
  next_ = random_();
  SendSyn(attempt, 0);
  loop_.After(kFirstCopy, [this, attempt] { SendSyn(attempt, 1); });
  loop_.After(kSecondCopy, [this, attempt] { SendSyn(attempt, 2); });
  loop_.After(kAttemptTimeout, [this, attempt] {
    if (attempt == attempt_ && !open_) OpenFlow();
  });
}

void Client::SendSyn(int64_t attempt, uint32_t copy) {
  if (attempt != attempt_ || open_) return;
  Send(kSyn, next_, copy, "");
}

void Client::StartRequest() {
  request_ = "GET /" + std::to_string(index_) + "-" + std::to_string(++sent_);
  record_.Line("request " + request_);
  loop_.After(kRequestDeadline, [this, attempt = attempt_, sent = sent_] {
    // The client gives the request up and opens another flow.
    if (habit_ != Habit::kFlowEach || attempt != attempt_) return;
    if (sent == sent_ && open_ && !request_.empty()) OpenFlow();
  });
  SendRequest(attempt_, next_, kFirstRepeat);
}

void Client::SendRequest(int64_t attempt, uint32_t sequence, Millis next) {
  if (attempt != attempt_ || !open_ || sequence != next_ || request_.empty()) {
    return;
  }
  Send(kAck, next_, acknowledged_, request_);
  loop_.After(next, [this, attempt, sequence, next] {
    SendRequest(attempt, sequence, std::min(2 * next, kLongestRepeat));
  });
}

void Client::OnPacket(std::string_view bytes) {
  const auto packet = Decode(bytes);
  if (!packet) return;
  const FlowKey flow{packet->destination, packet->destination_port,
                     packet->source, packet->source_port};
  if (flow != key()) return;
  if ((packet->flags & kReset) != 0) {
    if (open_) on_reset_(flow, *packet);
    loop_.After(kNextFlow, [this, attempt = attempt_] {
      if (attempt == attempt_) OpenFlow();
    });
    open_ = false;
    return;
  }
  if (!SumIsValid(*packet)) {
    record_.Line("changed packet at client " + ip_);
    return;
  }
  if ((packet->flags & kSyn) != 0) {
    if (open_ || packet->acknowledged != next_ + 1) return;
    open_ = true;
    ++next_;
    acknowledged_ = packet->sequence + 1;
    StartRequest();
    return;
  }
  if (!open_ || packet->data.empty()) return;
  const auto size = static_cast<uint32_t>(packet->data.size());
  if (packet->sequence == acknowledged_ && !request_.empty()) {
    acknowledged_ += size;
    next_ += static_cast<uint32_t>(request_.size());
    ++answered_;
    record_.Line("answered " + request_);
    request_.clear();
    AfterAnswer();
  }
  if (open_) Send(kAck, next_, acknowledged_, "");
}

void Client::AfterAnswer() {
  if (habit_ == Habit::kFlowEach) {
    Send(kFin | kAck, next_, acknowledged_, "");
    open_ = false;
    loop_.After(pause_, [this, attempt = attempt_] {
      if (attempt == attempt_) OpenFlow();
    });
    return;
  }
  loop_.After(pause_, [this, attempt = attempt_] {
    if (attempt == attempt_ && open_) StartRequest();
  });
}

}  // namespace review
