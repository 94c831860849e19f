#include "serving/target_health.h"

#include <algorithm>

namespace sesamesaddle {

void TargetHealth::OnSuccess(TimePoint now) {
  failures_ = 0;
  if (!Ejected(now)) next_ejection_ = kFirstEjection;
}

void TargetHealth::OnFailure(TimePoint now, bool may_eject) {
  ++failures_;
  if (failures_ < kFailuresToEject || !may_eject || Ejected(now)) return;
  ejected_until_ = now + next_ejection_;
  next_ejection_ = std::min(next_ejection_ * 2, kLongestEjection);
  // A single failure after the ejection causes the next one.
  failures_ = kFailuresToEject - 1;
}

}  // namespace sesamesaddle
