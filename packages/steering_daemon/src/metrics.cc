#include "steering_daemon/metrics.h"

#include <prometheus/text_serializer.h>

#include <vector>

namespace sesamesaddle {
namespace {

constexpr char kMetricPrefix[] = "sesamesaddle_";
constexpr char kCounterSuffix[] = "_total";
constexpr size_t kCounterSuffixBytes = sizeof(kCounterSuffix) - 1;

// Seconds, from the latency between zones to the longest request deadline.
const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries boundaries = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
  return boundaries;
}

prometheus::MetricFamily ToMetricFamily(const std::string& name,
                                        int64_t value) {
  prometheus::MetricFamily family;
  family.name = kMetricPrefix + name;
  family.help = name;
  const bool is_counter =
      name.size() > kCounterSuffixBytes &&
      name.compare(name.size() - kCounterSuffixBytes, kCounterSuffixBytes,
                   kCounterSuffix) == 0;
  prometheus::ClientMetric metric;
  if (is_counter) {
    family.type = prometheus::MetricType::Counter;
    metric.counter.value = static_cast<double>(value);
  } else {
    family.type = prometheus::MetricType::Gauge;
    metric.gauge.value = static_cast<double>(value);
  }
  family.metric.push_back(metric);
  return family;
}

}  // namespace

void AddLogMetrics(const EventLogCounts& counts, MetricValues& values) {
  values["log_lines_total"] = counts.written;
  values["log_lines_left_out_total"] = counts.rate_limited;
  values["log_lines_dropped_total"] = counts.dropped;
}

void AddStoreMetrics(const std::map<StoreCall, StoreCallCounts>& counts,
                     MetricValues& values) {
  for (const auto& [call, count] : counts) {
    const std::string name = "store_" + std::string(NameOf(call));
    values[name + "_calls_total"] = count.made;
    values[name + "_failures_total"] = count.failed;
  }
}

LatencyHistogram::LatencyHistogram(prometheus::Registry& registry,
                                   const std::string& name,
                                   const std::string& help)
    : histogram_(prometheus::BuildHistogram()
                     .Name(kMetricPrefix + name)
                     .Help(help)
                     .Register(registry)
                     .Add({}, LatencyBuckets())) {}

void LatencyHistogram::Observe(Duration duration) {
  histogram_.Observe(std::chrono::duration<double>(duration).count());
}

std::string FormatMetrics(const MetricValues& values,
                          const prometheus::Registry* registry) {
  std::vector<prometheus::MetricFamily> families;
  if (registry != nullptr) families = registry->Collect();
  for (const auto& [name, value] : values) {
    families.push_back(ToMetricFamily(name, value));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace sesamesaddle
