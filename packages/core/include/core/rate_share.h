#ifndef SESAMESADDLE_CORE_RATE_SHARE_H_
#define SESAMESADDLE_CORE_RATE_SHARE_H_

#include <algorithm>
#include <cstddef>

#include "core/time.h"

namespace sesamesaddle {

/**
 * Returns the interval between the calls of one of `processes` processes that
 * share a rate equally.
 * @param calls_per_second  the shared rate; at least one is assumed
 */
inline Duration ShareInterval(double calls_per_second, size_t processes) {
  constexpr double kMinCallsPerSecond = 1.0;
  const double rate = std::max(kMinCallsPerSecond, calls_per_second);
  const std::chrono::duration<double> interval(static_cast<double>(processes) /
                                               rate);
  return std::chrono::duration_cast<Duration>(interval);
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_RATE_SHARE_H_
