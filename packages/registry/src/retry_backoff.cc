#include "registry/retry_backoff.h"

#include <algorithm>

namespace sesamesaddle {

Duration RetryBackoff::Next() {
  step_ = std::min(max_, std::max(initial_, step_ * 2));
  const auto spread = static_cast<uint64_t>(step_.count() / 2);
  return step_ / 2 + Duration(random_.Below(spread));
}

}  // namespace sesamesaddle
