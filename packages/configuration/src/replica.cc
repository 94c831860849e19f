#include "configuration/replica.h"

#include "configuration/change_rules.h"
#include "configuration/zone_mode.h"

namespace sesamesaddle {

ConfigurationReplica::ConfigurationReplica() { current_.revision = 0; }

OfferResult ConfigurationReplica::OfferRecord(
    const schema::ChangeRecord& record) {
  if (record.revision <= current_.revision) return OfferResult::kAlreadyApplied;
  if (record.revision != current_.revision + 1) {
    if (pending_.size() < kMaxPendingRecords) {
      pending_[record.revision] = record;
    }
    return OfferResult::kGap;
  }
  if (!ApplyChange(current_, record.change, record.revision)) {
    return OfferResult::kInvalid;
  }
  AppendRecent(record);
  ApplyPendingRecords();
  return OfferResult::kApplied;
}

OfferResult ConfigurationReplica::OfferSnapshot(
    const schema::Configuration& snapshot) {
  if (snapshot.revision <= current_.revision) {
    return OfferResult::kAlreadyApplied;
  }
  current_ = snapshot;
  RestoreEvacuatedZones(current_);
  recent_.clear();  // There may be a gap between them and the snapshot.
  ApplyPendingRecords();
  return OfferResult::kApplied;
}

bool ConfigurationReplica::HasRecordsAfter(Revision revision) const {
  if (revision.value() >= current_.revision) return true;
  return !recent_.empty() && recent_.front().revision <= revision.value() + 1;
}

std::vector<schema::ChangeRecord> ConfigurationReplica::RecordsAfter(
    Revision revision, size_t limit) const {
  std::vector<schema::ChangeRecord> records;
  for (const schema::ChangeRecord& record : recent_) {
    if (records.size() == limit) break;
    if (record.revision > revision.value()) records.push_back(record);
  }
  return records;
}

void ConfigurationReplica::AppendRecent(const schema::ChangeRecord& record) {
  recent_.push_back(record);
  if (recent_.size() > kMaxRecentRecords) recent_.pop_front();
}

void ConfigurationReplica::ApplyPendingRecords() {
  pending_.erase(pending_.begin(), pending_.upper_bound(current_.revision));
  while (!pending_.empty() &&
         pending_.begin()->first == current_.revision + 1) {
    const schema::ChangeRecord record = pending_.begin()->second;
    pending_.erase(pending_.begin());
    if (!ApplyChange(current_, record.change, record.revision)) return;
    AppendRecent(record);
  }
}

}  // namespace sesamesaddle
