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

/** @return the store's key of a revision's record; keys sort by revision. */
std::string LogKey(int64_t revision);

/** What a submitted change ended with. */
struct SubmitResult {
  enum class Outcome { kAccepted, kRefused, kUnknown };
  Outcome outcome = Outcome::kUnknown;
  int64_t revision = 0;  // If accepted.
  std::string message;
};

/**
 * The ordered log of changes in the platform's store. Revision N + 1 is made by
 * creating its key, so the store decides between two operators.
 */
class ChangeLog {
 public:
  using OnRecord = std::function<void(const schema::ChangeRecord&)>;
  using OnSnapshot = std::function<void(const schema::Configuration&)>;
  using Done = std::function<void(SubmitResult)>;

  /** A snapshot is written every so many revisions. */
  static constexpr int64_t kSnapshotInterval = 64;
  /** Records older than the snapshot by more than this are removed. */
  static constexpr int64_t kRecordsKeptBeforeSnapshot = 128;

  /**
   * @param replica     what is in force here; changes are checked against it
   * @param on_record   called with each record read from the store
   * @param on_snapshot called with each snapshot read from the store
   */
  ChangeLog(Store& store, Scheduler& scheduler,
            const ConfigurationReplica& replica, OnRecord on_record,
            OnSnapshot on_snapshot);

  /**
   * Appends a change, or tells why it cannot be.
   * @param record  the change with its id and author; the revision is set here
   * @param limit   after this the outcome is unknown if it is not settled
   */
  void Submit(schema::ChangeRecord record, Duration limit, Done done);

  /** Reads the snapshot and the records after it. */
  void Load(std::function<void(bool loaded)> done);
  /** Reads records as they come, until StopFollowing. */
  void Follow();
  void StopFollowing();
  bool following() const { return following_; }

 private:
  struct Submission;

  void Attempt(const std::shared_ptr<Submission>& submission);
  void OnCreated(const std::shared_ptr<Submission>& submission,
                 tl::expected<KeyVersion, StoreError> result);
  void CheckNotTrimmed(const std::shared_ptr<Submission>& submission);
  void ReadWinner(const std::shared_ptr<Submission>& submission);
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
