#include "registry/recent_changes.h"

#include <utility>

namespace sesamesaddle {

void RecentChanges::Add(const schema::KeyValue& item, int64_t era) {
  Change change;
  change.entry.key = item.key;
  if (!item.deleted) change.entry.value = item.value;
  change.entry.revision = item.version;
  change.entry.__set_era(era);
  change.removed = item.deleted;
  bytes_ += SizeOf(change);
  changes_.push_back(std::move(change));
  while (bytes_ > kMaxBytes && !changes_.empty()) {
    after_revision_ = changes_.front().entry.revision;
    bytes_ -= SizeOf(changes_.front());
    changes_.pop_front();
  }
}

void RecentChanges::Restart(int64_t revision) {
  changes_.clear();
  bytes_ = 0;
  after_revision_ = revision;
}

schema::ReplicaChanges RecentChanges::Message() const {
  schema::ReplicaChanges message;
  message.after_revision = after_revision_;
  for (const Change& change : changes_) {
    // A transaction writes several entries at one revision.
    if (change.entry.revision <= after_revision_) continue;
    (change.removed ? message.removed : message.entries)
        .push_back(change.entry);
  }
  return message;
}

size_t RecentChanges::SizeOf(const Change& change) {
  return change.entry.key.size() + change.entry.value.size();
}

}  // namespace sesamesaddle
