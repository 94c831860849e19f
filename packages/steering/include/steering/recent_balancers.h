#ifndef SESAMESADDLE_STEERING_RECENT_BALANCERS_H_
#define SESAMESADDLE_STEERING_RECENT_BALANCERS_H_

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Balancers that once sent packets to an agent, for as long as they may hold
 * flows of its target.
 */
class RecentBalancers {
 public:
  /** Maximum number; those that sent nothing for the longest are dropped. */
  static constexpr size_t kMaxBalancers = 1024;

  /** @param retention  time for which a balancer is kept after its packet */
  explicit RecentBalancers(Duration retention) : retention_(retention) {}

  void Add(const Endpoint& balancer, TimePoint last_packet);
  /** Removes all balancers and returns them with the times of their packets. */
  std::vector<std::pair<Endpoint, TimePoint>> Take(TimePoint now);
  void Expire(TimePoint now);

 private:
  Duration retention_;
  std::unordered_map<Endpoint, TimePoint> last_packets_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_RECENT_BALANCERS_H_
