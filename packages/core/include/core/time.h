#ifndef SESAMESADDLE_CORE_TIME_H_
#define SESAMESADDLE_CORE_TIME_H_

#include <chrono>

namespace sesamesaddle {

using Duration = std::chrono::microseconds;
/** Time of a monotonic clock; only comparable within one process. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Monotonic clock interface; tests substitute simulated time. */
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/** The system's monotonic clock. */
class SteadyClock : public Clock {
 public:
  TimePoint Now() const override;
};

/** @return Unix time in milliseconds, for records that outlive a process. */
int64_t WallClockMs();

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_TIME_H_
