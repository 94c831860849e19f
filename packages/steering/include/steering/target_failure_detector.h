#ifndef SESAMESADDLE_STEERING_TARGET_FAILURE_DETECTOR_H_
#define SESAMESADDLE_STEERING_TARGET_FAILURE_DETECTOR_H_

#include <cstddef>
#include <unordered_map>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Whether a target serves the requests that it gets, from what passes of its
 * answers; their bytes are not read. A target that fails requests without
 * working on them answers sooner and shorter than it used to, or breaks flows
 * off, whatever its health check says.
 */
class TargetFailureDetector {
 public:
  /** Share of recent requests that failed from which a target is failing. */
  static constexpr double kFailingThreshold = 0.5;
  /** Share below which it serves again. */
  static constexpr double kServingThreshold = 0.25;
  /** Answers of a route after which what is usual there is known. */
  static constexpr int kMinBaselineResponses = 8;
  /** So many unusual answers in a row are what is usual from then on. */
  static constexpr int kMaxConsecutiveAnomalies = 200;

  /**
   * The first packet of an answer came.
   * @param route  the address that the request was sent to
   * @param took   time from the request's first packet
   * @param bytes  payload of that packet
   */
  void OnResponse(const Endpoint& route, Duration latency, size_t bytes);
  /** The target reset a flow instead of answering. */
  void OnReset();
  /** Another target has taken the place of the one judged. */
  void OnNewIncarnation();

  bool failing() const { return failing_; }
  /** Moving average over requests; newer ones weigh more. */
  double failure_rate() const { return failure_rate_; }

 private:
  /** Answers of one route. */
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
