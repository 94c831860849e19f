#include "admission/slow_start_limiter.h"

#include <algorithm>

namespace sesamesaddle {

size_t SlowStartLimiter::FlowsPerWindow(double flows_per_second) {
  return static_cast<size_t>(
      std::clamp(flows_per_second, 1.0, static_cast<double>(kMaxLimit)));
}

std::optional<size_t> SlowStartLimiter::Room(TimePoint now) const {
  if (!Cold(now) || !limit_) return std::nullopt;
  const TimePoint window_start = now - kWindow;
  if (recorded_since_ >= window_start) return 0;
  // Two flows that are exactly a window apart count as in the same second.
  const auto first =
      std::lower_bound(delivered_.begin(), delivered_.end(), window_start);
  const auto used = static_cast<size_t>(delivered_.end() - first);
  return used >= *limit_ ? 0 : *limit_ - used;
}

bool SlowStartLimiter::HasRoom(TimePoint now) const {
  const auto room = Room(now);
  return !room || *room > 0;
}

void SlowStartLimiter::Record(TimePoint now) {
  if (!Cold(now)) {
    delivered_.clear();
    return;
  }
  while (!delivered_.empty() && delivered_.front() < now - kWindow) {
    delivered_.pop_front();
  }
  if (delivered_.size() >= kMaxLimit) delivered_.pop_front();
  delivered_.push_back(now);
}

}  // namespace sesamesaddle
