#ifndef SESAMESADDLE_CORE_SCHEDULER_H_
#define SESAMESADDLE_CORE_SCHEDULER_H_

#include <functional>

#include "core/time.h"

namespace sesamesaddle {

/** Timer interface, implemented by the event loop. */
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  /** Runs the callback once after the delay. */
  virtual void After(Duration delay, std::function<void()> callback) = 0;
  virtual TimePoint Now() const = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_SCHEDULER_H_
