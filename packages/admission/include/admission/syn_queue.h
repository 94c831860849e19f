#ifndef SESAMESADDLE_ADMISSION_SYN_QUEUE_H_
#define SESAMESADDLE_ADMISSION_SYN_QUEUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/urgency.h"
#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** A SYN that waits at the agent until its target has room. */
struct QueuedSyn {
  Flow flow;
  std::string packet;
  /** Sequence number of the SYN. */
  uint32_t sequence = 0;
  Endpoint balancer;
  int priority = 0;
  /** Time of arrival in this queue. */
  TimePoint arrived{};
  /** Time that it waited at balancers and other agents before. */
  Duration waited_before{};
  Duration target_latency{};
  /** Number of copies that the client has sent. */
  uint32_t copies = 0;
  bool runs_once = false;
};

/**
 * Queue of new flows for a target whose slots are all in use. A target serves
 * accepted work in order of arrival; this queue orders by UrgencyOrder. Absorbs
 * bursts, such as the reconnection of all clients after an outage.
 */
class SynQueue {
 public:
  /** Maximum number of admitted requests per slot of a target. */
  static constexpr double kMaxAdmittedPerSlot = 1.5;
  /** Maximum queue length per slot; further SYNs are refused. */
  static constexpr size_t kMaxQueuedPerSlot = 8;
  /**
   * After this wait the SYN returns to its balancer, which places it again, as
   * another target may have room: twice the time between reports, from which
   * the balancer knows.
   */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(100);

  explicit SynQueue(QueueOrder order) : order_(order) {}

  /** Whether a target with that many requests may get one more. */
  static bool HasRoom(int work, int slots);

  /**
   * Sets the time from the delivery of a SYN to the response. A SYN is late if
   * this would end after its target latency; used by QueueOrder::kDeadline.
   */
  void SetServiceTime(Duration service_time) { service_time_ = service_time; }
  /**
   * Adds the SYN. If the queue is full, the least urgent SYN leaves, which by
   * QueueOrder::kPriority is always the new one.
   * @return the SYN that left, if any
   */
  std::optional<QueuedSyn> Push(TimePoint now, QueuedSyn syn, int slots);
  /** Removes and returns the most urgent SYN, if any. */
  std::optional<QueuedSyn> Pop(TimePoint now);
  /** Removes and returns SYNs that have waited longer than kMaxWait. */
  std::vector<QueuedSyn> TakeExpired(TimePoint now);
  /** Removes and returns all SYNs. */
  std::vector<QueuedSyn> TakeAll();
  /**
   * Records a copy of a queued SYN.
   * @return whether the flow is queued
   */
  bool RecordCopy(const Flow& flow, uint32_t copies);

  bool empty() const { return syns_.empty(); }
  size_t size() const { return syns_.size(); }
  /** The queued SYNs, in no particular order. */
  const std::vector<QueuedSyn>& syns() const { return syns_; }

 private:
  static Duration Waited(const QueuedSyn& syn, TimePoint now);
  Urgency UrgencyOf(const QueuedSyn& syn, TimePoint now) const;
  bool Before(const QueuedSyn& a, const QueuedSyn& b, TimePoint now) const;

  QueueOrder order_;
  Duration service_time_{};
  std::vector<QueuedSyn> syns_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ADMISSION_SYN_QUEUE_H_
