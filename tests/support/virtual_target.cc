#include "virtual_target.h"

#include <utility>

#include "steering_world.h"

namespace sesamesaddle {
namespace {

/** Returns the header of a packet from the target to the flow's client. */
PacketHeader AnswerOn(const Flow& flow) {
  PacketHeader header;
  header.source = flow.service;
  header.destination = flow.caller;
  header.ack = true;
  return header;
}

}  // namespace

void VirtualTarget::OnPacket(std::string packet) {
  if (!alive) return;
  TestPacketCodec codec;
  const auto header = codec.Decode(packet);
  const Flow flow{header->source, header->destination};
  if (header->syn) {
    OnSyn(flow, header->sequence);
    return;
  }
  world_.OnPacketAtTarget(index_, flow, HoldsOpen(flow));
  const auto it = flows_.find(flow);
  if (it == flows_.end()) {
    Return(std::move(packet));
    return;
  }
  HeldFlow& held = it->second;
  if (!held.open && header->acknowledged != held.sequence + 1) {
    Return(std::move(packet));
    return;
  }
  held.open = true;
  if (header->fin) {
    Close(flow);
    return;
  }
  if (header->payload_bytes == 0) return;
  const std::string id = packet.substr(TestPacketCodec::kHeaderBytes);
  if (failing) {
    ++errors;
    Answer({flow, id, 0}, "!");
    return;
  }
  if (!started_requests.insert(id).second) {
    // A retransmission of a running request, or of one whose response was lost.
    if (completed_requests.count(id) != 0) Answer({flow, id, 0}, "done " + id);
    return;
  }
  if (queue_.size() >= queue_limit) {
    started_requests.erase(id);
    ++shed;
    Answer({flow, id, 0}, "shed " + id);
    return;
  }
  if (world_.on_request_run) world_.on_request_run(index_, flow);
  queue_.push_back({flow, id, 0});
  Serve();
}

void VirtualTarget::OnSyn(const Flow& flow, uint32_t sequence) {
  const bool known = flows_.count(flow) != 0;
  HeldFlow& held = flows_[flow];
  if (!known || held.client_sequence != sequence) {
    held = HeldFlow();
    held.sequence = static_cast<uint32_t>(world_.random.Next());
    held.client_sequence = sequence;
    ++accepted_flows;
    accepted_at.push_back(world_.scheduler.Now());
    accepted_sent_at.push_back(world_.FirstSynOf(flow));
  }
  PacketHeader answer = AnswerOn(flow);
  answer.syn = true;
  answer.sequence = held.sequence;
  world_.FromTarget(index_, TestPacketCodec::Encode(answer));
}

void VirtualTarget::Close(const Flow& flow) {
  PacketHeader answer = AnswerOn(flow);
  answer.fin = true;
  world_.FromTarget(index_, TestPacketCodec::Encode(answer));
  flows_.erase(flow);
}

bool VirtualTarget::HoldsOpen(const Flow& flow) const {
  const auto it = flows_.find(flow);
  return alive && it != flows_.end() && it->second.open;
}

void VirtualTarget::Serve() {
  while (working_ < slots && !queue_.empty()) {
    const Request request = queue_.front();
    queue_.pop_front();
    ++working_;
    const int incarnation = starts;
    const Duration time =
        world_.service_time ? world_.service_time(index_, request.id) : work;
    world_.scheduler.After(time, [this, request, incarnation] {
      if (incarnation != starts || !alive) return;
      --working_;
      completed_requests.insert(request.id);
      Answer(request, "done " + request.id);
      Serve();
    });
  }
}

void VirtualTarget::Answer(const Request& request, const std::string& result) {
  world_.FromTarget(index_,
                    TestPacketCodec::Encode(AnswerOn(request.flow), result));
}

void VirtualTarget::Return(std::string packet) {
  ++world_.returned;
  TestPacketCodec codec;
  PacketHeader header = *codec.Decode(packet);
  header.returned = true;
  header.tag = HopTag();
  world_.FromTarget(index_,
                    TestPacketCodec::Encode(
                        header, packet.substr(TestPacketCodec::kHeaderBytes)));
}

void VirtualTarget::Crash() {
  alive = false;
  flows_.clear();
  queue_.clear();
  working_ = 0;
}

void VirtualTarget::Start() {
  Crash();
  alive = true;
  ++starts;
}

}  // namespace sesamesaddle
