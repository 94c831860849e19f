#include "registry/read_allowance.h"

#include <algorithm>

namespace sesamesaddle {

Duration ReadAllowance::Period(size_t processes) const {
  constexpr double kLeastRate = 1.0;
  const double rate = std::max(kLeastRate, reads_per_second_ * kShare);
  const std::chrono::duration<double> period(static_cast<double>(processes) /
                                             rate);
  return std::chrono::duration_cast<Duration>(period);
}

}  // namespace sesamesaddle
