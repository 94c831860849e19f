#include "registry/replica_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/text.h"
#include "registry/replica_position.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "replica";
// Removal revisions are kept for older writes that may still arrive.
constexpr size_t kMaxRemovalRevisions = 10000;

std::string WatchedPrefix(const ReplicaKeys& keys) {
  const std::string prefix(
      CommonPrefix(keys.configuration, keys.directory_prefix));
  if (keys.evacuation_prefix.empty()) return prefix;
  return std::string(CommonPrefix(prefix, keys.evacuation_prefix));
}

}  // namespace

ReplicaFollower::ReplicaFollower(Store& store, Scheduler& scheduler,
                                 RandomSource& random, EventLog& log,
                                 ReplicaKeys keys, FollowerOptions options,
                                 StoreReadBudget read_budget,
                                 ReplicaListener& listener)
    : store_(store),
      scheduler_(scheduler),
      log_(log),
      keys_(std::move(keys)),
      options_(options),
      backoff_(random, options.initial_backoff, options.max_backoff),
      read_budget_(read_budget),
      watched_prefix_(WatchedPrefix(keys_)),
      listener_(listener) {}

bool ReplicaFollower::IsDirectoryKey(const std::string& key) const {
  return HasPrefix(key, keys_.directory_prefix);
}

void ReplicaFollower::Start() {
  startup_began_ = scheduler_.Now();
  List();
}

Duration ReplicaFollower::BatchDelay() const {
  const bool starting =
      scheduler_.Now() - startup_began_ < options_.startup_period;
  return std::max(
      starting ? options_.batch_delay_at_startup : options_.batch_delay,
      read_budget_.ReadInterval(followers_));
}

template <typename Handler>
Store::Done<schema::KeyValueList> ReplicaFollower::Track(Handler handler) {
  const int64_t generation = ++call_generation_;
  return [this, generation, handler = std::move(handler)](auto result) {
    if (generation != call_generation_ || !EnterEra()) return;
    if (BehindReplica()) result = tl::unexpected(StoreError::kOutcomeUnknown);
    handler(std::move(result));
  };
}

bool ReplicaFollower::EnterEra() {
  const StoreEra era = store_.era();
  if (!(era_ < era)) return true;
  const StoreEra before = era_;
  era_ = era;
  if (!loaded()) return true;
  ++counters_.era_changes;
  era_began_ = scheduler_.Now();
  // The next list shows whether the new copy has them, too.
  held_entries_.clear();
  LogLine(log_, EventKind::kDependency, kLogComponent, "era-changed")
      .Add("before", before.value())
      .Add("era", era.value())
      .Add("revision_before", directory_revision_.number)
      .Add("entries", entries_.size());
  batch_pending_ = false;
  ++batch_timer_generation_;
  List();
  return false;
}

bool ReplicaFollower::BehindReplica() const {
  return store_.era() != StoreEra() && store_.era() < era_;
}

bool ReplicaFollower::current() const {
  if (!loaded() || store_failed_) return false;
  return counters_.era_changes == 0 ||
         scheduler_.Now() - era_began_ >= options_.rewrite_period;
}

void ReplicaFollower::List() {
  list_needed_ = true;
  watch_in_flight_ = false;
  const TimePoint began = scheduler_.Now();
  store_.List(watched_prefix_, Track([this, began](auto list) {
                if (!list) {
                  OnFailure(list.error());
                  return;
                }
                list_needed_ = false;
                OnListed(*list);
                OnSuccess();
                if (current()) listener_.OnSynchronized(began);
                Watch();
              }));
}

void ReplicaFollower::OnListed(const schema::KeyValueList& list) {
  std::set<std::string> present(list.unreadable_keys.begin(),
                                list.unreadable_keys.end());
  const bool first_of_era = directory_revision_.era < era_ && loaded();
  const bool may_be_restored = !loaded() && era_ != StoreEra();
  if (first_of_era || may_be_restored) KeepMissingEvacuations();
  for (const schema::KeyValue& item : list.items) {
    if (IsDirectoryKey(item.key) || IsEvacuationKey(item.key)) {
      present.insert(item.key);
    }
    if (ContradictsEarlierEra(item)) {
      HoldEntry(item);
      continue;
    }
    ApplyChange(item, true);
  }
  const size_t before = entries_.size();
  RemoveMissing(present, InEra(list.revision));
  directory_revision_ = std::max(directory_revision_, InEra(list.revision));
  recent_changes_.Restart(directory_revision_.number);
  SettleEvacuations(true);
  if (!first_of_era) return;
  counters_.entries_lost += static_cast<int64_t>(before - entries_.size());
  LogLine(log_, EventKind::kStateChange, kLogComponent, "restored-store-read")
      .Add("era", era_.value())
      .Add("revision", list.revision)
      .Add("entries", entries_.size())
      .Add("lost", before - entries_.size())
      .Add("held", held_entries_.size());
  scheduler_.After(options_.restored_entry_timeout,
                   [this, era = era_] { AcceptHeldEntries(era); });
}

void ReplicaFollower::HoldEntry(const schema::KeyValue& item) {
  const auto [it, added] = held_entries_.try_emplace(item.key);
  it->second = {item.value, InEra(item.version)};
  if (!added) return;
  ++counters_.restored_entries_held;
  LogLine(log_, EventKind::kStateChange, kLogComponent, "restored-entry-held")
      .Add("key", item.key)
      .Add("era", era_.value())
      .Add("revision", item.version);
}

bool ReplicaFollower::ContradictsEarlierEra(
    const schema::KeyValue& item) const {
  if (!IsDirectoryKey(item.key)) return false;
  const auto held = held_entries_.find(item.key);
  if (held != held_entries_.end()) {
    return held->second.revision == InEra(item.version);
  }
  const auto known = entries_.find(item.key);
  if (known != entries_.end()) {
    return known->second.revision.era < era_ &&
           known->second.value != item.value;
  }
  const auto removed = removal_revisions_.find(item.key);
  return removed != removal_revisions_.end() && removed->second.era < era_;
}

void ReplicaFollower::AcceptHeldEntries(StoreEra era) {
  if (era != era_) return;  // A later era holds its own entries.
  const auto held = std::exchange(held_entries_, {});
  for (const auto& [key, entry] : held) {
    ApplyEntry(key, entry.value, entry.revision);
  }
}

void ReplicaFollower::RemoveMissing(const std::set<std::string>& present,
                                    StoreRevision as_of) {
  std::vector<std::string> missing;
  for (const auto& [key, entry] : entries_) {
    if (present.count(key) == 0 && entry.revision <= as_of &&
        !IsKeptEvacuation(key, entry, as_of)) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) RemoveEntry(key, as_of);
}

Duration ReplicaFollower::WatchTimeout() const {
  if (store_failed_) return options_.watch_timeout_after_failure;
  return role_ == WatchRole::kForOthers ? options_.watch_timeout_for_others
                                        : options_.watch_timeout;
}

void ReplicaFollower::Watch() {
  if (FollowsPeer()) {
    CheckPeerLater();
    return;
  }
  watch_in_flight_ = true;
  if (role_ == WatchRole::kFollower) ++counters_.watches_without_peer;
  store_.Watch(watched_prefix_, directory_revision_.number, WatchTimeout(),
               Track([this](auto changes) {
                 watch_in_flight_ = false;
                 if (!changes) {
                   if (changes.error() == StoreError::kRevisionCompacted) {
                     list_needed_ = true;
                   }
                   OnFailure(changes.error());
                   return;
                 }
                 ApplyChanges(*changes);
                 OnSuccess();
                 if (changes->items.empty()) {
                   Watch();
                   return;
                 }
                 WatchAfterBatchDelay();
               }));
}

void ReplicaFollower::WatchAfterBatchDelay() {
  batch_pending_ = true;
  const int64_t timer = ++batch_timer_generation_;
  scheduler_.After(BatchDelay(), [this, timer] {
    if (timer != batch_timer_generation_) return;
    batch_pending_ = false;
    Watch();
  });
}

void ReplicaFollower::ApplyChanges(const schema::KeyValueList& changes) {
  bool has_configuration = false;
  for (const schema::KeyValue& item : changes.items) {
    ApplyChange(item, false);
    if (item.key == keys_.configuration) {
      has_configuration = true;
    } else {
      recent_changes_.Add(item, era_.value());
    }
  }
  directory_revision_ = std::max(directory_revision_, InEra(changes.revision));
  if (has_configuration) recent_changes_.Restart(directory_revision_.number);
  SettleEvacuations(false);
}

void ReplicaFollower::Refresh() {
  const TimePoint began = scheduler_.Now();
  const Duration period = std::max(options_.min_refresh_interval,
                                   read_budget_.ReadInterval(followers_));
  if (refreshing_ || !loaded() || began - last_refresh_ < period) return;
  refreshing_ = true;
  last_refresh_ = began;
  const auto on_answer = [this, began](std::optional<StoreRevision> answer) {
    if (answer && answer->era == era_) {
      OnRevisionRead(began, answer->number);
    } else {
      RefreshFromStore(began);
    }
  };
  const bool asked = role_ == WatchRole::kFollower &&
                     revision_source_ != nullptr &&
                     revision_source_->ReadRevision(on_answer);
  if (!asked) RefreshFromStore(began);
}

void ReplicaFollower::RefreshFromStore(TimePoint began) {
  store_.List(keys_.directory_prefix + kUnusedKey, [this, began](auto list) {
    if (!EnterEra() || BehindReplica()) {
      refreshing_ = false;
    } else if (!list) {
      FailRefresh(list.error());
    } else {
      OnRevisionRead(began, list->revision);
    }
  });
}

void ReplicaFollower::OnRevisionRead(TimePoint began, int64_t revision) {
  if (InEra(revision) > directory_revision_) {
    CatchUp(began, revision);
    return;
  }
  refreshing_ = false;
  if (current()) listener_.OnSynchronized(began);
}

void ReplicaFollower::CatchUp(TimePoint began, int64_t revision) {
  store_.Watch(watched_prefix_, directory_revision_.number, Duration::zero(),
               [this, began, revision](auto changes) {
                 if (!EnterEra() || BehindReplica()) {
                   refreshing_ = false;
                   return;
                 }
                 if (!changes) {
                   FailRefresh(changes.error());
                   return;
                 }
                 ApplyChanges(*changes);
                 refreshing_ = false;
                 if (batch_pending_) WatchAfterBatchDelay();
                 if (directory_revision_ >= InEra(revision) && current()) {
                   listener_.OnSynchronized(began);
                 }
               });
}

void ReplicaFollower::FailRefresh(StoreError error) {
  // The watch continues and detects whether the store is unavailable.
  refreshing_ = false;
  LogLine(log_, EventKind::kDependency, kLogComponent, "refresh-failed")
      .Add("reason", Describe(error))
      .Add("revision", directory_revision_.number);
}

void ReplicaFollower::ApplyChange(const schema::KeyValue& item,
                                  bool after_gap) {
  if (item.key == keys_.configuration) {
    if (!item.deleted) {
      ApplyConfiguration(item.value, InEra(item.version), after_gap);
    }
  } else if (!IsDirectoryKey(item.key) && !IsEvacuationKey(item.key)) {
    return;
  } else if (item.deleted) {
    RemoveEntry(item.key, InEra(item.version));
  } else {
    ApplyEntry(item.key, item.value, InEra(item.version));
  }
}

void ReplicaFollower::ApplyConfiguration(const std::string& document,
                                         StoreRevision revision,
                                         bool after_gap) {
  if (revision <= configuration_revision_) return;
  SetConfiguration(document, revision, after_gap);
}

bool ReplicaFollower::SetConfiguration(const std::string& document,
                                       StoreRevision revision, bool after_gap) {
  configuration_revision_ = revision;
  // A document that is not in force must not reach peers as the newest.
  if (!listener_.OnConfiguration(document, revision, after_gap)) return false;
  configuration_ = document;
  return true;
}

void ReplicaFollower::ApplyEntry(const std::string& key,
                                 const std::string& value,
                                 StoreRevision revision) {
  const auto removed = removal_revisions_.find(key);
  if (removed != removal_revisions_.end() && revision <= removed->second) {
    return;
  }
  Entry& entry = entries_[key];
  if (revision <= entry.revision) return;
  held_entries_.erase(key);
  entry = {value, revision};
  listener_.OnEntry(key, value, revision);
}

void ReplicaFollower::RemoveEntry(const std::string& key,
                                  StoreRevision revision) {
  held_entries_.erase(key);
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    // The listener may know of the evacuation from another process.
    if (IsEvacuationKey(key)) listener_.OnEntryRemoved(key, revision);
    return;
  }
  if (revision < it->second.revision) return;
  entries_.erase(it);
  if (removal_revisions_.size() >= kMaxRemovalRevisions) {
    removal_revisions_.clear();
  }
  removal_revisions_[key] = revision;
  listener_.OnEntryRemoved(key, revision);
}

void ReplicaFollower::ApplySnapshot(const schema::ReplicaSnapshot& snapshot) {
  const ReplicaPosition peer(snapshot.version);
  const ReplicaPosition own(Version());
  if (peer.ConfigurationIsNewerThan(own)) {
    const StoreRevision before = configuration_revision_;
    const bool in_force = SetConfiguration(
        snapshot.configuration, std::max(peer.configuration, before), true);
    // The store's next one may be below the position that the peer names.
    if (!in_force) configuration_revision_ = before;
  }
  if (peer.directory <= directory_revision_) return;
  if (directory_revision_.era < peer.directory.era && loaded()) {
    KeepMissingEvacuations();
  }
  copying_from_peer_ = true;
  std::set<std::string> present;
  for (const auto& entry : snapshot.entries) {
    if (!IsDirectoryKey(entry.key) && !IsEvacuationKey(entry.key)) continue;
    present.insert(entry.key);
    ApplyEntry(entry.key, entry.value, {StoreEra(entry.era), entry.revision});
  }
  RemoveMissing(present, peer.directory);
  copying_from_peer_ = false;
  LogLine(log_, EventKind::kStateChange, kLogComponent, "copied-from-peer")
      .Add("from_revision", directory_revision_.number)
      .Add("to_revision", peer.directory.number)
      .Add("era", peer.directory.era.value())
      .Add("entries", entries_.size());
  directory_revision_ = peer.directory;
  recent_changes_.Restart(directory_revision_.number);
  era_ = std::max(era_, peer.directory.era);
}

schema::ReplicaVersion ReplicaFollower::Version() const {
  schema::ReplicaVersion version;
  version.directory_revision = directory_revision_.number;
  version.configuration_revision = configuration_revision_.number;
  version.__set_directory_era(directory_revision_.era.value());
  version.__set_configuration_era(configuration_revision_.era.value());
  version.__set_configuration_version(listener_.ConfigurationVersion());
  return version;
}

schema::ReplicaSnapshot ReplicaFollower::Snapshot() const {
  schema::ReplicaSnapshot snapshot;
  snapshot.version = Version();
  snapshot.configuration = configuration_;
  for (const auto& [key, entry] : entries_) {
    schema::ReplicaEntry copy;
    copy.key = key;
    copy.value = entry.value;
    copy.revision = entry.revision.number;
    copy.__set_era(entry.revision.era.value());
    snapshot.entries.push_back(std::move(copy));
  }
  return snapshot;
}

void ReplicaFollower::OnFailure(StoreError error) {
  watch_in_flight_ = false;
  if (!store_failed_) {
    failed_since_ = scheduler_.Now();
    LogLine(log_, EventKind::kDependency, kLogComponent, "store-lost")
        .Add("reason", Describe(error))
        .Add("revision", directory_revision_.number);
  }
  store_failed_ = true;
  // Without a replica the process cannot serve: retries at the shortest delay.
  if (!loaded()) backoff_.Reset();
  scheduler_.After(backoff_.Next(), [this] {
    if (list_needed_) {
      List();
    } else {
      Watch();
    }
  });
}

void ReplicaFollower::OnSuccess() {
  store_answered_at_ = scheduler_.Now();
  backoff_.Reset();
  if (!store_failed_) return;
  store_failed_ = false;
  startup_began_ = scheduler_.Now();
  LogLine(log_, EventKind::kDependency, kLogComponent, "store-regained")
      .Add("out", scheduler_.Now() - failed_since_)
      .Add("revision", directory_revision_.number);
}

}  // namespace sesamesaddle
