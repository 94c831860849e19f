#include "virtual_flow_client.h"

#include <algorithm>

#include "steering_world.h"

namespace sesamesaddle {
namespace {

// Retransmission schedule of clients.
constexpr Duration kFirstRetransmission = std::chrono::milliseconds(200);
constexpr Duration kSecondRetransmission = std::chrono::milliseconds(600);
constexpr Duration kSynTimeout = std::chrono::milliseconds(1400);
constexpr Duration kRetryDelay = std::chrono::milliseconds(90);
constexpr Duration kMaxRetransmissionInterval = std::chrono::milliseconds(1600);
// A reset of an open flow counts if its sequence number is this close to what
// the client acknowledged last.
constexpr uint32_t kResetWindow = 76800;

}  // namespace

void VirtualFlowClient::Request(const std::string& id) {
  busy_ = true;
  id_ = id;
  began_ = world_.scheduler.Now();
  results[id] = ClientResult();
  StartAttempt();
}

void VirtualFlowClient::StartAttempt() {
  const int64_t attempt = ++attempt_;
  ++results[id_].tries;
  attempt_began_ = world_.scheduler.Now();
  if (open_) {
    SendRequest(attempt, kFirstRetransmission);
  } else {
    ++port_;
    sequence_ = static_cast<uint32_t>(world_.random.Next());
    syn_sequence_ = sequence_;
    received_ = 0;
    SendSyn(attempt, 0);
    world_.scheduler.After(kFirstRetransmission, [=] { SendSyn(attempt, 1); });
    world_.scheduler.After(kSecondRetransmission, [=] { SendSyn(attempt, 2); });
    world_.scheduler.After(kSynTimeout, [=] {
      if (attempt == attempt_ && busy_ && !open_) Fail(false);
    });
  }
  const int64_t first = attempt;
  const Duration left = deadline - (world_.scheduler.Now() - began_);
  world_.scheduler.After(left, [=] {
    if (!busy_ || attempt_ != first) return;
    busy_ = false;
    open_ = false;
    ++attempt_;
  });
}

void VirtualFlowClient::SendSyn(int64_t attempt, uint32_t retransmissions) {
  if (attempt != attempt_ || open_) return;
  PacketHeader header;
  header.syn = true;
  header.sequence = sequence_;
  header.acknowledged = retransmissions;
  Send(header);
}

void VirtualFlowClient::SendRequest(int64_t attempt, Duration next) {
  if (attempt != attempt_ || !busy_ || !open_) return;
  PacketHeader header;
  header.ack = true;
  header.sequence = sequence_;
  header.acknowledged = server_sequence_ + 1 + received_;
  Send(header, id_);
  world_.scheduler.After(next, [=] {
    SendRequest(attempt, std::min(kMaxRetransmissionInterval, next * 2));
  });
}

void VirtualFlowClient::Close() {
  if (!open_) return;
  open_ = false;
  PacketHeader header;
  header.ack = header.fin = true;
  header.sequence = sequence_;
  header.acknowledged = server_sequence_ + 1 + received_;
  Send(header);
}

void VirtualFlowClient::CloseAndReusePort() {
  if (busy_ || !open_) return;
  Close();
  --port_;  // The next attempt takes the one after it.
}

void VirtualFlowClient::RetransmitSyn() {
  if (!open_) return;
  PacketHeader header;
  header.syn = true;
  header.sequence = syn_sequence_;
  header.acknowledged = 1;
  Send(header);
}

void VirtualFlowClient::Send(PacketHeader header, const std::string& payload) {
  header.source = Endpoint(address_, port_);
  header.destination = route_;
  world_.FromClient(TestPacketCodec::Encode(header, payload));
}

bool VirtualFlowClient::AcceptsReset(uint32_t sequence) const {
  if (!open_) return true;
  const uint32_t acknowledged = server_sequence_ + 1 + received_;
  return sequence - acknowledged + kResetWindow <= 2 * kResetWindow;
}

void VirtualFlowClient::OnPacket(const PacketHeader& header,
                                 const std::string& payload) {
  if (header.destination.port() != port_) return;
  if (header.reset) {
    if (!AcceptsReset(header.sequence)) return;
    if (busy_) {
      ++results[id_].resets;
      Fail(true);
    } else {
      open_ = false;
    }
    return;
  }
  if (header.syn) {
    if (open_ || !busy_) return;
    open_ = true;
    server_sequence_ = header.sequence;
    SendRequest(attempt_, kFirstRetransmission);
    return;
  }
  received_ += static_cast<uint32_t>(payload.size());
  if (!busy_) return;
  if (payload == "shed " + id_ || payload == "!") {
    Fail(false);
    return;
  }
  if (payload != "done " + id_) return;
  busy_ = false;
  ++attempt_;
  sequence_ += static_cast<uint32_t>(id_.size());
  ClientResult& result = results[id_];
  result.answered = true;
  result.took = world_.scheduler.Now() - began_;
  if (!keeps_flow_) open_ = false;
}

void VirtualFlowClient::Fail(bool reset) {
  const bool possibly_run = open_ && reset;
  open_ = false;
  ++attempt_;
  const bool again =
      results[id_].tries <= retries && (repeatable || !possibly_run);
  if (!again) {
    busy_ = false;
    return;
  }
  const int64_t attempt = attempt_;
  world_.scheduler.After(kRetryDelay, [=] {
    if (attempt == attempt_ && busy_) StartAttempt();
  });
}

}  // namespace sesamesaddle
