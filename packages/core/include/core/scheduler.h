#ifndef SESAMESADDLE_CORE_SCHEDULER_H_
#define SESAMESADDLE_CORE_SCHEDULER_H_

#include <functional>

#include "core/time.h"

namespace sesamesaddle {

/** Runs a callback later; the event loop's timer in a process. */
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  virtual void After(Duration delay, std::function<void()> callback) = 0;
  virtual TimePoint Now() const = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_SCHEDULER_H_
