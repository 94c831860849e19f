#ifndef SESAMESADDLE_ADMISSION_ADMISSION_CONTROL_H_
#define SESAMESADDLE_ADMISSION_ADMISSION_CONTROL_H_

#include "admission/admission_options.h"
#include "core/time.h"
#include "flow_model/route_table.h"

namespace sesamesaddle {

/** What a balancer does with a new flow. */
enum class AdmissionDecision {
  kPlace,   // Send it to the chosen target.
  kWait,    // Queue it until a target has room.
  kRefuse,  // Reset it at once; the client may retry.
};

/**
 * Decides whether a new flow is sent to the best target, waits, or is refused.
 * Limits the load after an outage, when all clients reconnect at once to few
 * targets that are in slow start: a target is not sent more work than it can
 * finish within the timeout of a request.
 */
class AdmissionControl {
 public:
  /** Maximum number of requests per slot of a target, queued ones included. */
  static constexpr double kMaxWorkPerSlot = 8.0;
  /** Maximum wait; a client retransmits its SYN after 200 and 600 ms. */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(400);
  /** A flow may wait for the route's timeout divided by this number. */
  static constexpr int kTimeoutToWaitRatio = 3;

  /** Returns how long a flow of that route may wait for room. */
  static Duration WaitLimit(const Route& route, RoomWait wait);

  /**
   * @param work    requests per slot at the best target
   * @param waited  time since the flow's SYN arrived
   */
  static AdmissionDecision Decide(const Route& route, RoomWait wait,
                                  double work, Duration waited);
  /** Returns for how long a client waits for a target to take its flow. */
  static Duration AttemptTime(const Route& route);
  /**
   * Whether the client is about to give up a flow that was not opened yet, so
   * that a target would only work for a client that is gone.
   * @param waited  time since the client sent its first SYN
   */
  static bool AttemptIsOver(const Route& route, Duration waited);
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ADMISSION_ADMISSION_CONTROL_H_
