#include "steering/answer_judge.h"

namespace sesamesaddle {
namespace {

// An answer below both shares of what is usual is none to the request. Work
// times vary by more than sizes do, so the two have to agree.
constexpr double kTimeShare = 0.5;
constexpr double kBytesShare = 0.5;
// Weights of the newest answer in the averages.
constexpr double kUsualWeight = 1.0 / 16;
constexpr double kFailedWeight = 1.0 / 8;

}  // namespace

void AnswerJudge::OnAnswer(const Endpoint& route, Duration took, size_t bytes) {
  Usual& usual = usual_[route];
  const auto took_us = static_cast<double>(took.count());
  const auto size = static_cast<double>(bytes);
  const bool known = usual.answers >= kLearned;
  const bool unusual = known && took_us < usual.took_us * kTimeShare &&
                       size < usual.bytes * kBytesShare;
  if (known) Count(unusual);
  if (unusual) {
    if (++usual.unusual_in_row >= kRelearned) usual = Usual();
    return;
  }
  usual.unusual_in_row = 0;
  const double weight = known ? kUsualWeight : 1.0 / (usual.answers + 1);
  if (!known) ++usual.answers;
  usual.took_us += (took_us - usual.took_us) * weight;
  usual.bytes += (size - usual.bytes) * weight;
}

void AnswerJudge::OnBrokenOff() { Count(true); }

void AnswerJudge::OnOtherTarget() {
  failed_share_ = 0;
  failing_ = false;
}

void AnswerJudge::Count(bool failed) {
  failed_share_ += ((failed ? 1.0 : 0.0) - failed_share_) * kFailedWeight;
  if (failed_share_ > kFailingShare) failing_ = true;
  if (failed_share_ < kServingShare) failing_ = false;
}

}  // namespace sesamesaddle
