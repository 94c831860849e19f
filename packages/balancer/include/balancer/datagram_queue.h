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

/** A caller's datagram that waits for its turn. */
struct WaitingDatagram {
  Flow flow;
  std::string payload;
  TimePoint received_at;
};

/**
 * A bounded queue with one lane a priority. Lanes share the turns by weight,
 * so that a lower one is slowed but never starved; when the queue is full the
 * oldest datagram of the lowest lane in use is dropped.
 */
class DatagramQueue {
 public:
  explicit DatagramQueue(size_t capacity) : capacity_(capacity) {}

  /** @return false if a datagram (this or another) was dropped. */
  bool Push(schema::Priority::type priority, WaitingDatagram datagram);
  std::optional<WaitingDatagram> Pop();
  size_t size() const { return size_; }

 private:
  static constexpr size_t kLanes = 3;

  bool DropBelow(size_t lane);

  size_t capacity_;
  size_t size_ = 0;
  std::array<std::deque<WaitingDatagram>, kLanes> lanes_;
  std::array<int, kLanes> credit_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_BALANCER_DATAGRAM_QUEUE_H_
