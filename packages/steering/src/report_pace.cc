#include "steering/report_pace.h"

#include <algorithm>

namespace sesamesaddle {

void ReportPace::Update(size_t agents, int64_t asked) {
  const auto count = static_cast<int64_t>(agents);
  const int64_t unasked = std::max(
      kLeastUnasked, kReportsPerSecond - std::min<int64_t>(asked, count));
  constexpr Duration kSecond = std::chrono::seconds(1);
  period_ = std::max(kShortest, kSecond * count / unasked);
}

uint32_t ReportPace::Pack() const {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(period_).count());
}

Duration ReportPace::Unpack(uint32_t packed) {
  return std::max<Duration>(kShortest, std::chrono::milliseconds(packed));
}

}  // namespace sesamesaddle
