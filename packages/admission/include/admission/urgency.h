#ifndef SESAMESADDLE_ADMISSION_URGENCY_H_
#define SESAMESADDLE_ADMISSION_URGENCY_H_

#include "core/time.h"

namespace sesamesaddle {

/** What goes first among flows that wait for a target. */
enum class QueueOrder {
  kPriority,  // The priority of the route, then flows that are in time.
  kDeadline,  // Flows that can meet the target latency, then the priority.
};

/** Facts about a waiting flow that decide its place. */
struct Urgency {
  /** The client has probably given up. */
  bool abandoned = false;
  /** Priority of the flow's route; 0 is served first. */
  int priority = 0;
  /** The flow can no longer meet its route's target latency. */
  bool late = false;
  /** Time at which the client sent its first SYN, as far as known. */
  TimePoint sent{};
};

/**
 * Orders flows that wait for a target. kDeadline answers for load beyond the
 * slots, such as the return of all clients after an outage: requests that are
 * late already would otherwise delay those of a lower priority that could still
 * be in time, until these are late as well.
 */
class UrgencyOrder {
 public:
  explicit UrgencyOrder(QueueOrder order) : order_(order) {}

  /** Returns whether `a` is served before `b`. */
  bool operator()(const Urgency& a, const Urgency& b) const {
    if (a.abandoned != b.abandoned) return !a.abandoned;
    if (order_ == QueueOrder::kDeadline && a.late != b.late) return !a.late;
    if (a.priority != b.priority) return a.priority < b.priority;
    if (a.late != b.late) return !a.late;
    return a.sent < b.sent;
  }

 private:
  QueueOrder order_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ADMISSION_URGENCY_H_
