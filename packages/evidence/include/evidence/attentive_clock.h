#ifndef SESAMESADDLE_EVIDENCE_ATTENTIVE_CLOCK_H_
#define SESAMESADDLE_EVIDENCE_ATTENTIVE_CLOCK_H_

#include <algorithm>

#include "core/time.h"

namespace sesamesaddle {

/**
 * Measures for how long this process has handled what arrived. While it does
 * not run, or leaves datagrams unread, an answer may wait in a socket, so that
 * this time says nothing about the silence of another process.
 */
class AttentiveClock {
 public:
  /**
   * Longest time that counts between two calls of OnAllRead. A request may
   * leave late if the process stops between recording and sending it; this
   * bounds what such a stop adds to the wait for the answer.
   */
  static constexpr Duration kMaxStep = std::chrono::milliseconds(150);

  /**
   * Called when every datagram that arrived before `as_of` has been handled.
   */
  void OnAllRead(TimePoint as_of) {
    if (as_of <= as_of_) return;
    if (as_of_ != TimePoint()) {
      elapsed_ += std::min<Duration>(as_of - as_of_, kMaxStep);
    }
    as_of_ = as_of;
  }

  /** Returns the attentive time since the first call of OnAllRead. */
  Duration elapsed() const { return elapsed_; }
  /** Returns the time up to which everything that arrived has been handled. */
  TimePoint as_of() const { return as_of_; }

 private:
  TimePoint as_of_{};
  Duration elapsed_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_EVIDENCE_ATTENTIVE_CLOCK_H_
