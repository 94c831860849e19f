// The part of FlowAgent that holds requests of open flows while the target has
// no room.

#include <utility>

#include "steering/flow_agent.h"

namespace sesamesaddle {

bool FlowAgent::HasRequestRoom() const {
  // An agent that stops has no time to wait for room.
  return stopping_ || SynQueue::HasRoom(in_flight_ + expected_requests_,
                                        target_monitor_.announcement().slots);
}

bool FlowAgent::HeldRequestIsNext(TimePoint now) const {
  const auto request = requests_.MostUrgent(now);
  if (!request) return false;
  const auto syn = queue_.MostUrgent(now);
  // A slow start limits new flows only.
  if (!syn || !slow_start_.HasRoom(now)) return true;
  return !UrgencyOrder(options_.admission.order)(*syn, *request);
}

bool FlowAgent::HoldRequest(TimePoint now, const Endpoint& balancer,
                            const PacketHeader& header, const FlowEntry& entry,
                            const char* packet, size_t size) {
  if (options_.admission.flow_requests != FlowRequests::kQueued) return false;
  const Flow flow{header.source, header.destination};
  if (header.reset || target_monitor_.gone()) {
    requests_.Erase(flow);
    return false;
  }
  // Acknowledgements of the response before are no part of the request.
  if (header.payload_bytes == 0 && !header.fin) return false;
  if (requests_.AddPacket(flow, balancer, header.sequence,
                          std::string(packet, size))) {
    return true;
  }
  const bool begins_request =
      entry.state == FlowState::kOpen && header.payload_bytes > 0 &&
      !entry.request_in_flight && !entry.request_expected &&
      IsAfter(header.sequence + header.payload_bytes,
              entry.client_sequence_end);
  const bool latency_known = entry.target_latency > Duration::zero();
  if (!begins_request || !latency_known) return false;
  if (requests_.empty() && HasRequestRoom()) return false;
  HeldRequest request;
  request.flow = flow;
  request.balancer = balancer;
  request.packets.emplace_back(packet, size);
  request.sequence = header.sequence;
  request.arrived = now;
  request.priority = entry.priority;
  request.target_latency = entry.target_latency;
  requests_.Push(std::move(request));
  ++counters_.held_requests;
  DispatchQueue(now);
  return true;
}

void FlowAgent::DeliverHeldRequest(TimePoint now, HeldRequest request) {
  const auto it = flows_.find(request.flow);
  if (it == flows_.end() || it->second.state != FlowState::kOpen) return;
  for (std::string& packet : request.packets) {
    const auto header = codec_.Decode(packet);
    if (!header) continue;
    DeliverToTarget(now, *header, &it->second, request.balancer, packet.data(),
                    packet.size());
  }
}

}  // namespace sesamesaddle
