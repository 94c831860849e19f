#include "flow_location/flow_record_policy.h"

#include <algorithm>

#include "core/rate_share.h"
#include "schema/flow_key.h"

namespace sesamesaddle {

bool HasAllFlows(const schema::FlowRecord& record, int64_t now_ms,
                 std::optional<int64_t> entry_revision) {
  if (!record.__isset.complete_at_ms || !record.__isset.entry_revision) {
    return false;
  }
  if (entry_revision != record.entry_revision) return false;
  const std::chrono::milliseconds age(now_ms - record.complete_at_ms);
  return age >= Duration::zero() && age <= kCompleteRecordValidity;
}

Duration FlowRecordPolicy::Interval(size_t agents) const {
  return std::max(kMinInterval,
                  ShareInterval(writes_per_second_ * kWriteShare, agents));
}

bool FlowRecordPolicy::IsRecorded(const schema::RecordedFlow& flow) const {
  const auto it = written_.find(FromKey(flow.flow));
  if (it == written_.end()) return false;
  return static_cast<uint32_t>(flow.acknowledged) - it->second <=
         kMaxSequenceLag;
}

bool FlowRecordPolicy::IsDue(TimePoint now, size_t agents,
                             const schema::FlowRecord& current) const {
  const Duration since = now - last_sent_;
  if (since < Interval(agents)) return false;
  int run_once = 0;
  int missing = 0;
  for (const schema::RecordedFlow& flow : current.flows) {
    if (!flow.runs_once) continue;
    ++run_once;
    if (!IsRecorded(flow)) ++missing;
  }
  if (missing == 0) return false;
  return since >= kMaxLag || missing > kMaxMissingShare * run_once;
}

void FlowRecordPolicy::OnWritten(const schema::FlowRecord& record) {
  written_.clear();
  for (const schema::RecordedFlow& flow : record.flows) {
    written_[FromKey(flow.flow)] = static_cast<uint32_t>(flow.acknowledged);
  }
}

}  // namespace sesamesaddle
