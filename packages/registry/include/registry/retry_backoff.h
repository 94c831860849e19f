#ifndef SESAMESADDLE_REGISTRY_RETRY_BACKOFF_H_
#define SESAMESADDLE_REGISTRY_RETRY_BACKOFF_H_

#include "core/random.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Exponential backoff with jitter for calls to a failing store. The jitter
 * keeps processes that lost the store at the same time from retrying together.
 */
class RetryBackoff {
 public:
  RetryBackoff(RandomSource& random, Duration initial, Duration max)
      : random_(random), initial_(initial), max_(max) {}

  /**
   * Doubles the step, up to the maximum.
   * @return the delay before the next retry: between half a step and a step
   */
  Duration Next();
  /** Starts again at the initial delay; called after a successful call. */
  void Reset() { step_ = Duration::zero(); }

 private:
  RandomSource& random_;
  Duration initial_;
  Duration max_;
  Duration step_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_RETRY_BACKOFF_H_
