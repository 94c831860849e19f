#ifndef SESAMESADDLE_MEMBERSHIP_DISSEMINATION_QUEUE_H_
#define SESAMESADDLE_MEMBERSHIP_DISSEMINATION_QUEUE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "core/strong_id.h"

namespace sesamesaddle {

/**
 * Queue of members whose latest change is still to be disseminated, ordered by
 * the number of transmissions, fewest first. It holds at most one entry per
 * member, so a burst of changes of one member takes no additional space.
 */
class DisseminationQueue {
 public:
  /** Adds a member, or resets its transmission count to zero. */
  void Add(MemberId member);
  void Remove(MemberId member);

  /**
   * Returns up to `limit` members and increments their transmission counts.
   * @param max_transmissions  a member is removed when its count reaches this
   */
  std::vector<MemberId> Take(size_t limit, int max_transmissions);

  size_t size() const { return transmissions_.size(); }

 private:
  std::unordered_map<MemberId, int> transmissions_;
  std::multimap<int, MemberId> order_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_MEMBERSHIP_DISSEMINATION_QUEUE_H_
