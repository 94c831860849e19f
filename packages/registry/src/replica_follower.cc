#include "registry/replica_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/text.h"

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "replica";
// Removals are remembered for the writes that may still come in before them.
constexpr size_t kMaxRemoved = 10000;
// Everything: one watch then covers the configuration and the directory.
constexpr char kWholeStore[] = "";
// Below the prefix of the directory, and never written: a list of it tells the
// store's revision and nothing else.
constexpr char kNoKey[] = "none/";

}  // namespace

ReplicaFollower::ReplicaFollower(Store& store, Scheduler& scheduler,
                                 RandomSource& random, EventLog& log,
                                 ReplicaKeys keys, FollowerTimes times,
                                 ReadAllowance allowance,
                                 ReplicaListener& listener)
    : store_(store),
      scheduler_(scheduler),
      log_(log),
      keys_(std::move(keys)),
      times_(times),
      backoff_(random, times.first_retry, times.last_retry),
      allowance_(allowance),
      listener_(listener) {}

bool ReplicaFollower::OfDirectory(const std::string& key) const {
  return HasPrefix(key, keys_.directory_prefix);
}

void ReplicaFollower::Start() {
  started_ = scheduler_.Now();
  List();
}

Duration ReplicaFollower::GatherTime() const {
  const bool starting = scheduler_.Now() - started_ < times_.start;
  return std::max(starting ? times_.gather_at_start : times_.gather,
                  allowance_.Period(followers_));
}

void ReplicaFollower::List() {
  list_needed_ = true;
  const TimePoint began = scheduler_.Now();
  store_.List(kWholeStore, [this, began](auto list) {
    if (!list) {
      OnFailure(list.error());
      return;
    }
    list_needed_ = false;
    OnListed(*list);
    OnAnswer();
    listener_.OnRead(began);
    Watch();
  });
}

void ReplicaFollower::OnListed(const schema::KeyValueList& list) {
  std::map<std::string, int64_t> present;
  for (const schema::KeyValue& item : list.items) {
    if (OfDirectory(item.key)) present[item.key] = item.version;
    Take(item, true);
  }
  RemoveMissing(present, list.revision);
  directory_revision_ = std::max(directory_revision_, list.revision);
}

void ReplicaFollower::RemoveMissing(
    const std::map<std::string, int64_t>& present, int64_t as_of) {
  std::vector<std::string> missing;
  for (const auto& [key, entry] : entries_) {
    if (present.count(key) == 0 && entry.revision <= as_of) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) RemoveEntry(key, as_of);
}

void ReplicaFollower::Watch() {
  const Duration wait =
      store_failed_ ? times_.watch_after_failure : times_.watch;
  store_.Watch(kWholeStore, directory_revision_, wait, [this](auto changes) {
    if (!changes) {
      if (changes.error() == StoreError::kRevisionCompacted) {
        list_needed_ = true;
      }
      OnFailure(changes.error());
      return;
    }
    TakeChanges(*changes);
    OnAnswer();
    if (changes->items.empty()) {
      Watch();
      return;
    }
    WatchAfterGathering();
  });
}

void ReplicaFollower::WatchAfterGathering() {
  gathering_ = true;
  const int64_t timer = ++gather_timer_;
  scheduler_.After(GatherTime(), [this, timer] {
    if (timer != gather_timer_) return;
    gathering_ = false;
    Watch();
  });
}

void ReplicaFollower::TakeChanges(const schema::KeyValueList& changes) {
  for (const schema::KeyValue& item : changes.items) Take(item, false);
  directory_revision_ = std::max(directory_revision_, changes.revision);
}

void ReplicaFollower::Refresh() {
  const TimePoint began = scheduler_.Now();
  const Duration period =
      std::max(times_.refresh, allowance_.Period(followers_));
  if (refreshing_ || !loaded() || began - last_refresh_ < period) return;
  refreshing_ = true;
  last_refresh_ = began;
  store_.List(keys_.directory_prefix + kNoKey, [this, began](auto list) {
    if (!list) {
      EndRefresh(list.error());
    } else if (list->revision > directory_revision_) {
      CatchUp(began, list->revision);
    } else {
      refreshing_ = false;
      listener_.OnRead(began);
    }
  });
}

void ReplicaFollower::CatchUp(TimePoint began, int64_t revision) {
  store_.Watch(kWholeStore, directory_revision_, Duration::zero(),
               [this, began, revision](auto changes) {
                 if (!changes) {
                   EndRefresh(changes.error());
                   return;
                 }
                 TakeChanges(*changes);
                 refreshing_ = false;
                 if (gathering_) WatchAfterGathering();
                 if (directory_revision_ >= revision) listener_.OnRead(began);
               });
}

void ReplicaFollower::EndRefresh(StoreError error) {
  // The watch, which goes on, finds out whether the store is lost.
  refreshing_ = false;
  LogLine(log_, EventKind::kDependency, kPart, "refresh-failed")
      .Add("reason", Describe(error))
      .Add("revision", directory_revision_);
}

void ReplicaFollower::Take(const schema::KeyValue& item, bool gap) {
  if (item.key == keys_.configuration) {
    if (!item.deleted) TakeConfiguration(item.value, item.version, gap);
  } else if (!OfDirectory(item.key)) {
    return;
  } else if (item.deleted) {
    RemoveEntry(item.key, item.version);
  } else {
    TakeEntry(item.key, item.value, item.version);
  }
}

void ReplicaFollower::TakeConfiguration(const std::string& document,
                                        int64_t revision, bool gap) {
  if (revision <= configuration_revision_) return;
  configuration_ = document;
  configuration_revision_ = revision;
  listener_.OnConfiguration(document, revision, gap);
}

void ReplicaFollower::TakeEntry(const std::string& key,
                                const std::string& value, int64_t revision) {
  const auto removed = removed_.find(key);
  if (removed != removed_.end() && revision <= removed->second) return;
  schema::ReplicaEntry& entry = entries_[key];
  if (revision <= entry.revision) return;
  entry.key = key;
  entry.value = value;
  entry.revision = revision;
  listener_.OnEntry(key, value, revision);
}

void ReplicaFollower::RemoveEntry(const std::string& key, int64_t revision) {
  const auto it = entries_.find(key);
  if (it == entries_.end() || revision < it->second.revision) return;
  entries_.erase(it);
  if (removed_.size() >= kMaxRemoved) removed_.clear();
  removed_[key] = revision;
  listener_.OnEntryRemoved(key, revision);
}

void ReplicaFollower::TakeSnapshot(const schema::ReplicaSnapshot& snapshot) {
  if (snapshot.version.configuration_revision > configuration_revision_) {
    TakeConfiguration(snapshot.configuration,
                      snapshot.version.configuration_revision, true);
  }
  if (snapshot.version.directory_revision <= directory_revision_) return;
  std::map<std::string, int64_t> present;
  for (const auto& entry : snapshot.entries) {
    present[entry.key] = entry.revision;
    TakeEntry(entry.key, entry.value, entry.revision);
  }
  RemoveMissing(present, snapshot.version.directory_revision);
  LogLine(log_, EventKind::kBelief, kPart, "copied-from-peer")
      .Add("from_revision", directory_revision_)
      .Add("to_revision", snapshot.version.directory_revision)
      .Add("entries", entries_.size());
  directory_revision_ = snapshot.version.directory_revision;
}

schema::ReplicaSnapshot ReplicaFollower::Snapshot() const {
  schema::ReplicaSnapshot snapshot;
  snapshot.version.directory_revision = directory_revision_;
  snapshot.version.configuration_revision = configuration_revision_;
  snapshot.configuration = configuration_;
  for (const auto& [key, entry] : entries_) snapshot.entries.push_back(entry);
  return snapshot;
}

void ReplicaFollower::OnFailure(StoreError error) {
  if (!store_failed_) {
    failed_since_ = scheduler_.Now();
    LogLine(log_, EventKind::kDependency, kPart, "store-lost")
        .Add("reason", Describe(error))
        .Add("revision", directory_revision_);
  }
  store_failed_ = true;
  // A process that knows nothing can serve nobody: it waits the shortest time.
  if (!loaded()) backoff_.Reset();
  scheduler_.After(backoff_.Next(), [this] {
    if (list_needed_) {
      List();
    } else {
      Watch();
    }
  });
}

void ReplicaFollower::OnAnswer() {
  backoff_.Reset();
  if (!store_failed_) return;
  store_failed_ = false;
  started_ = scheduler_.Now();
  LogLine(log_, EventKind::kDependency, kPart, "store-regained")
      .Add("out", scheduler_.Now() - failed_since_)
      .Add("revision", directory_revision_);
}

}  // namespace sesamesaddle
