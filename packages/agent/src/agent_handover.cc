// The part of Agent that hands flows over to other agents and imports them.

#include <algorithm>
#include <optional>
#include <utility>

#include "agent/agent.h"
#include "schema/flow_key.h"

namespace sesamesaddle {

schema::FlowState Agent::ExportFlow(const Flow& flow) const {
  schema::FlowState state;
  state.flow = ToKey(flow);
  const auto owned = flows_.owned().find(flow);
  state.service_id = owned->second.service.value();
  state.epoch = owned->second.epoch.value();
  state.balancer = owned->second.balancer.Pack();
  state.next_message_id = owned->second.next_message_id;
  for (const auto& [nonce, request] : nonces_.FindByFlow(flow)) {
    schema::RememberedRequest remembered;
    remembered.nonce = nonce.value();
    remembered.request_digest = static_cast<int64_t>(request.digest);
    remembered.message_id = 0;
    remembered.answer = request.answer;
    remembered.remaining_ms = 0;
    state.requests.push_back(std::move(remembered));
  }
  state.feeds = feeds_.Export(flow);
  for (const EchoGrant& grant : echo_.Grants(flow)) {
    schema::EchoGrant exported;
    exported.issuer = grant.issuer.value();
    exported.key = grant.key;
    if (grant.expired_until != TimePoint{}) {
      exported.__set_expired_until_us(
          grant.expired_until.time_since_epoch().count());
    }
    state.grants.push_back(std::move(exported));
  }
  return state;
}

void Agent::DropFlow(TimePoint now, const Flow& flow, Outbox& out) {
  feeds_.RemoveFlow(flow, out);
  // The new owner runs requests under the granted values. This agent may still
  // be asked as their issuer, so it must not run them as well.
  echo_.Revoke(now, flow);
}

void Agent::OnHandover(TimePoint now, const Endpoint& from,
                       const schema::Handover& handover, Outbox& out) {
  liveness_.OnReceived(now, MemberId(handover.sender));
  schema::HandoverAck ack;
  ack.batch = handover.batch;
  ack.sender = control_.self_id().value();
  const std::optional<bool> decided = handover_.FindDecision(handover);
  ack.taken = decided.value_or(AcceptsHandover(now, handover));
  if (!decided) {
    handover_.RecordDecision(now, handover, ack.taken);
    if (ack.taken) {
      for (const schema::FlowState& state : handover.flows) {
        ImportFlow(now, state, out);
      }
    }
  }
  out.Send(from, ack);
}

bool Agent::AcceptsHandover(TimePoint now,
                            const schema::Handover& handover) const {
  const auto serves = [this](const schema::FlowState& state) {
    return control_.services().Serves(control_.self_id(),
                                      ServiceId(state.service_id));
  };
  return runner_.Accepting(now) && !stopping_ &&
         std::all_of(handover.flows.begin(), handover.flows.end(), serves);
}

void Agent::ImportFlow(TimePoint now, const schema::FlowState& state,
                       Outbox& out) {
  const Flow flow = FromKey(state.flow);
  for (const schema::EchoGrant& grant : state.grants) {
    const TimePoint expired_until{
        Duration(grant.__isset.expired_until_us ? grant.expired_until_us : 0)};
    echo_.AddGrant(now, flow,
                   {MemberId(grant.issuer), grant.key, expired_until});
  }
  for (const schema::RememberedRequest& remembered : state.requests) {
    RememberedRequest request;
    request.flow = flow;
    request.digest = static_cast<uint64_t>(remembered.request_digest);
    request.answered = true;
    request.answer = remembered.answer;
    nonces_.Import(now, EchoNonce(remembered.nonce), std::move(request));
  }
  const ServiceId service(state.service_id);
  OwnedFlow& owned = flows_.Adopt(now, flow, service, Epoch(state.epoch), out);
  owned.balancer = Endpoint::Unpack(state.balancer);
  owned.next_message_id = static_cast<uint16_t>(state.next_message_id);
  for (const schema::FeedState& feed : state.feeds) {
    feeds_.Import(now, flow, service, feed, out);
  }
  owned.feeds = static_cast<int>(feeds_.FeedCount(flow));
}

bool Agent::MustHandOver(TimePoint now, const Flow& flow,
                         const OwnedFlow& owned) const {
  if (stopping_ || control_.services().Leaving(control_.self_id())) return true;
  const ServiceEntry* entry = control_.services().FindByAddress(flow.service);
  const bool served =
      entry != nullptr && ServiceId(entry->service.id) == owned.service &&
      control_.services().Serves(control_.self_id(), owned.service);
  // Feeds poll the local target; single requests can be offloaded.
  return !served || (owned.feeds > 0 && runner_.TargetEjected(now));
}

std::vector<MemberId> Agent::HandoverCandidates(TimePoint now,
                                                ServiceId service) const {
  std::vector<MemberId> candidates;
  const ServiceEntry* entry = control_.services().Find(service);
  if (entry == nullptr) return candidates;
  for (const MemberId id : entry->home_candidates) {
    if (id != control_.self_id() && !liveness_.Silent(now, id) &&
        !control_.services().Leaving(id)) {
      candidates.push_back(id);
    }
  }
  return candidates;
}

void Agent::HandOverFlows(TimePoint now, Outbox& out) {
  const bool leaving_now = stopping_ ||
                           control_.services().Leaving(control_.self_id()) ||
                           runner_.TargetEjected(now);
  if (!options_.hand_over || !(leaving_now || scan_flows_)) return;
  if (!handover_.HasRoom()) return;
  constexpr size_t kFlowsPerTick =
      Handover::kFlowsPerBatch * Handover::kBatchesInFlight;
  std::vector<std::pair<Flow, ServiceId>> leaving;
  scan_flows_ = false;
  for (const auto& [flow, owned] : flows_.owned()) {
    if (leaving.size() >= kFlowsPerTick) break;
    if (!MustHandOver(now, flow, owned)) continue;
    scan_flows_ = true;  // Until no such flow is left.
    if (owned.running == 0 && !owned.handing_over &&
        now >= owned.block_transfer_until) {
      leaving.emplace_back(flow, owned.service);
    }
  }
  for (const auto& [flow, service] : leaving) {
    const MemberId to =
        loads_.ChooseForFlow(now, HandoverCandidates(now, service));
    if (to == MemberId()) continue;
    if (handover_.Start(now, flow, to)) loads_.OnFlowPlaced(to);
  }
  handover_.Flush(now, out);
}

void Agent::HandOverSuperseded(TimePoint now, Outbox& out) {
  for (auto& entry : flows_.TakeSuperseded()) {
    superseded_.push_back(std::move(entry));
  }
  std::vector<std::pair<Flow, Ownership>> later;
  for (const auto& [flow, winner] : superseded_) {
    const OwnedFlow* owned = flows_.Find(flow);
    if (owned == nullptr || owned->handing_over) continue;
    if (!handover_.Start(now, flow, winner.owner)) {
      later.emplace_back(flow, winner);
    }
  }
  superseded_ = std::move(later);
  handover_.Flush(now, out);
}

}  // namespace sesamesaddle
