#ifndef SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_SCHEDULER_H_
#define SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_SCHEDULER_H_

#include <functional>
#include <map>

#include "core/scheduler.h"

namespace sesamesaddle {

/** A scheduler on a virtual clock that only RunFor advances. */
class VirtualScheduler : public Scheduler, public Clock {
 public:
  void After(Duration delay, std::function<void()> callback) override {
    events_.emplace(now_ + delay, std::move(callback));
  }
  TimePoint Now() const override { return now_; }

  /** Advances the clock by `duration` and runs due callbacks in time order. */
  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

 private:
  // Does not start at zero, which means "never" in some classes.
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> events_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_SCHEDULER_H_
