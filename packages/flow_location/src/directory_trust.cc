#include "flow_location/directory_trust.h"

namespace sesamesaddle {

void DirectoryTrust::OnReport(TimePoint now, Duration target_known) {
  const Duration since_read = since_ ? now - *since_ : Duration::zero();
  reported_ = true;
  if (target_known >= kEntryReturnTime + since_read) any_survived_ = true;
}

bool DirectoryTrust::Covers(TimePoint as_of) const {
  if (!since_) return false;
  const bool fleet_restarted = reported_ && !any_survived_;
  return fleet_restarted || as_of - *since_ >= kEntryReturnTime;
}

}  // namespace sesamesaddle
