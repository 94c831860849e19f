#ifndef SESAMESADDLE_FLOW_LOCATION_ROUTE_HISTORY_H_
#define SESAMESADDLE_FLOW_LOCATION_ROUTE_HISTORY_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "flow_model/route_table.h"

namespace sesamesaddle {

/** Whether configuration updates were missed before this one. */
enum class UpdateContinuity {
  kContiguous,  // No update was missed.
  kAfterGap,    // Other configurations may have been in force in between.
};

/**
 * Records the services of each route during the lifetime of a flow. An open
 * flow stays at its target when its route changes to other services, so it may
 * be at any service recorded here, and at no other once the history covers a
 * flow's lifetime.
 */
class RouteHistory {
 public:
  /** @param flow_lifetime  maximum lifetime of a flow */
  explicit RouteHistory(Duration flow_lifetime) : lifetime_(flow_lifetime) {}

  /** Records that `after` replaces `before`. */
  void Record(TimePoint now, const RouteTable& before, const RouteTable& after,
              UpdateContinuity continuity);
  /** Returns the current services of the route, then its former ones. */
  std::vector<std::string> ServicesOf(TimePoint now, const Endpoint& address,
                                      const Route& route) const;
  /** Whether ServicesOf returns all services that may hold a flow. */
  bool CoversFlowLifetime(TimePoint now) const;

 private:
  void Expire(TimePoint now);

  Duration lifetime_;
  /** Former services of each address, with the time of their removal. */
  std::unordered_map<Endpoint, std::map<std::string, TimePoint>>
      former_services_;
  TimePoint continuous_since_{};
  bool started_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_LOCATION_ROUTE_HISTORY_H_
