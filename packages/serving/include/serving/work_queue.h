#ifndef SESAMESADDLE_SERVING_WORK_QUEUE_H_
#define SESAMESADDLE_SERVING_WORK_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "configuration_types.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace sesamesaddle {

/** A request that needs a slot of the target. */
struct WorkItem {
  CallId call;
  schema::Priority::type priority = schema::Priority::kNormal;
  TimePoint deadline;
};

/** The decision on a new work item. */
enum class Admission {
  kStart,      // Takes a free slot and starts at once.
  kQueued,     // Waits until Next returns it.
  kQueueFull,  // Refused: the queue is full.
  kTooLate,    // Refused: it could not finish before its deadline.
};

/**
 * The slots of one target and a bounded queue for them. Items start by
 * priority, highest first, then by deadline. Every kLowestPriorityInterval-th
 * item is from the lowest waiting priority, to avoid starvation.
 */
class WorkQueue {
 public:
  static constexpr int kLowestPriorityInterval = 8;

  WorkQueue(size_t slots, size_t queue_limit);

  /**
   * Starts, queues or refuses a new item.
   * @param may_start  whether a free slot may be taken at once
   */
  Admission Admit(TimePoint now, const WorkItem& item, bool may_start = true);
  /** Takes a slot without queueing; returns false if none is free. */
  bool TryStart();
  /** Frees the slot of a request that ended after `service_time`. */
  void Finish(Duration service_time);
  /** Takes a slot for the next item and returns it. */
  std::optional<WorkItem> Next(TimePoint now);
  /** Removes a waiting item; returns false if it is not in the queue. */
  bool Remove(CallId call);
  /** Removes and returns the items whose deadline has passed. */
  std::vector<WorkItem> TakeExpired(TimePoint now);
  /** Returns the first item of the highest waiting priority, or null. */
  const WorkItem* Peek() const;

  size_t running() const { return running_; }
  size_t queued() const { return positions_.size(); }
  size_t slots() const { return slots_; }
  bool HasFreeSlot() const { return running_ < slots_; }
  Duration mean_service_time() const { return mean_service_time_; }

 private:
  using Key = std::pair<TimePoint, int64_t>;  // Deadline, order of arrival.
  using Lane = std::map<Key, WorkItem>;

  bool CanFinishInTime(TimePoint now, const WorkItem& item) const;
  Lane* PickLane();

  static constexpr size_t kLanes = 3;
  size_t slots_;
  size_t queue_limit_;
  size_t running_ = 0;
  std::array<Lane, kLanes> lanes_;
  std::map<CallId, std::pair<size_t, Key>> positions_;
  int64_t next_arrival_ = 0;
  int selections_ = 0;
  Duration mean_service_time_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_WORK_QUEUE_H_
