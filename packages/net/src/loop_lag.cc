#include "net/loop_lag.h"

#include <algorithm>

namespace sesamesaddle {

void LoopLag::OnPollBegin(TimePoint now, Duration wait) {
  if (running_) Count(now - due_);
  running_ = true;
  due_ = now + wait;
}

void LoopLag::OnPollEnd(TimePoint now) {
  Count(now - due_);
  due_ = now;
}

void LoopLag::Count(Duration held_up) {
  if (held_up < kThreshold) return;
  ++count_;
  total_ += held_up;
  longest_ = std::max(longest_, held_up);
  if (observer_) observer_(held_up);
}

}  // namespace sesamesaddle
