#ifndef SESAMESADDLE_CONFIGURATION_REPLICA_H_
#define SESAMESADDLE_CONFIGURATION_REPLICA_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "configuration_types.h"
#include "core/strong_id.h"

namespace sesamesaddle {

/** What became of a record or snapshot offered to a replica. */
enum class OfferResult {
  kApplied,
  kAlreadyApplied,  // Its revision is in force already.
  kGap,     // Earlier records are missing; it is kept for when they come.
  kInvalid  // It does not follow from the state before it.
};

/**
 * The configuration in force in one process. Its revision only grows, whatever
 * is offered and in whichever order.
 */
class ConfigurationReplica {
 public:
  /** Records kept for processes that are a little behind. */
  static constexpr size_t kMaxRecentRecords = 256;
  /** Records kept that came too early. */
  static constexpr size_t kMaxPendingRecords = 256;

  ConfigurationReplica();

  OfferResult OfferRecord(const schema::ChangeRecord& record);
  OfferResult OfferSnapshot(const schema::Configuration& snapshot);

  const schema::Configuration& current() const { return current_; }
  Revision revision() const { return Revision(current_.revision); }
  /** Latest records, oldest first. */
  const std::deque<schema::ChangeRecord>& recent() const { return recent_; }

  /** Whether recent() holds every record after `revision`. */
  bool HasRecordsAfter(Revision revision) const;
  /** @return up to `limit` records after `revision`, oldest first. */
  std::vector<schema::ChangeRecord> RecordsAfter(Revision revision,
                                                 size_t limit) const;

 private:
  void Remember(const schema::ChangeRecord& record);
  void ApplyEarlyRecords();

  schema::Configuration current_;
  std::deque<schema::ChangeRecord> recent_;
  std::map<int64_t, schema::ChangeRecord> early_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CONFIGURATION_REPLICA_H_
