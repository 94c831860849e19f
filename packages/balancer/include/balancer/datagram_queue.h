#ifndef SESAMESADDLE_BALANCER_DATAGRAM_QUEUE_H_
#define SESAMESADDLE_BALANCER_DATAGRAM_QUEUE_H_

#include <array>
#include <deque>
#include <optional>
#include <string>

#include "configuration_types.h"
#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** A datagram of a caller in the queue. */
struct WaitingDatagram {
  Flow flow;
  std::string payload;
  TimePoint received_at;
};

/**
 * A bounded queue with one lane per priority, served by weighted round robin so
 * that low priorities are not starved. When the queue is full, the oldest
 * datagram of the lowest lane in use is dropped.
 */
class DatagramQueue {
 public:
  explicit DatagramQueue(size_t capacity) : capacity_(capacity) {}

  /** Adds a datagram; returns false if it or another one was dropped. */
  bool Push(schema::Priority::type priority, WaitingDatagram datagram);
  /** Removes and returns the next datagram, if any. */
  std::optional<WaitingDatagram> Pop();
  size_t size() const { return size_; }

 private:
  static constexpr size_t kLanes = 3;

  /** Drops the oldest datagram of the lowest lane in use, up to `lane`. */
  bool EvictAtOrBelow(size_t lane);

  size_t capacity_;
  size_t size_ = 0;
  std::array<std::deque<WaitingDatagram>, kLanes> lanes_;
  std::array<int, kLanes> credit_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_BALANCER_DATAGRAM_QUEUE_H_
