#include "steering/target_failure_detector.h"

namespace sesamesaddle {
namespace {

// A response is anomalous if both its latency and its size are below these
// ratios to the baseline. Both are required because work times vary more than
// sizes do.
constexpr double kAnomalousLatencyRatio = 0.5;
constexpr double kAnomalousSizeRatio = 0.5;
// Weights of the newest response in the moving averages.
constexpr double kBaselineWeight = 1.0 / 16;
constexpr double kFailureRateWeight = 1.0 / 8;

}  // namespace

void TargetFailureDetector::OnResponse(const Endpoint& route, Duration latency,
                                       size_t bytes) {
  Baseline& baseline = baselines_[route];
  const auto latency_us = static_cast<double>(latency.count());
  const auto size = static_cast<double>(bytes);
  const bool known = baseline.responses >= kMinBaselineResponses;
  const bool anomalous =
      known && latency_us < baseline.latency_us * kAnomalousLatencyRatio &&
      size < baseline.bytes * kAnomalousSizeRatio;
  if (known) RecordOutcome(anomalous);
  if (anomalous) {
    if (++baseline.consecutive_anomalies >= kMaxConsecutiveAnomalies) {
      baseline = Baseline();
    }
    return;
  }
  baseline.consecutive_anomalies = 0;
  const double weight =
      known ? kBaselineWeight : 1.0 / (baseline.responses + 1);
  if (!known) ++baseline.responses;
  baseline.latency_us += (latency_us - baseline.latency_us) * weight;
  baseline.bytes += (size - baseline.bytes) * weight;
}

void TargetFailureDetector::OnReset() { RecordOutcome(true); }

void TargetFailureDetector::OnNewIncarnation() {
  failure_rate_ = 0;
  failing_ = false;
}

void TargetFailureDetector::RecordOutcome(bool failed) {
  failure_rate_ += ((failed ? 1.0 : 0.0) - failure_rate_) * kFailureRateWeight;
  if (failure_rate_ > kFailingThreshold) failing_ = true;
  if (failure_rate_ < kServingThreshold) failing_ = false;
}

}  // namespace sesamesaddle
