#ifndef SESAMESADDLE_NET_EVENT_LOOP_H_
#define SESAMESADDLE_NET_EVENT_LOOP_H_

#include <functional>
#include <map>
#include <utility>

#include "core/time.h"
#include "net/h2o.h"
#include "net/loop_lag.h"

namespace sesamesaddle {

/** A single-threaded event loop: h2o's loop for sockets, with timers added. */
class EventLoop {
 public:
  using Callback = std::function<void()>;
  using PollObserver = std::function<void(TimePoint poll_began)>;

  /** A handle that cancels its timer when destroyed. */
  class Timer {
   public:
    Timer() = default;
    Timer(EventLoop* loop, uint64_t key) : loop_(loop), key_(key) {}
    Timer(Timer&& other) noexcept;
    Timer& operator=(Timer&& other) noexcept;
    ~Timer() { Cancel(); }

    void Cancel();

   private:
    EventLoop* loop_ = nullptr;
    uint64_t key_ = 0;
  };

  explicit EventLoop(const Clock& clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Calls `callback` once after `delay`. */
  [[nodiscard]] Timer After(Duration delay, Callback callback);
  /** Calls `callback` every `period` until the timer is destroyed. */
  [[nodiscard]] Timer Every(Duration period, Callback callback);
  /** Calls `callback` once after `delay`; it cannot be cancelled. */
  void Schedule(Duration delay, Callback callback);
  /** Calls `callback` in the next iteration of the loop. */
  void Post(Callback callback) {
    Schedule(Duration::zero(), std::move(callback));
  }

  /**
   * Calls `observer` after each poll of the sockets and before the timers that
   * are due, with the time just before the poll: what arrived earlier has been
   * offered to the handlers of the sockets.
   */
  void SetPollObserver(PollObserver observer) {
    poll_observer_ = std::move(observer);
  }
  /** Sets the longest time for which a poll waits; 1 s at first. */
  void SetMaxPoll(std::chrono::milliseconds max_poll) { max_poll_ = max_poll; }
  /** Calls `observer` at the end of each hold-up that lag() counts. */
  void SetLagObserver(LoopLag::Observer observer) {
    lag_.SetObserver(std::move(observer));
  }
  /** Returns how long the loop was held up while it ran. */
  const LoopLag& lag() const { return lag_; }

  /** Runs until Stop() is called; may be called again afterwards. */
  void Run();
  void Stop() { stopped_ = true; }

  h2o_loop_t* h2o_loop() { return loop_; }
  TimePoint Now() const { return clock_.Now(); }

 private:
  struct TimerEntry {
    TimePoint due;
    Duration period;  // Zero for a one-shot timer.
    Callback callback;
  };

  uint64_t Add(Duration delay, Duration period, Callback callback);
  void Remove(uint64_t key);
  /** Polls the sockets, runs their handlers and notifies the observers. */
  void Poll(bool may_have_pending);
  /** Returns whether any timer was due. */
  bool RunDueTimers();
  /** Returns the time until the next timer is due, with an upper limit. */
  std::chrono::milliseconds PollTimeout(TimePoint now) const;

  const Clock& clock_;
  h2o_loop_t* loop_;
  std::map<uint64_t, TimerEntry> timers_;
  std::multimap<TimePoint, uint64_t> keys_by_due_time_;
  PollObserver poll_observer_;
  std::chrono::milliseconds max_poll_ = std::chrono::seconds(1);
  LoopLag lag_;
  uint64_t next_key_ = 1;
  bool stopped_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_EVENT_LOOP_H_
