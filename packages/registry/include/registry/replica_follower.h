#ifndef SESAMESADDLE_REGISTRY_REPLICA_FOLLOWER_H_
#define SESAMESADDLE_REGISTRY_REPLICA_FOLLOWER_H_

#include <map>
#include <memory>
#include <string>

#include "core/event_log.h"
#include "core/random.h"
#include "core/scheduler.h"
#include "registry/read_allowance.h"
#include "registry/retry_backoff.h"
#include "steering_types.h"
#include "store/store.h"

namespace sesamesaddle {

/** Told of what the replica learns. */
class ReplicaListener {
 public:
  virtual ~ReplicaListener() = default;

  /**
   * The operators' document, when it changes.
   * @param gap  others may have been written since the last one told
   */
  virtual void OnConfiguration(const std::string& document, int64_t revision,
                               bool gap) = 0;
  virtual void OnEntry(const std::string& key, const std::string& value,
                       int64_t revision) = 0;
  virtual void OnEntryRemoved(const std::string& key, int64_t revision) = 0;
  /** All that the store held at that time has been told. */
  virtual void OnRead(TimePoint as_of) = 0;
};

/** Where things stand in the store. */
struct ReplicaKeys {
  std::string configuration;
  std::string directory_prefix;
};

/** Times of following the store. */
struct FollowerTimes {
  /**
   * A waiting watch; one that fell silent is missed after it. With the time for
   * a call and a retry it stays under the four seconds after a fault in which
   * the platform expects a process to follow again.
   */
  Duration watch = std::chrono::seconds(2);
  /** The same while the store fails, so that its return is seen at once. */
  Duration watch_after_failure = std::chrono::milliseconds(200);
  /** Changes that come close together are fetched together. */
  Duration gather = std::chrono::milliseconds(800);
  /** The same while a fleet starts and each entry is needed at once. */
  Duration gather_at_start = std::chrono::milliseconds(100);
  /**
   * So long after the start, or after the store's return, it is a start: most
   * targets announce themselves once within it.
   */
  Duration start = std::chrono::seconds(2);
  /** Least time between reads that `Refresh` asks for. */
  Duration refresh = std::chrono::milliseconds(50);
  Duration first_retry = std::chrono::milliseconds(200);
  Duration last_retry = std::chrono::seconds(1);
};

/**
 * Keeps a copy of the configuration and of the directory: from the store by
 * one watch, and from a peer that is ahead while the store does not answer.
 * What it holds never goes back to an earlier revision.
 */
class ReplicaFollower {
 public:
  ReplicaFollower(Store& store, Scheduler& scheduler, RandomSource& random,
                  EventLog& log, ReplicaKeys keys, FollowerTimes times,
                  ReadAllowance allowance, ReplicaListener& listener);

  void Start();
  /**
   * Finds out at once what the store holds, without waiting for the watch; the
   * listener's OnRead tells. Does nothing while such a read is under way, or if
   * the last one was too short ago.
   */
  void Refresh();
  /** How many processes follow the store as this one does. */
  void SetFollowers(size_t followers) { followers_ = followers; }
  /** Takes a peer's copy if it is ahead. */
  void TakeSnapshot(const schema::ReplicaSnapshot& snapshot);
  /** @return the copy for a peer. */
  schema::ReplicaSnapshot Snapshot() const;

  /** Whether the store was read, or a peer's copy taken, at least once. */
  bool loaded() const { return directory_revision_ > 0; }
  /** Whether the last call to the store succeeded. */
  bool current() const { return loaded() && !store_failed_; }
  int64_t directory_revision() const { return directory_revision_; }
  int64_t configuration_revision() const { return configuration_revision_; }
  /** Since when the store has not answered; meaningful if not current. */
  TimePoint failed_since() const { return failed_since_; }

 private:
  void List();
  void Watch();
  /** Watches again once further changes have had time to gather. */
  void WatchAfterGathering();
  void OnListed(const schema::KeyValueList& list);
  void Take(const schema::KeyValue& item, bool gap);
  void TakeConfiguration(const std::string& document, int64_t revision,
                         bool gap);
  void TakeEntry(const std::string& key, const std::string& value,
                 int64_t revision);
  void RemoveEntry(const std::string& key, int64_t revision);
  void RemoveMissing(const std::map<std::string, int64_t>& present,
                     int64_t as_of);
  bool OfDirectory(const std::string& key) const;
  void OnFailure(StoreError error);
  void OnAnswer();
  Duration GatherTime() const;
  /** Reads changes until the copy is as new as that revision. */
  void CatchUp(TimePoint began, int64_t revision);
  void EndRefresh(StoreError error);
  void TakeChanges(const schema::KeyValueList& changes);

  Store& store_;
  Scheduler& scheduler_;
  EventLog& log_;
  ReplicaKeys keys_;
  FollowerTimes times_;
  RetryBackoff backoff_;
  ReadAllowance allowance_;
  ReplicaListener& listener_;
  size_t followers_ = 1;
  std::string configuration_;
  int64_t configuration_revision_ = 0;
  std::map<std::string, schema::ReplicaEntry> entries_;
  /** Revisions of removals, so that older writes don't bring entries back. */
  std::map<std::string, int64_t> removed_;
  int64_t directory_revision_ = 0;
  bool list_needed_ = true;
  bool store_failed_ = false;
  TimePoint failed_since_{};
  TimePoint started_{};
  bool refreshing_ = false;
  /** Whether changes gather; later ones void earlier timers. */
  bool gathering_ = false;
  int64_t gather_timer_ = 0;
  TimePoint last_refresh_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_REPLICA_FOLLOWER_H_
