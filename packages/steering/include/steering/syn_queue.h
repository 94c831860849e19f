#ifndef SESAMESADDLE_STEERING_SYN_QUEUE_H_
#define SESAMESADDLE_STEERING_SYN_QUEUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "steering/admission_control.h"

namespace sesamesaddle {

/** A SYN that waits beside its target for room there. */
struct QueuedSyn {
  Flow flow;
  std::string packet;
  /** Sequence number of the SYN. */
  uint32_t sequence = 0;
  Endpoint balancer;
  int priority = 0;
  /** When it came to this queue. */
  TimePoint arrived{};
  /** How long it had waited before. */
  Duration waited_before{};
  Duration target_latency{};
};

/**
 * New flows that wait beside a target whose slots are all taken. Work that a
 * target has accepted is served in the order in which it came; here the order
 * can still be chosen: by priority, then those that can still be answered in
 * time, oldest first. It answers bursts and the return of all clients after an
 * outage.
 */
class SynQueue {
 public:
  /** A target never has more admitted requests per slot than this. */
  static constexpr double kMaxAdmittedPerSlot = 1.5;
  /** Longer queues per slot are refused. */
  static constexpr size_t kMaxQueuedPerSlot = 8;
  /**
   * After this wait the balancer chooses again, as another target may have come
   * free: twice the time between reports, from which it knows.
   */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(100);

  /** Whether one more request may go to a target with that much work. */
  static bool HasRoom(int work, int slots);

  /** @return false if the queue is full. */
  bool Push(QueuedSyn syn, int slots);
  /** @return the most urgent flow, if any. */
  std::optional<QueuedSyn> Pop(TimePoint now);
  /** @return those that have waited too long, removed. */
  std::vector<QueuedSyn> TakeExpired(TimePoint now);
  /** @return all, removed. */
  std::vector<QueuedSyn> TakeAll();
  bool Contains(const Flow& flow) const;

  bool empty() const { return syns_.empty(); }
  size_t size() const { return syns_.size(); }

 private:
  static Urgency UrgencyOf(const QueuedSyn& syn, TimePoint now);

  std::vector<QueuedSyn> syns_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_SYN_QUEUE_H_
