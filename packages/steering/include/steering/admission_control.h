#ifndef SESAMESADDLE_STEERING_ADMISSION_CONTROL_H_
#define SESAMESADDLE_STEERING_ADMISSION_CONTROL_H_

#include "core/time.h"
#include "steering/route_table.h"

namespace sesamesaddle {

/** What a balancer does with a new flow now. */
enum class AdmissionDecision {
  kPlace,   // Send it to the chosen target.
  kWait,    // Keep it; a target may have room soon.
  kRefuse,  // Tell the client at once; it may come back.
};

/**
 * Decides whether a new flow is sent to the best target, waits, or is refused.
 * It answers the load after an outage, when all clients return at once to few
 * targets that still start slowly: more work than a request's time allows is
 * not sent to any target.
 */
class AdmissionControl {
 public:
  /** Requests per slot, queued ones included, that a target may have. */
  static constexpr double kMaxWorkPerSlot = 8.0;
  /** Longest wait; a client sends its SYN again after 200 and 600 ms. */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(400);
  /** Share of a request's time that a flow may spend waiting. */
  static constexpr int kTimeoutToWaitRatio = 3;

  /** @return how long a flow of that route may wait for room. */
  static Duration WaitLimit(const Route& route);

  /**
   * @param work    requests per slot at the best target
   * @param waited  time since the flow's SYN arrived
   */
  static AdmissionDecision Decide(const Route& route, double work,
                                  Duration waited);
};

/** Orders flows that wait: lower comes first. */
struct Urgency {
  int priority = 0;
  /** Its answer would come after the latency that its route aims at. */
  bool late = false;
  TimePoint arrived{};

  friend bool operator<(const Urgency& a, const Urgency& b) {
    if (a.priority != b.priority) return a.priority < b.priority;
    if (a.late != b.late) return !a.late;
    return a.arrived < b.arrived;
  }
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_ADMISSION_CONTROL_H_
