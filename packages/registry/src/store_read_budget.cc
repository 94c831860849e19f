#include "registry/store_read_budget.h"

#include "core/rate_share.h"

namespace sesamesaddle {

Duration StoreReadBudget::ReadInterval(size_t processes) const {
  return ShareInterval(reads_per_second_ * kFleetShare, processes);
}

}  // namespace sesamesaddle
