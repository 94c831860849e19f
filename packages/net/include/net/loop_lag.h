#ifndef SESAMESADDLE_NET_LOOP_LAG_H_
#define SESAMESADDLE_NET_LOOP_LAG_H_

#include <cstdint>
#include <functional>
#include <utility>

#include "core/time.h"

namespace sesamesaddle {

/**
 * Measures how long an event loop was held up: the time beyond what a poll was
 * meant to wait, and the time from the end of a poll to the next one. A hold-up
 * begins with a callback that blocks, or with a process that is paused or gets
 * no processor.
 *
 * A poll that data end early may be followed by a hold-up as long as the rest
 * of its wait without being counted.
 */
class LoopLag {
 public:
  /** Shorter hold-ups are not counted. */
  static constexpr Duration kThreshold = std::chrono::milliseconds(50);

  using Observer = std::function<void(Duration held_up)>;

  /** Calls `observer` at the end of each hold-up that is counted. */
  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  /** Ends the measurement; the time until the next poll is no hold-up. */
  void Pause() { running_ = false; }
  /** A poll begins at `now` and is meant to wait for `wait` at the longest. */
  void OnPollBegin(TimePoint now, Duration wait);
  /** The poll and the handlers of its sockets ended at `now`. */
  void OnPollEnd(TimePoint now);

  /** Number of hold-ups of kThreshold or longer. */
  int64_t count() const { return count_; }
  /** Sum of the hold-ups of kThreshold or longer. */
  Duration total() const { return total_; }
  /** The longest hold-up; zero if none was counted. */
  Duration longest() const { return longest_; }

 private:
  void Count(Duration held_up);

  Observer observer_;
  bool running_ = false;
  /** The time at which the loop was meant to go on. */
  TimePoint due_{};
  int64_t count_ = 0;
  Duration total_{};
  Duration longest_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_LOOP_LAG_H_
