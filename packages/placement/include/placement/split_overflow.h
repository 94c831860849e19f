#ifndef SESAMESADDLE_PLACEMENT_SPLIT_OVERFLOW_H_
#define SESAMESADDLE_PLACEMENT_SPLIT_OVERFLOW_H_

#include <optional>

namespace sesamesaddle {

/** Whether flows may leave the service that their route's weights pick. */
enum class SplitMode {
  kStrict,    // Weights hold whatever the load.
  kOverflow,  // Flows that would have to queue may use another service.
};

/**
 * Decides when a flow of a route with several services goes to another one than
 * the weights pick. It answers for load peaks, such as the return of all
 * clients after an outage: requests then fail for lack of a slot at one service
 * while slots of another one stand idle.
 */
class SplitOverflow {
 public:
  /** Requests per slot: every slot is busy and another request waits for it. */
  static constexpr double kSaturatedWork = 2.0;
  /**
   * Work that counts for a target in slow start without room, whose slots may
   * be idle: another service takes the flow until it is saturated itself.
   */
  static constexpr double kWorkWithoutRoom = 2 * kSaturatedWork;
  /**
   * Share of the picked service's work that another one may have. Less than
   * the whole, so that the weights still show in the load.
   */
  static constexpr double kMaxRelativeWork = 0.5;

  /**
   * Whether a flow should look for a target at the route's other services.
   * @param work  requests per slot at the best target of the picked service;
   *              nothing if none of its targets can take the flow
   */
  static bool IsSaturated(std::optional<double> work) {
    return !work || *work >= kSaturatedWork;
  }
  /**
   * Whether a target of another service takes the flow.
   * @param work        as in IsSaturated
   * @param other_work  requests per slot at the best target of the other one
   */
  static bool Prefers(std::optional<double> work, double other_work) {
    return other_work < kMaxRelativeWork * work.value_or(kSaturatedWork);
  }
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_PLACEMENT_SPLIT_OVERFLOW_H_
