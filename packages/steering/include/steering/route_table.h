#ifndef SESAMESADDLE_STEERING_ROUTE_TABLE_H_
#define SESAMESADDLE_STEERING_ROUTE_TABLE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** Whether a request may run more than once. */
enum class RequestKind : uint8_t { kRepeatable, kRunsOnce };

/** A service and its share of a route's new flows. */
struct WeightedService {
  std::string service;
  int weight = 1;
};

/** Where the flows to one address and port go. */
struct Route {
  std::string name;
  RequestKind kind = RequestKind::kRunsOnce;
  /** 0 is served first. */
  int priority = 0;
  /** Time within which an answer is worth most. */
  Duration target_latency = std::chrono::milliseconds(200);
  /** Time after which a client no longer waits. */
  Duration timeout = std::chrono::seconds(1);
  std::vector<WeightedService> services;
};

/** One version of the operators' configuration. */
struct RouteTable {
  int64_t version = 0;
  std::unordered_map<Endpoint, Route> routes;
  /** A flow that was idle for longer may be forgotten. */
  Duration idle_timeout = std::chrono::seconds(15);

  /** @return the route of that address, or null. */
  const Route* Find(const Endpoint& address) const;
};

/**
 * Picks a service by weight. All processes pick the same one for a flow, so
 * that copies of a SYN agree.
 */
const std::string& PickService(const Route& route, const Flow& flow);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_ROUTE_TABLE_H_
