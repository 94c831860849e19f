// The part of FlowBalancer that admits, refuses and orders new flows.

#include <algorithm>
#include <utility>
#include <vector>

#include "admission/syn_patience.h"
#include "steering/flow_balancer.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";
// Time during which a SYN that was sent to targets is placed again.
constexpr Duration kMaxPlacementTime = std::chrono::milliseconds(400);

}  // namespace

bool FlowBalancer::DropIfOver(TimePoint now, const Flow& flow,
                              const Route& route, const PendingSyn& pending) {
  if (admission_.order != QueueOrder::kDeadline || flows_.count(flow) != 0) {
    return false;
  }
  const Duration waited = now - pending.sent;
  if (!AdmissionControl::AttemptIsOver(route, waited)) return false;
  ++counters_.attempts_over;
  LogLine(log_, EventKind::kFlowRefused, kLogComponent, "flow-dropped")
      .Add("flow", flow)
      .Add("route", route.name)
      .Add("reason", "attempt-over")
      .Add("waited", waited)
      .Add("copies", pending.copies.highest());
  pending_syns_.erase(flow);
  return true;
}

bool FlowBalancer::GiveUp(TimePoint now, const Flow& flow, Refusal refusal) {
  const auto it = pending_syns_.find(flow);
  PendingSyn& pending = it->second;
  const Duration waited = now - pending.sent;
  const auto evidence = AllCopiesSeen::Check(now, pending.copies);
  if (!evidence && pending.copies.has_first() &&
      !SynPatience::ProbablyAbandoned(waited, pending.copies.highest())) {
    // The next copy shows whether the client still sends its packets here.
    pending.retry_at = now + kPlacementRetryPeriod;
    return false;
  }
  pending_syns_.erase(it);
  // A copy that is overdue may have opened the flow through another balancer.
  if (!evidence) return false;
  Refuse(flow, refusal, *evidence);
  return true;
}

void FlowBalancer::Refuse(const Flow& flow, Refusal refusal,
                          const AllCopiesSeen& evidence) {
  switch (refusal) {
    case Refusal::kNoRoute:
      ++counters_.resets_no_route;
      break;
    case Refusal::kNoTarget:
      ++counters_.resets_no_target;
      break;
    case Refusal::kOverload:
      ++counters_.resets_overload;
      break;
    case Refusal::kZonesEvacuated:
      ++counters_.resets_zones_evacuated;
      break;
  }
  resetter_.Refuse(flow, refusal, evidence, routes_.version);
}

bool FlowBalancer::Admit(TimePoint now, const Flow& flow, const Route& route,
                         const AgentView& chosen, PendingSyn& pending) {
  const double work = WorkPerSlot(now, chosen);
  const Duration waited = now - pending.arrived;
  switch (AdmissionControl::Decide(route, admission_.room_wait, work, waited)) {
    case AdmissionDecision::kPlace:
      pending.waiting_for_room = false;
      return true;
    case AdmissionDecision::kWait:
      if (!pending.waiting_for_room) ++counters_.waited_for_room;
      pending.waiting_for_room = true;
      pending.retry_at = now + kPlacementRetryPeriod;
      return true;
    case AdmissionDecision::kRefuse:
      break;
  }
  if (GiveUp(now, flow, Refusal::kOverload)) {
    LogLine(log_, EventKind::kFlowRefused, kLogComponent, "flow-refused")
        .Add("flow", flow)
        .Add("route", route.name)
        .Add("work_per_slot", work)
        .Add("waited", waited)
        .Add("report_age", now - chosen.last_report);
  }
  return false;
}

/** Returns the flows to place again, most urgent first. */
std::vector<Flow> FlowBalancer::DuePlacements(TimePoint now) const {
  std::vector<std::pair<Urgency, Flow>> due;
  for (const auto& [flow, pending] : pending_syns_) {
    if (now < pending.retry_at) continue;
    Urgency urgency;
    urgency.sent = pending.sent;
    urgency.abandoned = SynPatience::ProbablyAbandoned(
        now - pending.sent, pending.copies.highest());
    if (const Route* route = routes_.Find(flow.service)) {
      urgency.priority = route->priority;
      urgency.late = now - pending.sent > route->target_latency;
    }
    due.emplace_back(urgency, flow);
  }
  std::sort(
      due.begin(), due.end(),
      [before = UrgencyOrder(admission_.order)](const auto& a, const auto& b) {
        return before(a.first, b.first);
      });
  std::vector<Flow> flows;
  for (const auto& [urgency, flow] : due) flows.push_back(flow);
  return flows;
}

void FlowBalancer::RetryPlacements(TimePoint now) {
  for (const Flow& flow : DuePlacements(now)) {
    const auto it = pending_syns_.find(flow);
    const Route* route = routes_.Find(flow.service);
    const bool sent = flows_.count(flow) != 0;
    // After that only the client's own retransmissions cause new attempts.
    const bool over = sent && now - it->second.arrived > kMaxPlacementTime;
    if (route == nullptr || over) {
      pending_syns_.erase(it);
      continue;
    }
    // An agent that refused may have room by now.
    it->second.refused.clear();
    Place(now, flow, *route, it->second);
  }
}

}  // namespace sesamesaddle
