#ifndef SESAMESADDLE_STEERING_ROUTE_HISTORY_H_
#define SESAMESADDLE_STEERING_ROUTE_HISTORY_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "steering/route_table.h"

namespace sesamesaddle {

/** How a configuration follows the one before it. */
enum class UpdateContinuity {
  kContiguous,  // Nothing was written in between.
  kAfterGap,    // Others may have been in force meanwhile.
};

/**
 * The services that routes led to within a flow's lifetime. An open flow stays
 * where it is when its route is pointed elsewhere, so it may be at any of them,
 * and at no other once the history reaches back far enough.
 */
class RouteHistory {
 public:
  /** @param flow_lifetime  a flow older than this may be forgotten */
  explicit RouteHistory(Duration flow_lifetime) : lifetime_(flow_lifetime) {}

  /** `after` takes the place of `before`. */
  void Record(TimePoint now, const RouteTable& before, const RouteTable& after,
              UpdateContinuity continuity);
  /** @return the services of the route now, then those that it had. */
  std::vector<std::string> ServicesOf(TimePoint now, const Endpoint& address,
                                      const Route& route) const;
  /** Whether no flow can be at a service that ServicesOf lacks. */
  bool CoversFlowLifetime(TimePoint now) const;

 private:
  void Expire(TimePoint now);

  Duration lifetime_;
  /** For each address the services that it no longer leads to, and since when.
   */
  std::unordered_map<Endpoint, std::map<std::string, TimePoint>>
      former_services_;
  TimePoint continuous_since_{};
  bool started_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_ROUTE_HISTORY_H_
