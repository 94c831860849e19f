#include "admission/admission_control.h"

#include <algorithm>

#include "admission/handshake_time_estimator.h"
#include "admission/syn_patience.h"

namespace sesamesaddle {

Duration AdmissionControl::AttemptTime(const Route& route) {
  // The client's next packet has to arrive in time, too.
  return std::min(SynPatience::kAttemptTimeout, route.timeout) -
         HandshakeTimeEstimator::kMaxTimeout;
}

Duration AdmissionControl::WaitLimit(const Route& route, RoomWait wait) {
  if (wait == RoomWait::kAttempt) return AttemptTime(route);
  return std::min(kMaxWait, route.timeout / kTimeoutToWaitRatio);
}

bool AdmissionControl::AttemptIsOver(const Route& route, Duration waited) {
  return waited >= AttemptTime(route);
}

AdmissionDecision AdmissionControl::Decide(const Route& route, RoomWait wait,
                                           double work, Duration waited) {
  if (work <= kMaxWorkPerSlot) return AdmissionDecision::kPlace;
  return waited < WaitLimit(route, wait) ? AdmissionDecision::kWait
                                         : AdmissionDecision::kRefuse;
}

}  // namespace sesamesaddle
