#ifndef SESAMESADDLE_REGISTRY_RECENT_CHANGES_H_
#define SESAMESADDLE_REGISTRY_RECENT_CHANGES_H_

#include <cstdint>
#include <deque>
#include <string>

#include "platform_types.h"
#include "steering_types.h"

namespace sesamesaddle {

/**
 * The latest changes of a replica's directory, as many as fit a datagram, for
 * the balancers that follow it.
 */
class RecentChanges {
 public:
  /** Maximum size of the keys and values; the rest of a datagram is ids. */
  static constexpr size_t kMaxBytes = 900;

  /** Records a written or removed entry; revisions do not decrease. */
  void Add(const schema::KeyValue& item, int64_t era);
  /**
   * Forgets all changes: those up to that revision cannot be sent, as they were
   * read as a list, or belong to the configuration, which is too large.
   */
  void Restart(int64_t revision);
  /** Returns the changes, without the version of the replica. */
  schema::ReplicaChanges Message() const;

 private:
  struct Change {
    schema::ReplicaEntry entry;
    bool removed = false;
  };

  static size_t SizeOf(const Change& change);

  std::deque<Change> changes_;
  size_t bytes_ = 0;
  /** All later changes are in changes_. */
  int64_t after_revision_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_RECENT_CHANGES_H_
