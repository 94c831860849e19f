// The part of ReplicaFollower that handles evacuations when the store comes
// back from a copy of its data.

#include <vector>

#include "core/text.h"
#include "registry/replica_follower.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "replica";

}  // namespace

bool ReplicaFollower::IsEvacuationKey(const std::string& key) const {
  return !keys_.evacuation_prefix.empty() &&
         HasPrefix(key, keys_.evacuation_prefix);
}

void ReplicaFollower::KeepMissingEvacuations() {
  evacuations_kept_until_ = scheduler_.Now() + options_.rewrite_period;
  keeping_evacuations_ = true;
}

bool ReplicaFollower::IsKeptEvacuation(const std::string& key,
                                       const Entry& entry,
                                       StoreRevision as_of) const {
  return keeping_evacuations_ && IsEvacuationKey(key) &&
         entry.revision.era < as_of.era &&
         scheduler_.Now() < evacuations_kept_until_;
}

void ReplicaFollower::SettleEvacuations(bool listed) {
  if (keeping_evacuations_) {
    if (scheduler_.Now() < evacuations_kept_until_) return;
    keeping_evacuations_ = false;
    listed = true;
  }
  if (!listed) return;
  std::set<std::string> present;
  std::vector<std::string> missing;
  for (auto it = entries_.lower_bound(keys_.evacuation_prefix);
       it != entries_.end() && IsEvacuationKey(it->first); ++it) {
    if (it->second.revision.era < era_) {
      missing.push_back(it->first);
    } else {
      present.insert(it->first);
    }
  }
  for (const std::string& key : missing) {
    LogLine(log_, EventKind::kStateChange, kLogComponent, "evacuation-lost")
        .Add("key", key)
        .Add("era", era_.value())
        .Add("revision", directory_revision_.number);
    RemoveEntry(key, directory_revision_);
  }
  listener_.OnEvacuationsListed(present, directory_revision_);
}

}  // namespace sesamesaddle
