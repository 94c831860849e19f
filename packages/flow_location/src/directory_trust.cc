#include "flow_location/directory_trust.h"

#include <algorithm>
#include <iterator>

namespace sesamesaddle {

void DirectoryTrust::OnReport(TimePoint now, Duration target_known) {
  const Duration since_read = since_ ? now - *since_ : Duration::zero();
  reported_ = true;
  if (target_known >= kEntryReturnTime + since_read) any_survived_ = true;
}

void DirectoryTrust::OnUnlistedReport(TimePoint now, const Endpoint& agent) {
  for (auto it = unlisted_.begin(); it != unlisted_.end();) {
    const bool expired = now - it->second >= kEntryReturnTime;
    it = expired ? unlisted_.erase(it) : std::next(it);
  }
  unlisted_[agent] = now;
}

bool DirectoryTrust::LacksAgent(TimePoint now, const Endpoint& agent) const {
  const auto it = unlisted_.find(agent);
  return it != unlisted_.end() && now - it->second < kEntryReturnTime;
}

bool DirectoryTrust::Covers(TimePoint as_of) const {
  if (!since_) return false;
  const bool incomplete = std::any_of(
      unlisted_.begin(), unlisted_.end(), [as_of](const auto& report) {
        return as_of - report.second < kEntryReturnTime;
      });
  if (incomplete) return false;
  const bool fleet_restarted = reported_ && !any_survived_;
  return fleet_restarted || as_of - *since_ >= kEntryReturnTime;
}

}  // namespace sesamesaddle
