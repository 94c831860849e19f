#include "registry/store_read_budget.h"

#include <algorithm>

namespace sesamesaddle {

Duration StoreReadBudget::ReadInterval(size_t processes) const {
  constexpr double kMinReadsPerSecond = 1.0;
  const double rate =
      std::max(kMinReadsPerSecond, reads_per_second_ * kFleetShare);
  const std::chrono::duration<double> period(static_cast<double>(processes) /
                                             rate);
  return std::chrono::duration_cast<Duration>(period);
}

}  // namespace sesamesaddle
