#ifndef SESAMESADDLE_DAEMON_LOOP_SCHEDULER_H_
#define SESAMESADDLE_DAEMON_LOOP_SCHEDULER_H_

#include <functional>

#include "core/scheduler.h"
#include "net/event_loop.h"

namespace sesamesaddle {

/** Runs callbacks on the event loop. */
class LoopScheduler : public Scheduler {
 public:
  explicit LoopScheduler(EventLoop& loop) : loop_(loop) {}

  void After(Duration delay, std::function<void()> callback) override {
    loop_.Schedule(delay, std::move(callback));
  }
  TimePoint Now() const override { return loop_.Now(); }

 private:
  EventLoop& loop_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_LOOP_SCHEDULER_H_
