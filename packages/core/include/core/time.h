#ifndef SESAMESADDLE_CORE_TIME_H_
#define SESAMESADDLE_CORE_TIME_H_

#include <chrono>

namespace sesamesaddle {

using Duration = std::chrono::microseconds;
/** A reading of a monotonic clock; comparable within one process only. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Source of the current time, replaced by a virtual one in tests. */
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/** The machine's monotonic clock. */
class SteadyClock : public Clock {
 public:
  TimePoint Now() const override;
};

/** Milliseconds since 1970, for records that outlive a process. */
int64_t WallClockMs();

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_TIME_H_
