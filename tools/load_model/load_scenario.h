#ifndef SESAMESADDLE_TOOLS_LOAD_MODEL_LOAD_SCENARIO_H_
#define SESAMESADDLE_TOOLS_LOAD_MODEL_LOAD_SCENARIO_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "core/time.h"

namespace sesamesaddle {

/** Requests of one kind, which arrive at random times at a mean rate. */
struct RequestClass {
  std::string name;
  double per_second = 0;
  /** Mean time for which a warm target works on a request. */
  Duration service_time{};
  /** Standard deviation of the logarithm of the service time. */
  double spread = 0;
  Duration target_latency{};
  /** Clients give up after this time since they sent the request. */
  Duration deadline{};
  /** Priority of the route; 0 is served first. */
  int priority = 0;
  /** Clients keep their flow for further requests. */
  bool keeps_flow = false;
  /** A request that may have run is not repeated. */
  bool runs_once = false;
  /** Value of an answer within the target latency; a late one counts 0.3. */
  double value = 1;
};

/** A period in which the targets need a multiple of their service time. */
struct SlowPeriod {
  Duration at{};
  Duration length{};
  /** Share of the targets, from 0 to 1. */
  double share = 1;
  double factor = 1;
};

/** A period in which the rate of all requests is a multiple of its mean. */
struct Burst {
  Duration at{};
  Duration length{};
  double factor = 1;
};

/** A load, a fleet that serves it, and what happens to them. */
struct LoadScenario {
  std::string name;
  size_t balancers = 1;
  size_t targets = 1;
  /** Requests that a target works on at once, and further ones it queues. */
  int slots = 1;
  size_t target_queue = 16;
  /** Targets that have just started need a multiple of their service time. */
  double cold_factor = 1;
  Duration cold_time{};
  Duration length{};
  /** All processes and targets lose power from `outage_at` on, if set. */
  Duration outage_at{};
  Duration outage_length{};
  std::vector<RequestClass> classes;
  std::vector<SlowPeriod> slow_periods;
  std::vector<Burst> bursts;
};

/** Returns the scenario that a TOML document describes, or what is wrong. */
tl::expected<LoadScenario, std::string> ParseLoadScenario(
    std::string_view document);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_LOAD_MODEL_LOAD_SCENARIO_H_
