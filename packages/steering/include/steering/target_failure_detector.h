#ifndef SESAMESADDLE_STEERING_TARGET_FAILURE_DETECTOR_H_
#define SESAMESADDLE_STEERING_TARGET_FAILURE_DETECTOR_H_

#include <cstddef>
#include <unordered_map>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Detects a target that fails its requests, from the timing and size of its
 * responses; the payload is not read. A target that fails requests without
 * working on them responds sooner and with fewer bytes than before, or resets
 * flows, even if its health check passes.
 */
class TargetFailureDetector {
 public:
  /** Failure rate above which a target is failing. */
  static constexpr double kFailingThreshold = 0.5;
  /** Failure rate below which it is no longer failing. */
  static constexpr double kServingThreshold = 0.25;
  /** Responses of a route from which its baseline is used. */
  static constexpr int kMinBaselineResponses = 8;
  /**
   * After this many anomalous responses in a row the baseline is learned anew.
   */
  static constexpr int kMaxConsecutiveAnomalies = 200;

  /**
   * Records the first packet of a response.
   * @param route    address that the request was sent to
   * @param latency  time since the request's first packet
   * @param bytes    payload size of that packet
   */
  void OnResponse(const Endpoint& route, Duration latency, size_t bytes);
  /** Records that the target reset a flow instead of responding. */
  void OnReset();
  /** Clears the failure rate for a new incarnation of the target. */
  void OnNewIncarnation();

  bool failing() const { return failing_; }
  /** Returns the exponential moving average of failed requests, 0 to 1. */
  double failure_rate() const { return failure_rate_; }

 private:
  /** Moving averages of the responses of one route. */
  struct Baseline {
    int responses = 0;
    int consecutive_anomalies = 0;
    double latency_us = 0;
    double bytes = 0;
  };

  void RecordOutcome(bool failed);

  std::unordered_map<Endpoint, Baseline> baselines_;
  double failure_rate_ = 0;
  bool failing_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_TARGET_FAILURE_DETECTOR_H_
