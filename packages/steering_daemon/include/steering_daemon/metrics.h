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

/** Metrics by name; names that end in _total are counters, others gauges. */
using MetricValues = std::map<std::string, int64_t>;

/** Adds the numbers of log lines; common to all kinds of process. */
void AddLogMetrics(const EventLogCounts& counts, MetricValues& values);

/** Adds the numbers of calls to the store, by kind. */
void AddStoreMetrics(const std::map<StoreCall, StoreCallCounts>& counts,
                     MetricValues& values);

/** Records durations in a Prometheus histogram in seconds. */
class LatencyHistogram : public DurationObserver {
 public:
  LatencyHistogram(prometheus::Registry& registry, const std::string& name,
                   const std::string& help);

  void Observe(Duration duration) override;

 private:
  prometheus::Histogram& histogram_;
};

/**
 * Returns the values in the Prometheus text format, prefixed sesamesaddle_.
 * @param registry  histograms to add, or null
 */
std::string FormatMetrics(const MetricValues& values,
                          const prometheus::Registry* registry);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_METRICS_H_
