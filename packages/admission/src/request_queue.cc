#include "admission/request_queue.h"

#include <algorithm>
#include <utility>

#include "admission/syn_patience.h"

namespace sesamesaddle {

bool RequestQueue::AddPacket(const Flow& flow, const Endpoint& balancer,
                             uint32_t sequence, std::string packet) {
  const auto it = std::find_if(
      requests_.begin(), requests_.end(),
      [&flow](const HeldRequest& request) { return request.flow == flow; });
  if (it == requests_.end()) return false;
  it->balancer = balancer;
  if (sequence == it->sequence) {
    ++it->copies;
  } else if (it->packets.size() < kMaxPackets) {
    it->packets.push_back(std::move(packet));
  }
  return true;
}

void RequestQueue::Erase(const Flow& flow) {
  requests_.erase(std::remove_if(requests_.begin(), requests_.end(),
                                 [&flow](const HeldRequest& request) {
                                   return request.flow == flow;
                                 }),
                  requests_.end());
}

std::optional<Urgency> RequestQueue::MostUrgent(TimePoint now) const {
  if (requests_.empty()) return std::nullopt;
  return UrgencyOf(*First(now), now);
}

std::optional<HeldRequest> RequestQueue::Pop(TimePoint now) {
  if (requests_.empty()) return std::nullopt;
  const auto first = requests_.begin() + (First(now) - requests_.cbegin());
  HeldRequest request = std::move(*first);
  requests_.erase(first);
  return request;
}

Urgency RequestQueue::UrgencyOf(const HeldRequest& request,
                                TimePoint now) const {
  const Duration waited = now - request.arrived;
  return {SynPatience::ProbablyAbandoned(waited, request.copies),
          request.priority, waited + service_time_ > request.target_latency,
          request.arrived};
}

std::vector<HeldRequest>::const_iterator RequestQueue::First(
    TimePoint now) const {
  return std::min_element(requests_.begin(), requests_.end(),
                          [this, now](const auto& a, const auto& b) {
                            return UrgencyOrder(order_)(UrgencyOf(a, now),
                                                        UrgencyOf(b, now));
                          });
}

}  // namespace sesamesaddle
