#ifndef SESAMESADDLE_AGENT_HANDOVER_H_
#define SESAMESADDLE_AGENT_HANDOVER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "agent/flow_registry.h"
#include "node/control_plane.h"
#include "node/outbox.h"

namespace sesamesaddle {

/**
 * Hands flows with their whole state over to other agents, in batches that are
 * retransmitted until they are acknowledged. Datagrams of a flow are buffered
 * during its handover.
 */
class Handover {
 public:
  static constexpr size_t kFlowsPerBatch = 8;
  static constexpr size_t kMaxBatchBytes = 1200;
  static constexpr size_t kBatchesInFlight = 16;
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
  static constexpr int kMaxSends = 10;
  static constexpr Duration kDecisionRetention = std::chrono::seconds(60);

  /** Returns the whole state of a flow; Handover sets the epoch. */
  using Export = std::function<schema::FlowState(const Flow& flow)>;
  /** Called when a flow has a new owner, to drop its local state. */
  using OnTransferred =
      std::function<void(TimePoint now, const Flow& flow, Outbox& out)>;
  /** Called when a flow stays here but the recipient may own it as well. */
  using OnUncertain = std::function<void(TimePoint now, const Flow& flow)>;

  Handover(ControlPlane& control, FlowRegistry& flows, Export export_flow,
           OnTransferred on_transferred, OnUncertain on_uncertain);

  /**
   * Queues a flow for handover to an agent. Returns false if that is not
   * possible now: the flow is not owned, is being handed over or has a running
   * request.
   */
  bool Start(TimePoint now, const Flow& flow, MemberId to);
  /** Sends the flows that Start has queued. */
  void Flush(TimePoint now, Outbox& out);
  void OnAck(TimePoint now, const schema::HandoverAck& ack, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);

  /**
   * Returns whether an earlier copy of a received batch was imported (true) or
   * refused (false), so that all copies get the same acknowledgement: the
   * sender keeps the flows of a batch that any acknowledgement refuses.
   */
  std::optional<bool> FindDecision(const schema::Handover& handover) const;
  void RecordDecision(TimePoint now, const schema::Handover& handover,
                      bool taken);

  bool HasRoom() const { return in_flight_.size() < kBatchesInFlight; }
  size_t flows_in_transit() const { return flows_in_transit_; }
  int64_t handed_over() const { return handed_over_; }

 private:
  struct Batch {
    MemberId to;
    schema::Handover message;
    int sends = 0;
    TimePoint next_send;
  };

  struct Decision {
    bool taken = false;
    TimePoint at;
  };

  void Send(TimePoint now, Batch& batch, Outbox& out);
  /** Keeps the flows of an unacknowledged batch, which may be owned twice. */
  void GiveUp(TimePoint now, const Batch& batch);

  ControlPlane& control_;
  FlowRegistry& flows_;
  Export export_flow_;
  OnTransferred on_transferred_;
  OnUncertain on_uncertain_;
  std::map<MemberId, std::vector<schema::FlowState>> queued_flows_;
  std::map<int64_t, Batch> in_flight_;
  std::map<std::pair<MemberId, int64_t>, Decision> decided_batches_;
  size_t flows_in_transit_ = 0;
  int64_t handed_over_ = 0;
  int64_t next_batch_ = 1;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_HANDOVER_H_
