#include "target.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {
namespace {

constexpr Millis kWorkTime = Millis(20);
constexpr Millis kFirstRepeat = Millis(200);
constexpr Millis kLongestRepeat = Millis(1600);
constexpr int kMaxRepeats = 8;
constexpr int kSlots = 3;
constexpr Millis kStartCheck = Millis(5);
constexpr Millis kHeartbeatRetry = Millis(300);

int64_t NowMs() {
  return std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch())
      .count();
}

}  // namespace

Target::Target(Loop& loop, Record& record, const Layout& layout, int index)
    : loop_(loop),
      record_(record),
      layout_(layout),
      index_(index),
      ip_(Layout::Agent(index)),
      socket_(OpenUdp(ip_, layout.App())),
      random_(static_cast<uint32_t>(index) + 17) {
  loop_.OnReadable(socket_, [this] {
    ReadUdp(socket_, [this](std::string_view bytes) { OnPacket(bytes); });
  });
}

void Target::SendHeartbeats() {
  int incarnation = -1;
  int64_t sequence = 0;
  int64_t born = 0;
  while (true) {
    if (!running_) {
      std::this_thread::sleep_for(kStartCheck);
      continue;
    }
    if (incarnation != incarnation_) {
      incarnation = incarnation_;
      sequence = 0;
      born = std::chrono::duration_cast<Millis>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    }
    const std::string id =
        "i-" + std::to_string(index_) + "-" + std::to_string(incarnation);
    const nlohmann::json body = {
        {"service", kService},
        {"address", ip_ + ":" + std::to_string(layout_.App())},
        {"zone", layout_.ZoneOfAgent(index_)},
        {"version", "v1"},
        {"capacity", kSlots},
        {"state", "ready"},
        {"slowStartMs", std::max<int64_t>(0, cold_until_ms_ - NowMs())},
        {"seq", ++sequence},
        {"born", born}};
    const int status =
        CallHttp(ip_, layout_.Control(), "POST",
                 "/v1/instances/" + id + "/heartbeat", body.dump());
    if (status / 100 != 2) {
      record_.Line("heartbeat of " + id + " at " + ip_ + " got status " +
                   std::to_string(status));
    }
    WaitForNextHeartbeat(incarnation, status / 100 == 2);
  }
}

void Target::WaitForNextHeartbeat(int incarnation, bool acknowledged) const {
  // A call that fails is made again soon, as to the next daemon.
  const auto due =
      Clock::now() + (acknowledged ? Millis(kHeartbeatMs) : kHeartbeatRetry);
  while (Clock::now() < due && running_ && incarnation == incarnation_) {
    std::this_thread::sleep_for(kStartCheck);
  }
}

void Target::PowerOff() {
  running_ = false;
  flows_.clear();
  record_.Line("target " + std::to_string(index_) + " loses power");
}

void Target::PowerOn(Millis cold) {
  cold_until_ms_ = NowMs() + cold.count();
  ++incarnation_;
  running_ = true;
  record_.Line("target " + std::to_string(index_) + " starts, cold for " +
               std::to_string(cold.count()) + " ms");
}

void Target::CountOpened() {
  if (NowMs() >= cold_until_ms_) return;
  const auto now = Clock::now();
  opened_while_cold_.push_back(now);
  while (now - opened_while_cold_.front() >= std::chrono::seconds(1)) {
    opened_while_cold_.pop_front();
  }
  most_opened_ =
      std::max(most_opened_, static_cast<int>(opened_while_cold_.size()));
}

bool Target::HoldsOpen(const FlowKey& flow) const {
  const auto it = flows_.find(flow);
  return it != flows_.end() && it->second.open && !it->second.closed;
}

void Target::SendBytes(std::string_view bytes) const {
  SendUdp(socket_, ip_, layout_.Outbound(), bytes);
}

void Target::Send(const FlowKey& key, uint8_t flags, uint32_t sequence,
                  uint32_t acknowledged, const std::string& data) {
  Packet packet;
  packet.flags = flags;
  std::tie(packet.destination, packet.destination_port, packet.source,
           packet.source_port) = key;
  packet.sequence = sequence;
  packet.acknowledged = acknowledged;
  packet.data = data;
  SendBytes(Encode(packet));
}

void Target::OnPacket(std::string_view bytes) {
  if (!running_) return;
  const auto packet = Decode(bytes);
  if (!packet) return;
  const FlowKey key{packet->source, packet->source_port, packet->destination,
                    packet->destination_port};
  if (!SumIsValid(*packet)) {
    record_.Line("changed packet at target " + std::to_string(index_));
    return;
  }
  if ((packet->flags & kSyn) != 0) {
    OnSyn(key, *packet, bytes);
    return;
  }
  const auto it = flows_.find(key);
  const bool held =
      it != flows_.end() &&
      (it->second.open || packet->acknowledged == it->second.own_first + 1);
  if (!held) {
    SendBytes(Bounce(bytes));
    return;
  }
  OnData(key, *packet, it->second);
}

void Target::OnSyn(const FlowKey& key, const Packet& packet,
                   std::string_view bytes) {
  Flow& flow = flows_[key];
  const bool copy = flow.own_first != 0 && flow.client_first == packet.sequence;
  if (flow.own_first != 0 && !copy) {
    SendBytes(Bounce(bytes));
    return;
  }
  if (!copy) {
    flow.client_first = packet.sequence;
    flow.client_next = packet.sequence + 1;
    flow.own_first = random_();
    flow.own_next = flow.own_first + 1;
  }
  Send(key, kSyn | kAck, flow.own_first, flow.client_next, "");
}

void Target::OnData(const FlowKey& key, const Packet& packet, Flow& flow) {
  if (!flow.open) {
    flow.open = true;
    CountOpened();
    record_.Line("open " + IpText(std::get<0>(key)) + ":" +
                 std::to_string(std::get<1>(key)) + " at target " +
                 std::to_string(index_));
  }
  if (packet.acknowledged == flow.own_next) flow.answer.clear();
  if ((packet.flags & kReset) != 0 || flow.closed) {
    flow.closed = true;
    return;
  }
  if ((packet.flags & kFin) != 0) {
    flow.closed = true;
    Send(key, kFin | kAck, flow.own_next, packet.sequence + 1, "");
    return;
  }
  if (packet.data.empty()) return;
  if (packet.sequence == flow.client_next) {
    Run(key, packet, flow);
  } else if (!flow.answer.empty()) {
    SendAnswer(key, flow.own_next, Millis(0));
  } else {
    Send(key, kAck, flow.own_next, flow.client_next, "");
  }
}

void Target::Run(const FlowKey& key, const Packet& packet, Flow& flow) {
  flow.client_next += static_cast<uint32_t>(packet.data.size());
  ++runs_;
  record_.Line("run " + packet.data + " at target " + std::to_string(index_));
  const std::string answer = "HTTP/1.1 200 OK " + packet.data;
  loop_.After(kWorkTime, [this, key, answer] {
    const auto it = flows_.find(key);
    if (it == flows_.end() || it->second.closed) return;
    Flow& flow = it->second;
    flow.answer = answer;
    flow.answer_sent = 0;
    flow.own_next += static_cast<uint32_t>(answer.size());
    SendAnswer(key, flow.own_next, kFirstRepeat);
  });
}

void Target::SendAnswer(const FlowKey& key, uint32_t sequence, Millis next) {
  const auto it = flows_.find(key);
  if (it == flows_.end()) return;
  Flow& flow = it->second;
  // It was acknowledged, or a later one has followed.
  if (flow.answer.empty() || flow.own_next != sequence || flow.closed) return;
  if (flow.answer_sent++ > kMaxRepeats) return;
  Send(key, kAck, sequence - static_cast<uint32_t>(flow.answer.size()),
       flow.client_next, flow.answer);
  if (next == Millis(0)) return;
  loop_.After(next, [this, key, sequence, next] {
    SendAnswer(key, sequence, std::min(2 * next, kLongestRepeat));
  });
}

}  // namespace review
