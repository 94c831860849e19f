#include "steering/admission.h"

#include <algorithm>

namespace sesamesaddle {

Duration Admission::WaitLimit(const Route& route) {
  return std::min(kLongestWait, route.timeout / kWaitDivisor);
}

AdmissionDecision Admission::Decide(const Route& route, double work,
                                    Duration waited) {
  if (work <= kFullWork) return AdmissionDecision::kPlace;
  return waited < WaitLimit(route) ? AdmissionDecision::kWait
                                   : AdmissionDecision::kRefuse;
}

}  // namespace sesamesaddle
