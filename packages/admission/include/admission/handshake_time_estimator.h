#ifndef SESAMESADDLE_ADMISSION_HANDSHAKE_TIME_ESTIMATOR_H_
#define SESAMESADDLE_ADMISSION_HANDSHAKE_TIME_ESTIMATOR_H_

#include "core/time.h"

namespace sesamesaddle {

/**
 * Estimates the time from the delivery of a SYN to the client's next packet. A
 * client that takes much longer has abandoned the flow silently, and the
 * capacity reserved for it is unused. This matters for the load after an
 * outage, when a tenth of the SYNs that waited are from clients that are gone.
 */
class HandshakeTimeEstimator {
 public:
  /**
   * Maximum, and the default without samples; longer handshakes lost a packet.
   */
  static constexpr Duration kMaxTimeout = std::chrono::milliseconds(100);
  /** Minimum: the period at which reserved capacity is released. */
  static constexpr Duration kMinTimeout = std::chrono::milliseconds(10);

  /**
   * Adds the time of a completed handshake; values above kMaxTimeout are
   * ignored.
   */
  void AddSample(Duration handshake);
  /**
   * Returns the time after which a client's request is no longer expected: the
   * smoothed time plus four times its variation, as in RFC 6298.
   */
  Duration Timeout() const;

 private:
  bool has_sample_ = false;
  Duration smoothed_{};
  Duration variation_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ADMISSION_HANDSHAKE_TIME_ESTIMATOR_H_
