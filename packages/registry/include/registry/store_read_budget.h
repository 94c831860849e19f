#ifndef SESAMESADDLE_REGISTRY_STORE_READ_BUDGET_H_
#define SESAMESADDLE_REGISTRY_STORE_READ_BUDGET_H_

#include <cstddef>

#include "core/time.h"

namespace sesamesaddle {

/**
 * Divides the store's read rate among the processes that replicate it, which
 * all read at once after an outage or a change. The rate is fixed, so the
 * interval between reads of one process grows with the fleet.
 */
class StoreReadBudget {
 public:
  /** Share of the rate; the rest is for leases, startups and operators. */
  static constexpr double kFleetShare = 0.25;

  /** @param reads_per_second  read limit of the store for the whole system */
  explicit StoreReadBudget(double reads_per_second)
      : reads_per_second_(reads_per_second) {}

  /** Returns the interval between reads of one of `processes` processes. */
  Duration ReadInterval(size_t processes) const;

 private:
  double reads_per_second_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_STORE_READ_BUDGET_H_
