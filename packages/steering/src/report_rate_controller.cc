#include "steering/report_rate_controller.h"

#include <algorithm>

namespace sesamesaddle {

void ReportRateController::Update(size_t agents, int64_t solicited) {
  const auto count = static_cast<int64_t>(agents);
  const int64_t periodic =
      std::max(kMinPeriodicReportsPerSecond,
               kMaxReportsPerSecond - std::min<int64_t>(solicited, count));
  constexpr Duration kSecond = std::chrono::seconds(1);
  period_ = std::max(kMinPeriod, kSecond * count / periodic);
}

uint32_t ReportRateController::Pack() const {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(period_).count());
}

Duration ReportRateController::Unpack(uint32_t packed) {
  return std::max<Duration>(kMinPeriod, std::chrono::milliseconds(packed));
}

}  // namespace sesamesaddle
