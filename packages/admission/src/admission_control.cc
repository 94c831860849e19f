#include "admission/admission_control.h"

#include <algorithm>

namespace sesamesaddle {

Duration AdmissionControl::WaitLimit(const Route& route) {
  return std::min(kMaxWait, route.timeout / kTimeoutToWaitRatio);
}

AdmissionDecision AdmissionControl::Decide(const Route& route, double work,
                                           Duration waited) {
  if (work <= kMaxWorkPerSlot) return AdmissionDecision::kPlace;
  return waited < WaitLimit(route) ? AdmissionDecision::kWait
                                   : AdmissionDecision::kRefuse;
}

}  // namespace sesamesaddle
