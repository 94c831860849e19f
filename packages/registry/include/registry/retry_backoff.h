#ifndef SESAMESADDLE_REGISTRY_RETRY_BACKOFF_H_
#define SESAMESADDLE_REGISTRY_RETRY_BACKOFF_H_

#include "core/random.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Waits between tries of calls to a store that fails: doubled from try to try,
 * and spread, so that processes that lost the store at one moment do not all
 * come back at one.
 */
class RetryBackoff {
 public:
  RetryBackoff(RandomSource& random, Duration first, Duration last)
      : random_(random), first_(first), last_(last) {}

  /** @return the wait before the next try: half a step up to a whole one. */
  Duration Next();
  /** A call has succeeded. */
  void Reset() { step_ = Duration::zero(); }

 private:
  RandomSource& random_;
  Duration first_;
  Duration last_;
  Duration step_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_RETRY_BACKOFF_H_
