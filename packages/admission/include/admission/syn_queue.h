#ifndef SESAMESADDLE_ADMISSION_SYN_QUEUE_H_
#define SESAMESADDLE_ADMISSION_SYN_QUEUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_control.h"
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
 * accepted work in order of arrival; this queue orders by priority, then flows
 * that can still meet their target latency, oldest first, and after all others
 * those whose clients have probably given up. Absorbs bursts, such as the
 * reconnection of all clients after an outage.
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

  /** Whether a target with that many requests may get one more. */
  static bool HasRoom(int work, int slots);

  /** Returns false if the queue is full. */
  bool Push(QueuedSyn syn, int slots);
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
  static Urgency UrgencyOf(const QueuedSyn& syn, TimePoint now);

  std::vector<QueuedSyn> syns_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ADMISSION_SYN_QUEUE_H_
