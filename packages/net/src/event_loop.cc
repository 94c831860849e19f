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
  while (!stopped_) {
    h2o_evloop_run(loop_, WaitMs());
    RunDueTimers();
  }
}

uint64_t EventLoop::Add(Duration delay, Duration period, Callback callback) {
  const uint64_t key = next_key_++;
  const TimePoint due = clock_.Now() + delay;
  entries_[key] = {due, period, std::move(callback)};
  due_.emplace(due, key);
  return key;
}

void EventLoop::Remove(uint64_t key) {
  const auto entry = entries_.find(key);
  if (entry == entries_.end()) return;
  const auto [begin, end] = due_.equal_range(entry->second.due);
  const auto it = std::find_if(begin, end, [key](const auto& candidate) {
    return candidate.second == key;
  });
  if (it != end) due_.erase(it);
  entries_.erase(entry);
}

void EventLoop::RunDueTimers() {
  const TimePoint now = clock_.Now();
  while (!due_.empty() && due_.begin()->first <= now) {
    const uint64_t key = due_.begin()->second;
    due_.erase(due_.begin());
    Entry& entry = entries_.at(key);
    const Callback callback = entry.callback;
    if (entry.period == Duration::zero()) {
      entries_.erase(key);
    } else {
      entry.due = now + entry.period;
      due_.emplace(entry.due, key);
    }
    callback();
  }
}

int EventLoop::WaitMs() const {
  constexpr int kMaxWaitMs = 1000;
  if (due_.empty()) return kMaxWaitMs;
  const Duration left = due_.begin()->first - clock_.Now();
  // Rounded up, so that the loop does not spin until the timer is due.
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  return static_cast<int>(std::clamp<int64_t>(ms, 0, kMaxWaitMs));
}

}  // namespace sesamesaddle
