#ifndef SESAMESADDLE_ADMISSION_ADMISSION_OPTIONS_H_
#define SESAMESADDLE_ADMISSION_ADMISSION_OPTIONS_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "admission/urgency.h"

namespace sesamesaddle {

/** How balancers and agents order, admit and refuse new flows. */
struct AdmissionOptions {
  QueueOrder order = QueueOrder::kPriority;
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
