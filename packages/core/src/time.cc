#include "core/time.h"

namespace sesamesaddle {

TimePoint SteadyClock::Now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace sesamesaddle
