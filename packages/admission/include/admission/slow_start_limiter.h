#ifndef SESAMESADDLE_ADMISSION_SLOW_START_LIMITER_H_
#define SESAMESADDLE_ADMISSION_SLOW_START_LIMITER_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "core/time.h"

namespace sesamesaddle {

/**
 * Limits the new flows to a target in slow start: no sliding second has more of
 * them than the limit. The load that it serves: after an outage or a deployment
 * targets with empty caches get the traffic of all clients at once, and fail
 * requests above the rate that they can handle cold.
 */
class SlowStartLimiter {
 public:
  /** Length of the sliding window. */
  static constexpr Duration kWindow = std::chrono::seconds(1);
  /**
   * Highest limit in flows per window; higher ones are applied as this one.
   * Bounds the memory to 80 kB. A target serves about a tenth of it.
   */
  static constexpr size_t kMaxLimit = 10000;

  /** Returns the flows per window that a limit allows. */
  static size_t FlowsPerWindow(double flows_per_second);

  /** Sets the time until which the target is in slow start. */
  void SetColdUntil(TimePoint until) { cold_until_ = until; }
  /**
   * Sets the limit, rounded down and at least 1 flow per window.
   * @param flows_per_second  above 0
   */
  void SetLimit(double flows_per_second) {
    limit_ = FlowsPerWindow(flows_per_second);
  }
  void ClearLimit() { limit_.reset(); }
  /**
   * Sets the time from which all flows to the target were recorded here. There
   * is no room until a whole window is known: another process may have
   * delivered flows up to that time.
   */
  void SetRecordedSince(TimePoint since) { recorded_since_ = since; }

  /** Whether the target is in slow start. */
  bool Cold(TimePoint now) const { return now < cold_until_; }
  TimePoint cold_until() const { return cold_until_; }
  /** Returns the limit in flows per window, if one is set. */
  std::optional<size_t> limit() const { return limit_; }
  /**
   * Returns how many flows may be delivered now; nothing if the target is warm
   * or has no limit.
   */
  std::optional<size_t> Room(TimePoint now) const;
  /** Whether a flow may be delivered now. */
  bool HasRoom(TimePoint now) const;
  /**
   * Records the delivery of a new flow. Flows to a cold target without a limit
   * count too, as the limit may become known within the window.
   */
  void Record(TimePoint now);

 private:
  TimePoint cold_until_ = TimePoint::min();
  TimePoint recorded_since_ = TimePoint::min();
  std::optional<size_t> limit_;
  /** Times of the latest deliveries, oldest first; at most kMaxLimit. */
  std::deque<TimePoint> delivered_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ADMISSION_SLOW_START_LIMITER_H_
