#include "admission/admission_control.h"

#include <algorithm>

#include "admission/handshake_time_estimator.h"
#include "admission/syn_patience.h"

namespace sesamesaddle {

Duration AdmissionControl::WaitLimit(const Route& route) {
  return std::min(kMaxWait, route.timeout / kTimeoutToWaitRatio);
}

bool AdmissionControl::AttemptIsOver(const Route& route, Duration waited) {
  // The client's next packet has to arrive in time, too.
  return waited + HandshakeTimeEstimator::kMaxTimeout >=
         std::min(SynPatience::kAttemptTimeout, route.timeout);
}

AdmissionDecision AdmissionControl::Decide(const Route& route, double work,
                                           Duration waited) {
  if (work <= kMaxWorkPerSlot) return AdmissionDecision::kPlace;
  return waited < WaitLimit(route) ? AdmissionDecision::kWait
                                   : AdmissionDecision::kRefuse;
}

}  // namespace sesamesaddle
