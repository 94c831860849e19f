#ifndef SESAMESADDLE_TOOLS_LOAD_MODEL_LOAD_MODEL_H_
#define SESAMESADDLE_TOOLS_LOAD_MODEL_LOAD_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "load_scenario.h"
#include "steering_world.h"

namespace sesamesaddle {

/** What the clients of some requests got. */
struct Outcome {
  int sent = 0;
  int in_time = 0;
  int late = 0;
  /** Sums of the requests' values; a late answer has a share of it. */
  double value_sent = 0;
  double value_earned = 0;

  int unserved() const { return sent - in_time - late; }
  /** Returns the earned share of the value, 1 without requests. */
  double worth() const {
    return value_sent > 0 ? value_earned / value_sent : 1;
  }
};

/** One request of a generated load. */
struct LoadRequest {
  /** Index into LoadScenario::classes. */
  size_t kind = 0;
  /** Time since the start of the load. */
  Duration sent{};
  /** Time for which a warm, normal target works on it. */
  Duration service_time{};
};

/** Outcomes of all requests, by kind, and by the time at which they were sent.
 */
struct LoadResult {
  static constexpr Duration kWindow = std::chrono::seconds(2);

  Outcome all;
  /** In the order of LoadScenario::classes. */
  std::vector<Outcome> by_class;
  /** Requests sent within each kWindow. */
  std::vector<Outcome> by_window;

  /** Records a request that was answered after `took`, or not at all. */
  void Add(const LoadScenario& scenario, const LoadRequest& request,
           bool answered, Duration took);
};

/** Share of a request's value that a late answer has. */
constexpr double kLateValue = 0.3;

/** Returns the requests of the scenario, ordered by time. */
std::vector<LoadRequest> GenerateLoad(const LoadScenario& scenario,
                                      uint64_t seed);

/** Returns the scenario's factor of a service time at that time. */
double SlownessAt(const LoadScenario& scenario, size_t target, Duration at);

/**
 * Plays the scenario with real balancers and agents, simulated targets and
 * clients on a virtual clock. All processes are in one availability zone, and
 * they have unlimited processor time; what these cost shows only on the users'
 * bench.
 */
LoadResult PlayLoad(const LoadScenario& scenario,
                    const AdmissionOptions& options, uint64_t seed);

/**
 * Serves the same requests with a scheduler that knows each request's age and
 * service time, one queue for all slots, and no delays: what no real system can
 * exceed by much. It starts the requests that can be in time by value per
 * service time, then the others that can meet their deadline.
 */
LoadResult BoundOfLoad(const LoadScenario& scenario, uint64_t seed);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_LOAD_MODEL_LOAD_MODEL_H_
