#include "steering/recent_balancers.h"

#include <algorithm>

namespace sesamesaddle {

void RecentBalancers::Add(const Endpoint& balancer, TimePoint last_packet) {
  last_packets_[balancer] = last_packet;
  if (last_packets_.size() <= kMaxBalancers) return;
  last_packets_.erase(std::min_element(
      last_packets_.begin(), last_packets_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

std::vector<std::pair<Endpoint, TimePoint>> RecentBalancers::Take(
    TimePoint now) {
  Expire(now);
  std::vector<std::pair<Endpoint, TimePoint>> taken(last_packets_.begin(),
                                                    last_packets_.end());
  last_packets_.clear();
  return taken;
}

void RecentBalancers::Expire(TimePoint now) {
  for (auto it = last_packets_.begin(); it != last_packets_.end();) {
    it =
        now - it->second > retention_ ? last_packets_.erase(it) : std::next(it);
  }
}

}  // namespace sesamesaddle
