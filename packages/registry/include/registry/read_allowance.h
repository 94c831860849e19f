#ifndef SESAMESADDLE_REGISTRY_READ_ALLOWANCE_H_
#define SESAMESADDLE_REGISTRY_READ_ALLOWANCE_H_

#include <cstddef>

#include "core/time.h"

namespace sesamesaddle {

/**
 * What one process may read from the store when all of its kind want to read at
 * once, as after an outage or a change that all must see. The store's rate is
 * fixed while the fleet grows, so the time between reads grows with the fleet.
 */
class ReadAllowance {
 public:
  /** Part of the rate; the rest is for leases, starts and operators. */
  static constexpr double kShare = 0.25;

  /** @param reads_per_second  the store's limit for the whole system */
  explicit ReadAllowance(double reads_per_second)
      : reads_per_second_(reads_per_second) {}

  /** @return the time between reads of each of that many processes. */
  Duration Period(size_t processes) const;

 private:
  double reads_per_second_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_READ_ALLOWANCE_H_
