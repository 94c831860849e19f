#ifndef SESAMESADDLE_SERVING_TARGET_HEALTH_H_
#define SESAMESADDLE_SERVING_TARGET_HEALTH_H_

#include "core/time.h"

namespace sesamesaddle {

/**
 * Ejects a failing target, based only on its responses (outlier detection): a
 * target that fails fast would otherwise look idle and attract all work. An
 * ejection ends after a time that doubles with each repetition.
 */
class TargetHealth {
 public:
  static constexpr int kFailuresToEject = 5;
  static constexpr Duration kFirstEjection = std::chrono::seconds(2);
  static constexpr Duration kLongestEjection = std::chrono::seconds(60);

  void OnSuccess(TimePoint now);
  /** @param may_eject  whether enough other agents of the service accept work
   */
  void OnFailure(TimePoint now, bool may_eject);
  bool Ejected(TimePoint now) const { return now < ejected_until_; }

 private:
  int failures_ = 0;  // Consecutive failures.
  Duration next_ejection_ = kFirstEjection;
  TimePoint ejected_until_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_TARGET_HEALTH_H_
