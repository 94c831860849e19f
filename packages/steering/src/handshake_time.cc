#include "steering/handshake_time.h"

#include <algorithm>

namespace sesamesaddle {
namespace {

// RFC 6298, section 2: alpha, beta and K.
constexpr int kMeanShare = 8;
constexpr int kDeviationShare = 4;
constexpr int kDeviations = 4;

}  // namespace

void HandshakeTime::Observe(Duration handshake) {
  if (handshake > kLongest) return;
  if (!known_) {
    known_ = true;
    mean_ = handshake;
    deviation_ = handshake / 2;
    return;
  }
  const Duration error = std::chrono::abs(handshake - mean_);
  deviation_ += (error - deviation_) / kDeviationShare;
  mean_ += (handshake - mean_) / kMeanShare;
}

Duration HandshakeTime::Limit() const {
  if (!known_) return kLongest;
  return std::clamp(mean_ + kDeviations * deviation_, kShortest, kLongest);
}

}  // namespace sesamesaddle
