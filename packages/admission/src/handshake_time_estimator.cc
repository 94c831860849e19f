#include "admission/handshake_time_estimator.h"

#include <algorithm>

namespace sesamesaddle {
namespace {

// RFC 6298, section 2: alpha, beta and K.
constexpr int kSmoothedDivisor = 8;
constexpr int kVariationDivisor = 4;
constexpr int kVariationFactor = 4;

}  // namespace

void HandshakeTimeEstimator::AddSample(Duration handshake) {
  if (handshake > kMaxTimeout) return;
  if (!has_sample_) {
    has_sample_ = true;
    smoothed_ = handshake;
    variation_ = handshake / 2;
    return;
  }
  const Duration error = std::chrono::abs(handshake - smoothed_);
  variation_ += (error - variation_) / kVariationDivisor;
  smoothed_ += (handshake - smoothed_) / kSmoothedDivisor;
}

Duration HandshakeTimeEstimator::Timeout() const {
  if (!has_sample_) return kMaxTimeout;
  return std::clamp(smoothed_ + kVariationFactor * variation_, kMinTimeout,
                    kMaxTimeout);
}

}  // namespace sesamesaddle
