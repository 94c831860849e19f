#ifndef SESAMESADDLE_AGENT_HANDOVER_H_
#define SESAMESADDLE_AGENT_HANDOVER_H_

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "agent/flow_registry.h"
#include "node/control_plane.h"
#include "node/outbox.h"

namespace sesamesaddle {

/**
 * Hands flows whole to other agents in batches that are repeated until they
 * are acknowledged. While a flow is under way its datagrams are held.
 */
class Handover {
 public:
  static constexpr size_t kFlowsPerBatch = 8;
  static constexpr size_t kMaxBatchBytes = 1200;
  static constexpr size_t kBatchesInFlight = 16;
  static constexpr Duration kRetry = std::chrono::milliseconds(100);
  static constexpr int kMaxSends = 10;
  static constexpr Duration kTakenRetention = std::chrono::seconds(60);

  /** Makes the whole state of a flow; the epoch is set here. */
  using Export = std::function<schema::FlowState(const Flow& flow)>;
  /** The flow has gone to its new owner: drop what is kept of it. */
  using Gone = std::function<void(const Flow& flow, Outbox& out)>;
  /** The flow stays, but the recipient may have taken it as well. */
  using Doubtful = std::function<void(TimePoint now, const Flow& flow)>;

  Handover(ControlPlane& control, FlowRegistry& flows, Export export_flow,
           Gone gone, Doubtful doubtful);

  /**
   * Starts to hand a flow to an agent.
   * @return false if it cannot be done now: a request is running, the flow is
   *         under way already, or too many batches are.
   */
  bool Start(TimePoint now, const Flow& flow, MemberId to);
  /** Sends what Start has collected. */
  void Flush(TimePoint now, Outbox& out);
  void OnAck(TimePoint now, const schema::HandoverAck& ack, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);

  /** @return whether the batch was taken over before: just acknowledge it. */
  bool AlreadyTaken(const schema::Handover& handover) const;
  void NoteTaken(TimePoint now, const schema::Handover& handover);

  bool HasRoom() const { return in_flight_.size() < kBatchesInFlight; }
  size_t under_way() const { return under_way_; }
  int64_t handed_over() const { return handed_over_; }

 private:
  struct Batch {
    MemberId to;
    schema::Handover message;
    int sends = 0;
    TimePoint next_send;
  };

  void Send(TimePoint now, Batch& batch, Outbox& out);
  void GiveUp(TimePoint now, const Batch& batch);

  ControlPlane& control_;
  FlowRegistry& flows_;
  Export export_flow_;
  Gone gone_;
  Doubtful doubtful_;
  std::map<MemberId, std::vector<schema::FlowState>> collected_;
  std::map<int64_t, Batch> in_flight_;
  std::map<std::pair<MemberId, int64_t>, TimePoint> taken_;
  size_t under_way_ = 0;
  int64_t handed_over_ = 0;
  int64_t next_batch_ = 1;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_HANDOVER_H_
