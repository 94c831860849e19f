#ifndef SESAMESADDLE_ADMISSION_ADMISSION_OPTIONS_H_
#define SESAMESADDLE_ADMISSION_ADMISSION_OPTIONS_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "admission/urgency.h"

namespace sesamesaddle {

/** How long a new flow waits at a balancer until a target has room. */
enum class RoomWait {
  kBounded,  // For AdmissionControl::kMaxWait at most.
  kAttempt,  // Until the client is about to give the attempt up.
};

/** How balancers and agents order, admit and refuse new flows. */
struct AdmissionOptions {
  QueueOrder order = QueueOrder::kPriority;
  RoomWait room_wait = RoomWait::kBounded;
};

/**
 * Parses choices separated by commas, such as "order=deadline"; those that are
 * not named keep the value of `base`.
 * @return the options, or which choice is unknown
 */
tl::expected<AdmissionOptions, std::string> ParseAdmissionOptions(
    std::string_view choices, AdmissionOptions base = AdmissionOptions());

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ADMISSION_ADMISSION_OPTIONS_H_
