#ifndef SESAMESADDLE_CONFIGURATION_CHANGE_LOG_H_
#define SESAMESADDLE_CONFIGURATION_CHANGE_LOG_H_

#include <functional>
#include <memory>
#include <string>

#include "configuration/change_rules.h"
#include "configuration/replica.h"
#include "core/scheduler.h"
#include "core/time.h"
#include "store/store.h"

namespace sesamesaddle {

constexpr char kLogPrefix[] = "config/log/";
constexpr char kSnapshotKey[] = "config/snapshot";

/** Returns the store key of a revision's record. Keys sort by revision. */
std::string LogKey(int64_t revision);

/** The result of submitting a change. */
struct SubmitResult {
  enum class Outcome { kAccepted, kRefused, kUnknown };
  Outcome outcome = Outcome::kUnknown;
  int64_t revision = 0;  // Set if accepted.
  std::string message;
};

/**
 * The ordered log of configuration changes in the platform's store. Revision
 * N + 1 is written by creating its key, which fails if the key exists, so the
 * store serializes concurrent changes.
 */
class ChangeLog {
 public:
  using OnRecord = std::function<void(const schema::ChangeRecord&)>;
  using OnSnapshot = std::function<void(const schema::Configuration&)>;
  using Done = std::function<void(SubmitResult)>;

  /** Number of revisions between snapshots. */
  static constexpr int64_t kSnapshotInterval = 64;
  /** Records that precede the snapshot by more revisions are removed. */
  static constexpr int64_t kRecordsKeptBeforeSnapshot = 128;

  /**
   * @param replica     the local configuration; changes are checked against it
   * @param on_record   called with each record read from the store
   * @param on_snapshot called with each snapshot read from the store
   */
  ChangeLog(Store& store, Scheduler& scheduler,
            const ConfigurationReplica& replica, OnRecord on_record,
            OnSnapshot on_snapshot);

  /**
   * Appends a change to the log, or reports why it was refused.
   * @param record  the change with its id and author; Submit sets the revision
   * @param limit   time after which an unresolved change ends as kUnknown
   */
  void Submit(schema::ChangeRecord record, Duration limit, Done done);

  /** Reads the snapshot and all records of the log. */
  void Load(std::function<void(bool loaded)> done);
  /** Watches the log and delivers new records until StopFollowing(). */
  void Follow();
  void StopFollowing();
  bool following() const { return following_; }

 private:
  struct Submission;

  void Attempt(const std::shared_ptr<Submission>& submission);
  void OnCreated(const std::shared_ptr<Submission>& submission,
                 tl::expected<KeyVersion, StoreError> result);
  void CheckNotTrimmed(const std::shared_ptr<Submission>& submission);
  void ReadConflictingRecord(const std::shared_ptr<Submission>& submission);
  void Retry(const std::shared_ptr<Submission>& submission);
  void Accept(const std::shared_ptr<Submission>& submission);
  void LoadLog(std::function<void(bool loaded)> done);
  void Deliver(const schema::KeyValueList& list);
  void WatchOnce();
  void WriteSnapshot();
  void SaveSnapshot(KeyVersion expected);
  void Trim();

  Store& store_;
  Scheduler& scheduler_;
  const ConfigurationReplica& replica_;
  OnRecord on_record_;
  OnSnapshot on_snapshot_;
  bool following_ = false;
  int64_t watch_generation_ = 0;
  int64_t store_revision_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CONFIGURATION_CHANGE_LOG_H_
