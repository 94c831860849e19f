#include "agent/handover.h"

#include "schema/codec.h"
#include "schema/flow_key.h"

namespace sesamesaddle {

Handover::Handover(ControlPlane& control, FlowRegistry& flows,
                   Export export_flow, OnTransferred on_transferred,
                   OnUncertain on_uncertain)
    : control_(control),
      flows_(flows),
      export_flow_(std::move(export_flow)),
      on_transferred_(std::move(on_transferred)),
      on_uncertain_(std::move(on_uncertain)) {}

bool Handover::Start(TimePoint /*now*/, const Flow& flow, MemberId to) {
  OwnedFlow* owned = flows_.Find(flow);
  if (owned == nullptr || owned->handing_over || owned->running > 0) {
    return false;
  }
  owned->handing_over = true;
  // Every attempt has its own epoch, so that the directory selects the later
  // one if two agents have taken the flow.
  owned->epoch = Epoch(owned->epoch.value() + 1);
  schema::FlowState state = export_flow_(flow);
  state.epoch = owned->epoch.value();
  queued_flows_[to].push_back(std::move(state));
  ++flows_in_transit_;
  return true;
}

void Handover::Flush(TimePoint now, Outbox& out) {
  for (auto& [to, states] : queued_flows_) {
    size_t next = 0;
    while (next < states.size()) {
      Batch batch;
      batch.to = to;
      batch.message.batch = next_batch_++;
      batch.message.sender = control_.self_id().value();
      size_t bytes = 0;
      while (next < states.size() &&
             batch.message.flows.size() < kFlowsPerBatch) {
        const size_t size = EncodeCompact(states[next]).size();
        if (bytes > 0 && bytes + size > kMaxBatchBytes) break;
        bytes += size;
        batch.message.flows.push_back(std::move(states[next]));
        ++next;
      }
      Send(now, batch, out);
      in_flight_.emplace(batch.message.batch, std::move(batch));
    }
  }
  queued_flows_.clear();
}

void Handover::OnAck(TimePoint now, const schema::HandoverAck& ack,
                     Outbox& out) {
  const auto it = in_flight_.find(ack.batch);
  if (it == in_flight_.end()) return;
  Batch batch = std::move(it->second);
  in_flight_.erase(it);
  flows_in_transit_ -= batch.message.flows.size();
  for (const schema::FlowState& state : batch.message.flows) {
    const Flow flow = FromKey(state.flow);
    if (!ack.taken) {
      flows_.CancelHandover(flow);
      continue;
    }
    ++handed_over_;
    on_transferred_(now, flow, out);
    flows_.FinishHandover(now, flow, batch.to, out);
  }
}

void Handover::OnTick(TimePoint now, Outbox& out) {
  for (auto it = in_flight_.begin(); it != in_flight_.end();) {
    Batch& batch = it->second;
    const Member* member = control_.membership().Find(batch.to);
    const bool recipient_gone = member == nullptr || !member->present();
    if (recipient_gone ||
        (now >= batch.next_send && batch.sends >= kMaxSends)) {
      GiveUp(now, batch);
      it = in_flight_.erase(it);
      continue;
    }
    if (now >= batch.next_send) Send(now, batch, out);
    ++it;
  }
  for (auto it = decided_batches_.begin(); it != decided_batches_.end();) {
    it = now - it->second.at > kDecisionRetention ? decided_batches_.erase(it)
                                                  : std::next(it);
  }
}

void Handover::GiveUp(TimePoint now, const Batch& batch) {
  flows_in_transit_ -= batch.message.flows.size();
  for (const schema::FlowState& state : batch.message.flows) {
    const Flow flow = FromKey(state.flow);
    on_uncertain_(now, flow);
    flows_.CancelHandover(flow);
  }
}

void Handover::Send(TimePoint now, Batch& batch, Outbox& out) {
  ++batch.sends;
  batch.next_send = now + kRetryInterval;
  const Member* member = control_.membership().Find(batch.to);
  if (member != nullptr) out.Send(member->endpoint(), batch.message);
}

std::optional<bool> Handover::FindDecision(
    const schema::Handover& handover) const {
  const auto it =
      decided_batches_.find({MemberId(handover.sender), handover.batch});
  if (it == decided_batches_.end()) return std::nullopt;
  return it->second.taken;
}

void Handover::RecordDecision(TimePoint now, const schema::Handover& handover,
                              bool taken) {
  decided_batches_[{MemberId(handover.sender), handover.batch}] = {taken, now};
}

}  // namespace sesamesaddle
