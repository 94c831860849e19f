#include "steering_daemon/metrics.h"

#include <prometheus/text_serializer.h>

#include <vector>

namespace sesamesaddle {
namespace {

constexpr char kPrefix[] = "sesamesaddle_";
constexpr char kSuffix[] = "_total";
constexpr size_t kSuffixBytes = sizeof(kSuffix) - 1;

// Seconds; from a hop between zones to the longest deadline of requests.
const prometheus::Histogram::BucketBoundaries& Boundaries() {
  static const prometheus::Histogram::BucketBoundaries boundaries = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
  return boundaries;
}

prometheus::MetricFamily ToFamily(const std::string& name, int64_t value) {
  prometheus::MetricFamily family;
  family.name = kPrefix + name;
  family.help = name;
  const bool counts =
      name.size() > kSuffixBytes &&
      name.compare(name.size() - kSuffixBytes, kSuffixBytes, kSuffix) == 0;
  prometheus::ClientMetric metric;
  if (counts) {
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

void AddLogCounts(const EventLogCounts& counts, CounterValues& values) {
  values["log_lines_total"] = counts.written;
  values["log_lines_left_out_total"] = counts.left_out;
  values["log_lines_dropped_total"] = counts.dropped;
}

void AddStoreCalls(const std::map<StoreCall, StoreCallCounts>& counts,
                   CounterValues& values) {
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
                     .Name(kPrefix + name)
                     .Help(help)
                     .Register(registry)
                     .Add({}, Boundaries())) {}

void LatencyHistogram::Observe(Duration duration) {
  histogram_.Observe(std::chrono::duration<double>(duration).count());
}

std::string FormatMetrics(const CounterValues& values,
                          const prometheus::Registry* registry) {
  std::vector<prometheus::MetricFamily> families;
  if (registry != nullptr) families = registry->Collect();
  for (const auto& [name, value] : values) {
    families.push_back(ToFamily(name, value));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace sesamesaddle
