#ifndef SESAMESADDLE_FLOW_MODEL_ROUTE_TABLE_H_
#define SESAMESADDLE_FLOW_MODEL_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** Whether a request may be run more than once. */
enum class RequestKind : uint8_t { kRepeatable, kRunsOnce };

/** A service and its weight among a route's new flows. */
struct WeightedService {
  std::string service;
  int weight = 1;
};

/** Routing of the flows to one address and port. */
struct Route {
  std::string name;
  RequestKind kind = RequestKind::kRunsOnce;
  /** Priority; 0 is served first. */
  int priority = 0;
  /** Time within which a response should arrive. */
  Duration target_latency = std::chrono::milliseconds(200);
  /** Time after which clients stop waiting. */
  Duration timeout = std::chrono::seconds(1);
  std::vector<WeightedService> services;
};

/** Limit of new flows to a target of a service while it is in slow start. */
struct SlowStart {
  /** Time after a target's start during which it is in slow start. */
  Duration duration{};
  /** New flows per second to one target; above 0. */
  double flows_per_second = 0;

  friend bool operator==(const SlowStart& a, const SlowStart& b) {
    return a.duration == b.duration && a.flows_per_second == b.flows_per_second;
  }
};

/** One version of the operators' configuration. */
struct RouteTable {
  int64_t version = 0;
  std::unordered_map<Endpoint, Route> routes;
  /** A flow that is idle for longer may be dropped. */
  Duration idle_timeout = std::chrono::seconds(15);
  /** Limits by service; a service without a limit has no entry. */
  std::map<std::string, SlowStart> slow_starts;

  /** Returns the route of that address, or null. */
  const Route* Find(const Endpoint& address) const;
  /** Returns the service's limit, or null if it has none. */
  const SlowStart* FindSlowStart(const std::string& service) const;
};

/**
 * Picks a service by weight from the flow's hash. All processes pick the same
 * one, so that copies of a SYN go to the same service.
 */
const std::string& PickService(const Route& route, const Flow& flow);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_MODEL_ROUTE_TABLE_H_
