#include "steering/report_rate_controller.h"

#include <algorithm>
#include <array>

#include "flow_model/agent_hop.h"

namespace sesamesaddle {
namespace {

// The steps of one octave, relative to kMinPeriod, in millionths.
constexpr std::array<int64_t, 4> kStepsOfOctave = {1000000, 1189207, 1414214,
                                                   1681793};

}  // namespace

void ReportRateController::Update(size_t agents, int64_t solicited) {
  const auto count = static_cast<int64_t>(agents);
  const int64_t periodic =
      std::max(kMinPeriodicReportsPerSecond,
               kMaxReportsPerSecond - std::min<int64_t>(solicited, count));
  constexpr Duration kSecond = std::chrono::seconds(1);
  period_ = std::max(kMinPeriod, kSecond * count / periodic);
  step_ = 0;
  while (step_ < kMaxReportStep && UnpackStep(step_) < period_) ++step_;
}

uint32_t ReportRateController::Pack() const {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(period_).count());
}

Duration ReportRateController::Unpack(uint32_t packed) {
  return std::max<Duration>(kMinPeriod, std::chrono::milliseconds(packed));
}

Duration ReportRateController::UnpackStep(uint8_t step) {
  const size_t octave = step / kStepsOfOctave.size();
  const int64_t factor = kStepsOfOctave[step % kStepsOfOctave.size()];
  return kMinPeriod * (int64_t{1} << octave) * factor / kStepsOfOctave.front();
}

}  // namespace sesamesaddle
