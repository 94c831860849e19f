#ifndef SESAMESADDLE_MEMBERSHIP_NEWS_QUEUE_H_
#define SESAMESADDLE_MEMBERSHIP_NEWS_QUEUE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "core/strong_id.h"

namespace sesamesaddle {

/**
 * Members whose latest change still has to be told, those told least often
 * first. One entry a member, so a burst of changes of one takes no more room.
 */
class NewsQueue {
 public:
  /** Puts a member's change in front; it has been told zero times. */
  void Add(MemberId member);
  void Remove(MemberId member);

  /**
   * Takes up to `limit` members and counts them as told once more.
   * @param max_tells  a member told this often is dropped
   */
  std::vector<MemberId> Take(size_t limit, int max_tells);

  size_t size() const { return tells_.size(); }

 private:
  std::unordered_map<MemberId, int> tells_;
  std::multimap<int, MemberId> order_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_MEMBERSHIP_NEWS_QUEUE_H_
