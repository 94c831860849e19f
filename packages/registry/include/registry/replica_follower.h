#ifndef SESAMESADDLE_REGISTRY_REPLICA_FOLLOWER_H_
#define SESAMESADDLE_REGISTRY_REPLICA_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/event_log.h"
#include "core/random.h"
#include "core/scheduler.h"
#include "registry/recent_changes.h"
#include "registry/retry_backoff.h"
#include "registry/store_read_budget.h"
#include "steering_types.h"
#include "store/store.h"

namespace sesamesaddle {

/** Receives the changes that a ReplicaFollower applies to its replica. */
class ReplicaListener {
 public:
  virtual ~ReplicaListener() = default;

  /**
   * Called when the operators' configuration document has changed.
   * @param after_gap  whether revisions between this one and the last one
   *                   reported may have been skipped
   * @return whether the document is in force now; not if it is unreadable or
   *         older by the operators' own version, as in a restored store
   */
  virtual bool OnConfiguration(const std::string& document,
                               StoreRevision revision, bool after_gap) = 0;
  /** Returns the operators' version that is in force; 0 if there is none. */
  virtual int64_t ConfigurationVersion() const = 0;
  virtual void OnEntry(const std::string& key, const std::string& value,
                       StoreRevision revision) = 0;
  /** Also called for an evacuation that the replica did not have. */
  virtual void OnEntryRemoved(const std::string& key,
                              StoreRevision revision) = 0;
  /**
   * Called when these keys are all evacuations that the store held at `as_of`.
   * Not called while the replica keeps one that the store lacks.
   */
  virtual void OnEvacuationsListed(const std::set<std::string>& keys,
                                   StoreRevision as_of) = 0;
  /** Called when the replica has everything the store held at `as_of`. */
  virtual void OnSynchronized(TimePoint as_of) = 0;
};

/** Keys of the replicated data in the store. */
struct ReplicaKeys {
  std::string configuration;
  std::string directory_prefix;
  /**
   * Prefix of the evacuations of availability zones, which are replicated as
   * entries; none if empty.
   */
  std::string evacuation_prefix;
};

/** Timeouts and intervals of a ReplicaFollower. */
struct FollowerOptions {
  /**
   * Long-poll timeout of a watch, after which a dead connection is detected.
   * Together with one call and one retry it stays below the 4 s after a fault
   * within which the platform expects a process to be up to date again.
   */
  Duration watch_timeout = std::chrono::seconds(2);
  /** The same for a process that watches for others, which wait for its end. */
  Duration watch_timeout_for_others = std::chrono::seconds(1);
  /** The same while the store fails; short, to detect its recovery early. */
  Duration watch_timeout_after_failure = std::chrono::milliseconds(200);
  /** Delay between a change and the next watch, to fetch changes in batches. */
  Duration batch_delay = std::chrono::milliseconds(800);
  /** The same while a fleet starts up and every entry is needed at once. */
  Duration batch_delay_at_startup = std::chrono::milliseconds(100);
  /**
   * Length of the startup phase after the start or the recovery of the store;
   * most targets announce themselves once within it.
   */
  Duration startup_period = std::chrono::seconds(2);
  /** Minimum interval between reads by `Refresh`. */
  Duration min_refresh_interval = std::chrono::milliseconds(50);
  Duration initial_backoff = std::chrono::milliseconds(200);
  Duration max_backoff = std::chrono::seconds(1);
  /**
   * Time after the beginning of an era in which processes write their entries
   * again; the platform expects them back within two seconds.
   */
  Duration rewrite_period = std::chrono::milliseconds(2500);
  /**
   * A restored entry that contradicts later knowledge of an earlier era is
   * accepted if it is still listed after this time: its lease, unless
   * renewed, is over by then.
   */
  Duration restored_entry_timeout = std::chrono::seconds(8);
  /**
   * A process that does not watch does so after this time without a sign from a
   * balancer that watches: three missed ones.
   */
  Duration peer_timeout = std::chrono::milliseconds(1200);
  /** Interval at which it checks that. */
  Duration peer_check_interval = std::chrono::milliseconds(200);
  /**
   * Age of the store's last answer up to which a process that watches for
   * others sends changes: the wait of a watch, and a call.
   */
  Duration max_answer_age = std::chrono::milliseconds(1600);
};

/** For whom a process watches the store. */
enum class WatchRole {
  kForItself,
  kForOthers,  // Sends the changes to processes that do not watch.
  /**
   * Learns of changes through OnPeerChanges, and watches itself when that
   * stops.
   */
  kFollower,
};

/** Reads the store's revision through another process. */
class RevisionSource {
 public:
  using Done = std::function<void(std::optional<StoreRevision>)>;

  virtual ~RevisionSource() = default;

  /**
   * Reads the revision at a time after this call.
   * @param done  called with the revision, or with nothing after a timeout
   * @return whether a process can be asked; if not, `done` is not called
   */
  virtual bool ReadRevision(Done done) = 0;
};

/** Counts since the start of the process. */
struct FollowerCounters {
  /** Times that the store came back from a copy of its data. */
  int64_t era_changes = 0;
  /** Restored entries that were not used, as later knowledge denies them. */
  int64_t restored_entries_held = 0;
  /** Entries of an earlier era that the restored store lacked. */
  int64_t entries_lost = 0;
  /** Batches of changes that a process that watches has sent. */
  int64_t batches_from_peers = 0;
  /** Watches of a process that does not watch otherwise. */
  int64_t watches_without_peer = 0;
};

/**
 * Replicates the configuration and the directory: from the store through a
 * watch, and from a peer with a newer replica while the store is unavailable.
 * The replica never returns to an earlier revision. When the store comes back
 * from a copy of its data (a new era), the replica keeps what it knew to be
 * newer than the copy until it is written again or proves to be gone.
 */
class ReplicaFollower {
 public:
  /**
   * Never written: listing it below the directory's prefix returns the store's
   * revision and no items.
   */
  static constexpr char kUnusedKey[] = "none/";

  ReplicaFollower(Store& store, Scheduler& scheduler, RandomSource& random,
                  EventLog& log, ReplicaKeys keys, FollowerOptions options,
                  StoreReadBudget read_budget, ReplicaListener& listener);

  void Start();
  /**
   * Synchronizes with the store now instead of with the next watch; calls the
   * listener's OnSynchronized on success. Does nothing while a refresh is in
   * flight, before the first load, or within the minimum interval since the
   * last refresh.
   */
  void Refresh();
  void SetRole(WatchRole role) { role_ = role; }
  /** Sets a source that Refresh asks first; it must outlive the follower. */
  void SetRevisionSource(RevisionSource& source) { revision_source_ = &source; }
  /**
   * Returns the latest changes for processes that do not watch; nothing unless
   * this one watches and the store has answered lately.
   */
  std::optional<schema::ReplicaChanges> ChangesForFollowers() const;
  /** Applies the changes of a process that watches. */
  void OnPeerChanges(const schema::ReplicaChanges& changes);
  /** Reads the store's revision; `done` gets nothing if that fails. */
  void ReadRevision(std::function<void(std::optional<StoreRevision>)> done);
  /** Sets the number of processes that share the store's read budget. */
  void SetFollowerCount(size_t followers) { followers_ = followers; }
  /** Applies the parts of a peer's snapshot that are newer than the replica. */
  void ApplySnapshot(const schema::ReplicaSnapshot& snapshot);
  /** Returns a copy of the replica for a peer. */
  schema::ReplicaSnapshot Snapshot() const;

  /** Returns whether the store was read or a snapshot applied at least once. */
  bool loaded() const { return directory_revision_.number > 0; }
  /**
   * Returns whether it is loaded, the last call to the store succeeded, and the
   * store holds all entries again after a change of its era.
   */
  bool current() const;
  StoreRevision directory_revision() const { return directory_revision_; }
  StoreRevision configuration_revision() const {
    return configuration_revision_;
  }
  /** Returns what the replica reflects, for comparisons with peers. */
  schema::ReplicaVersion Version() const;
  const FollowerCounters& counters() const { return counters_; }
  /** Whether the listener is being called for a peer's snapshot. */
  bool copying_from_peer() const { return copying_from_peer_; }
  WatchRole role() const { return role_; }
  /** Returns when the store began to fail; only valid if not current(). */
  TimePoint failed_since() const { return failed_since_; }

 private:
  /** A written value and its revision. */
  struct Entry {
    std::string value;
    StoreRevision revision;
  };

  void List();
  void Watch();
  Duration WatchTimeout() const;
  /** Whether a process that watches has sent its changes lately. */
  bool FollowsPeer() const;
  void CheckPeerLater();
  /** Watches the store, as a peer has changes that it could not send. */
  void CatchUpAfterPeer();
  /** Starts the next watch after the batch delay. */
  void WatchAfterBatchDelay();
  /**
   * Returns a callback that runs `handler` unless a newer List or Watch has
   * replaced the call, or the store's era has changed.
   */
  template <typename Handler>
  Store::Done<schema::KeyValueList> Track(Handler handler);
  /**
   * Called with each answer. If the store's era has changed, lists the store
   * again.
   * @return whether the answer belongs to the replica's era
   */
  bool EnterEra();
  /** Whether the store's latest answer is of an earlier era than the replica.
   */
  bool BehindReplica() const;
  void OnListed(const schema::KeyValueList& list);
  void ApplyChange(const schema::KeyValue& item, bool after_gap);
  void ApplyConfiguration(const std::string& document, StoreRevision revision,
                          bool after_gap);
  /** Returns whether the document is in force. */
  bool SetConfiguration(const std::string& document, StoreRevision revision,
                        bool after_gap);
  void ApplyEntry(const std::string& key, const std::string& value,
                  StoreRevision revision);
  void RemoveEntry(const std::string& key, StoreRevision revision);
  /** Removes entries up to revision `as_of` that are not in `present`. */
  void RemoveMissing(const std::set<std::string>& present, StoreRevision as_of);
  /**
   * Whether an entry of a list contradicts what was known in an earlier era:
   * the key was removed, or has got another value since. The entry may be
   * restored from the copy, or have been written in the new era.
   */
  bool ContradictsEarlierEra(const schema::KeyValue& item) const;
  void HoldEntry(const schema::KeyValue& item);
  /** Accepts the held entries that are still listed. */
  void AcceptHeldEntries(StoreEra era);
  bool IsDirectoryKey(const std::string& key) const;
  bool IsEvacuationKey(const std::string& key) const;
  /**
   * Keeps evacuations that a new era lacks for the rewrite period: operators
   * write them again, and one that ends late costs less than one that is
   * missed. Calls this function also after the first load of a process, which
   * may follow a change of the era.
   */
  void KeepMissingEvacuations();
  /**
   * Whether the entry is an evacuation that is kept although the store, or a
   * peer, lacked it at `as_of`.
   */
  bool IsKeptEvacuation(const std::string& key, const Entry& entry,
                        StoreRevision as_of) const;
  /**
   * Called when everything up to `directory_revision_` was applied from the
   * store: removes kept evacuations after the rewrite period.
   * @param listed  whether it was the list of all keys
   */
  void SettleEvacuations(bool listed);
  void OnFailure(StoreError error);
  void OnSuccess();
  Duration BatchDelay() const;
  /** Reads the store's revision itself for a refresh that began then. */
  void RefreshFromStore(TimePoint began);
  /** Ends a refresh: the store was at `revision` after it began. */
  void OnRevisionRead(TimePoint began, int64_t revision);
  /** Fetches changes; reports `began` if they reach `revision`. */
  void CatchUp(TimePoint began, int64_t revision);
  StoreRevision InEra(int64_t revision) const { return {era_, revision}; }
  void FailRefresh(StoreError error);
  void ApplyChanges(const schema::KeyValueList& changes);

  Store& store_;
  Scheduler& scheduler_;
  EventLog& log_;
  ReplicaKeys keys_;
  FollowerOptions options_;
  RetryBackoff backoff_;
  StoreReadBudget read_budget_;
  /** Covers the configuration and the directory in one watch. */
  std::string watched_prefix_;
  ReplicaListener& listener_;
  size_t followers_ = 1;
  std::string configuration_;
  StoreRevision configuration_revision_;
  std::map<std::string, Entry> entries_;
  /** Revisions of removals, so that older writes do not restore entries. */
  std::map<std::string, StoreRevision> removal_revisions_;
  /** Listed entries that contradict what was known in an earlier era. */
  std::map<std::string, Entry> held_entries_;
  StoreRevision directory_revision_;
  StoreEra era_;
  TimePoint era_began_{};
  FollowerCounters counters_;
  /** Incremented by each List and Watch, which replaces the earlier ones. */
  int64_t call_generation_ = 0;
  bool list_needed_ = true;
  bool store_failed_ = false;
  TimePoint failed_since_{};
  TimePoint startup_began_{};
  bool copying_from_peer_ = false;
  /** Evacuations of earlier eras are kept until this time. */
  TimePoint evacuations_kept_until_{};
  /** Kept evacuations were not removed, or not reported, yet. */
  bool keeping_evacuations_ = false;
  bool refreshing_ = false;
  /** Whether the next watch waits for the batch delay. */
  bool batch_pending_ = false;
  /** Incremented by each new timer, which voids the earlier ones. */
  int64_t batch_timer_generation_ = 0;
  TimePoint last_refresh_{};
  WatchRole role_ = WatchRole::kForItself;
  bool watch_in_flight_ = false;
  /** Time of the store's last answer to a list or watch. */
  TimePoint store_answered_at_{};
  /**
   * Time at which a process that watches showed that this replica has all
   * changes.
   */
  TimePoint confirmed_at_{};
  RecentChanges recent_changes_;
  RevisionSource* revision_source_ = nullptr;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_REPLICA_FOLLOWER_H_
