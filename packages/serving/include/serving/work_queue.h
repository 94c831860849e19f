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

/** A request that wants a slot of the target. */
struct WorkItem {
  CallId call;
  schema::Priority::type priority = schema::Priority::kNormal;
  TimePoint deadline;
};

/** What becomes of work that arrives. */
enum class Admission {
  kStart,      // A slot was free and is taken now.
  kQueued,     // It waits; Next hands it out.
  kQueueFull,  // Refused: the queue holds as much as it may.
  kTooLate,    // Refused: it could not finish before its deadline.
};

/**
 * The slots of one target and the bounded queue before them. Higher priority
 * goes first, then the earlier deadline; every kLowestPriorityInterval-th turn
 * goes to the lowest priority that waits, so that it is slowed but not starved.
 */
class WorkQueue {
 public:
  static constexpr int kLowestPriorityInterval = 8;

  WorkQueue(size_t slots, size_t queue_limit);

  /** @param may_start  whether a free slot may be taken at once */
  Admission Admit(TimePoint now, const WorkItem& item, bool may_start = true);
  /** Takes a slot for work that may not wait; false if none is free. */
  bool TryStart();
  /** A request has ended; its slot is free. */
  void Finish(Duration took);
  /** @return the next item to start; its slot is taken. */
  std::optional<WorkItem> Next(TimePoint now);
  /** Removes an item that waits. @return false if it does not. */
  bool Remove(CallId call);
  /** @return the items whose deadline has passed; they are removed. */
  std::vector<WorkItem> TakeExpired(TimePoint now);
  /** @return the item that would go next, without taking a slot. */
  const WorkItem* Peek() const;

  size_t running() const { return running_; }
  size_t queued() const { return positions_.size(); }
  size_t slots() const { return slots_; }
  bool HasFreeSlot() const { return running_ < slots_; }
  Duration mean_service_time() const { return mean_time_; }

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
  int64_t arrivals_ = 0;
  int turn_ = 0;
  Duration mean_time_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_WORK_QUEUE_H_
