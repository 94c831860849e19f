#ifndef SESAMESADDLE_CONFIGURATION_REPLICA_H_
#define SESAMESADDLE_CONFIGURATION_REPLICA_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "configuration_types.h"
#include "core/strong_id.h"

namespace sesamesaddle {

/** The result of offering a record or snapshot to a replica. */
enum class OfferResult {
  kApplied,
  kAlreadyApplied,  // The replica is at this revision or a later one.
  kGap,     // Earlier records are missing; it is kept until they arrive.
  kInvalid  // The change cannot be applied to the current state.
};

/**
 * The configuration in force in one process. Its revision never decreases,
 * regardless of the order in which records and snapshots are offered.
 */
class ConfigurationReplica {
 public:
  /** Number of records kept for processes that are slightly behind. */
  static constexpr size_t kMaxRecentRecords = 256;
  /** Number of records kept that arrived before their predecessors. */
  static constexpr size_t kMaxPendingRecords = 256;

  ConfigurationReplica();

  OfferResult OfferRecord(const schema::ChangeRecord& record);
  OfferResult OfferSnapshot(const schema::Configuration& snapshot);

  const schema::Configuration& current() const { return current_; }
  Revision revision() const { return Revision(current_.revision); }
  /** Returns the most recent records, oldest first. */
  const std::deque<schema::ChangeRecord>& recent() const { return recent_; }

  /** Returns whether recent() contains every record after `revision`. */
  bool HasRecordsAfter(Revision revision) const;
  /** Returns up to `limit` records after `revision`, oldest first. */
  std::vector<schema::ChangeRecord> RecordsAfter(Revision revision,
                                                 size_t limit) const;

 private:
  void AppendRecent(const schema::ChangeRecord& record);
  void ApplyPendingRecords();

  schema::Configuration current_;
  std::deque<schema::ChangeRecord> recent_;
  std::map<int64_t, schema::ChangeRecord> pending_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CONFIGURATION_REPLICA_H_
