#include "serving/retry_budget.h"

#include <algorithm>

namespace sesamesaddle {

void RetryBudget::OnRequest() {
  balance_ = std::min(kMaxBalance, balance_ + kRetriesPerRequest);
}

bool RetryBudget::TryRetry() {
  if (balance_ < 1) return false;
  balance_ -= 1;
  return true;
}

}  // namespace sesamesaddle
