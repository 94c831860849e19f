#ifndef SESAMESADDLE_STEERING_HANDSHAKE_TIME_ESTIMATOR_H_
#define SESAMESADDLE_STEERING_HANDSHAKE_TIME_ESTIMATOR_H_

#include "core/time.h"

namespace sesamesaddle {

/**
 * How long clients take from the SYN that a target gets to their next packet.
 * A client that takes much longer has given the flow up without a word; a place
 * that is kept for it stands idle. It answers the load after an outage, when a
 * tenth of the SYNs that waited are of clients that are gone.
 */
class HandshakeTimeEstimator {
 public:
  /** Used before any handshake was seen; longer ones lost a packet. */
  static constexpr Duration kMaxTimeout = std::chrono::milliseconds(100);
  /** The period at which places are given out again. */
  static constexpr Duration kMinTimeout = std::chrono::milliseconds(10);

  /** A client went on so long after its SYN was delivered. */
  void AddSample(Duration handshake);
  /**
   * @return the time after which a client is not expected any more: the
   *         smoothed time and four deviations, as RFC 6298 has it
   */
  Duration Timeout() const;

 private:
  bool has_sample_ = false;
  Duration smoothed_{};
  Duration variation_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_HANDSHAKE_TIME_ESTIMATOR_H_
