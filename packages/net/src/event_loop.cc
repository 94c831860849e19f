#include "net/event_loop.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {

EventLoop::Timer::Timer(Timer&& other) noexcept
    : loop_(std::exchange(other.loop_, nullptr)), key_(other.key_) {}

EventLoop::Timer& EventLoop::Timer::operator=(Timer&& other) noexcept {
  if (this != &other) {
    Cancel();
    loop_ = std::exchange(other.loop_, nullptr);
    key_ = other.key_;
  }
  return *this;
}

void EventLoop::Timer::Cancel() {
  if (loop_ != nullptr) std::exchange(loop_, nullptr)->Remove(key_);
}

EventLoop::EventLoop(const Clock& clock)
    : clock_(clock), loop_(h2o_evloop_create()) {}

EventLoop::~EventLoop() = default;  // h2o 2.2 cannot destroy a used loop.

EventLoop::Timer EventLoop::After(Duration delay, Callback callback) {
  return {this, Add(delay, Duration::zero(), std::move(callback))};
}

EventLoop::Timer EventLoop::Every(Duration period, Callback callback) {
  return {this, Add(period, period, std::move(callback))};
}

void EventLoop::Schedule(Duration delay, Callback callback) {
  Add(delay, Duration::zero(), std::move(callback));
}

void EventLoop::Run() {
  stopped_ = false;
  // h2o polls before it runs callbacks that are pending, such as the one of a
  // write that a timer started and that completed at once. Without the poll of
  // 0 ms the response to that write would wait for the next timer.
  bool may_have_pending = true;
  while (!stopped_) {
    Poll(may_have_pending);
    may_have_pending = RunDueTimers();
  }
  lag_.Pause();
}

void EventLoop::Poll(bool may_have_pending) {
  const TimePoint began = clock_.Now();
  const auto wait =
      may_have_pending ? std::chrono::milliseconds::zero() : PollTimeout(began);
  lag_.OnPollBegin(began, wait);
  h2o_evloop_run(loop_, static_cast<int32_t>(wait.count()));
  lag_.OnPollEnd(clock_.Now());
  if (poll_observer_) poll_observer_(began);
}

uint64_t EventLoop::Add(Duration delay, Duration period, Callback callback) {
  const uint64_t key = next_key_++;
  const TimePoint due = clock_.Now() + delay;
  timers_[key] = {due, period, std::move(callback)};
  keys_by_due_time_.emplace(due, key);
  return key;
}

void EventLoop::Remove(uint64_t key) {
  const auto entry = timers_.find(key);
  if (entry == timers_.end()) return;
  const auto [begin, end] = keys_by_due_time_.equal_range(entry->second.due);
  const auto it = std::find_if(begin, end, [key](const auto& candidate) {
    return candidate.second == key;
  });
  if (it != end) keys_by_due_time_.erase(it);
  timers_.erase(entry);
}

bool EventLoop::RunDueTimers() {
  const TimePoint now = clock_.Now();
  bool any = false;
  while (!keys_by_due_time_.empty() &&
         keys_by_due_time_.begin()->first <= now) {
    const uint64_t key = keys_by_due_time_.begin()->second;
    keys_by_due_time_.erase(keys_by_due_time_.begin());
    TimerEntry& entry = timers_.at(key);
    const Callback callback = entry.callback;
    if (entry.period == Duration::zero()) {
      timers_.erase(key);
    } else {
      entry.due = now + entry.period;
      keys_by_due_time_.emplace(entry.due, key);
    }
    callback();
    any = true;
  }
  return any;
}

std::chrono::milliseconds EventLoop::PollTimeout(TimePoint now) const {
  if (keys_by_due_time_.empty()) return max_poll_;
  const Duration remaining = keys_by_due_time_.begin()->first - now;
  // Rounds up, so that the loop does not spin until the timer is due.
  return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(remaining),
                    std::chrono::milliseconds::zero(), max_poll_);
}

}  // namespace sesamesaddle
