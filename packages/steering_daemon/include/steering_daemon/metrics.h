#ifndef SESAMESADDLE_STEERING_DAEMON_METRICS_H_
#define SESAMESADDLE_STEERING_DAEMON_METRICS_H_

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>

#include "core/event_log.h"
#include "steering/flow_agent.h"
#include "store/metered_store.h"

namespace sesamesaddle {

/** Counters and gauges by name; names that end in _total are counters. */
using CounterValues = std::map<std::string, int64_t>;

/** Adds the counts of log lines, the same in every process. */
void AddLogCounts(const EventLogCounts& counts, CounterValues& values);

/** Adds the calls to the store, by kind. */
void AddStoreCalls(const std::map<StoreCall, StoreCallCounts>& counts,
                   CounterValues& values);

/** Durations as a histogram of seconds. */
class LatencyHistogram : public DurationObserver {
 public:
  LatencyHistogram(prometheus::Registry& registry, const std::string& name,
                   const std::string& help);

  void Observe(Duration duration) override;

 private:
  prometheus::Histogram& histogram_;
};

/**
 * @param registry  histograms to add, or null
 * @return the values in Prometheus' text format, prefixed sesamesaddle_
 */
std::string FormatMetrics(const CounterValues& values,
                          const prometheus::Registry* registry);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_METRICS_H_
