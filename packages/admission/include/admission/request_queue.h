#ifndef SESAMESADDLE_ADMISSION_REQUEST_QUEUE_H_
#define SESAMESADDLE_ADMISSION_REQUEST_QUEUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/urgency.h"
#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** A request of an open flow that waits until the target has room. */
struct HeldRequest {
  Flow flow;
  Endpoint balancer;
  /** Packets of the client in their order, from the first of the request on. */
  std::vector<std::string> packets;
  /** Sequence number of the first packet. */
  uint32_t sequence = 0;
  TimePoint arrived{};
  /** Number of retransmissions of the first packet. */
  uint32_t copies = 0;
  int priority = 0;
  Duration target_latency{};
};

/**
 * Queue of the requests of open flows while all slots of the target are in use.
 * It answers for load beyond the slots where clients keep their flows: without
 * it their requests would fill the target's own queue, which serves them in
 * order of arrival, and delay new flows that are more urgent.
 */
class RequestQueue {
 public:
  /** Maximum number of packets held of a flow: what a client sends at once. */
  static constexpr size_t kMaxPackets = 16;

  explicit RequestQueue(QueueOrder order) : order_(order) {}

  /** Sets the time that a request needs from its delivery to the response. */
  void SetServiceTime(Duration service_time) { service_time_ = service_time; }
  /** Adds the request of a flow that has none in the queue. */
  void Push(HeldRequest request) { requests_.push_back(std::move(request)); }
  /**
   * Adds a further packet of a flow's request, or counts a retransmission.
   * @param sequence  the packet's sequence number
   * @return whether the flow has a request in the queue
   */
  bool AddPacket(const Flow& flow, const Endpoint& balancer, uint32_t sequence,
                 std::string packet);
  /** Removes the flow's request, if there is one. */
  void Erase(const Flow& flow);
  /** Returns the urgency of the request that Pop would return, if any. */
  std::optional<Urgency> MostUrgent(TimePoint now) const;
  /** Removes and returns the most urgent request, if any. */
  std::optional<HeldRequest> Pop(TimePoint now);

  bool empty() const { return requests_.empty(); }
  size_t size() const { return requests_.size(); }

 private:
  Urgency UrgencyOf(const HeldRequest& request, TimePoint now) const;
  std::vector<HeldRequest>::const_iterator First(TimePoint now) const;

  QueueOrder order_;
  Duration service_time_{};
  std::vector<HeldRequest> requests_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ADMISSION_REQUEST_QUEUE_H_
