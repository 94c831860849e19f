// The part of FlowBalancer that handles evacuated zones and the notices to
// agents.

#include <algorithm>

#include "steering/flow_balancer.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";

StoreRevision RevisionOf(const schema::ZoneState& state) {
  return {StoreEra(state.era), state.revision};
}

schema::SlowStartLimit ToMessage(const SlowStart& limit, int64_t version) {
  schema::SlowStartLimit message;
  // An agent refuses a duration of 0.
  message.duration_ms = static_cast<int32_t>(
      std::max<int64_t>(1, limit.duration / std::chrono::milliseconds(1)));
  message.flows_per_second = limit.flows_per_second;
  message.configuration_version = version;
  return message;
}

}  // namespace

void FlowBalancer::ApplyZone(TimePoint now, const schema::ZoneState& state,
                             std::string_view source) {
  const ZoneUpdate update = zones_.Apply(now, state);
  if (update == ZoneUpdate::kNone) return;
  if (update == ZoneUpdate::kChanged) LogZone(state.zone, source);
  // A restoration that is only renewed changes nothing for agents; one that
  // still has an evacuation shows it in its reports.
  if (update == ZoneUpdate::kRenewed && !state.evacuated) return;
  NotifyZone(now, state.zone);
}

void FlowBalancer::ApplyZoneList(TimePoint now,
                                 const std::set<std::string>& evacuated,
                                 StoreRevision revision) {
  for (const std::string& zone : zones_.ApplyList(now, evacuated, revision)) {
    LogZone(zone, "store");
    NotifyZone(now, zone);
  }
}

void FlowBalancer::LogZone(const std::string& zone, std::string_view source) {
  const ZoneEvacuation* state = zones_.Find(zone);
  size_t targets = 0;
  for (const AgentView* view : directory_.All()) {
    if (view->record.zone == zone) ++targets;
  }
  LogLine(log_, EventKind::kStateChange, kLogComponent,
          state->evacuated ? "zone-evacuated" : "zone-restored")
      .Add("zone", zone)
      .Add("era", state->revision.era.value())
      .Add("revision", state->revision.number)
      .Add("source", source)
      .Add("targets", targets);
}

void FlowBalancer::NotifyZone(TimePoint now, const std::string& zone) {
  directory_.OnZoneRestored(zone);
  for (const AgentView* view : directory_.All()) {
    if (view->record.zone == zone) notices_.Begin(now, view->agent);
  }
}

void FlowBalancer::OnAgentListed(TimePoint now, const Endpoint& agent) {
  const AgentView* view = directory_.Find(agent);
  if (view == nullptr) return;
  locator_.trust().OnResolved(agent);
  if (view->listed) missing_entries_.OnResolved(agent);
  if (!directory_.InEvacuatedZone(*view) && !LacksLimit(now, *view)) return;
  notices_.Begin(now, agent);
}

void FlowBalancer::OnZoneReported(TimePoint now, const AgentView& agent,
                                  const schema::AgentReport& report) {
  const std::string& zone = agent.record.zone;
  if (report.__isset.zone && report.zone.zone == zone) {
    ApplyZone(now, report.zone, "agent");
  }
  if (LacksNotice(agent, report)) {
    notices_.OnOutdated(now, agent.agent, zones_.Find(zone)->known_since);
  } else if (LacksLimit(now, agent)) {
    notices_.OnOutdated(now, agent.agent, LimitKnownSince(now, agent));
    // Until the notice arrives, the agent holds new flows, or delivers them
    // without the limit.
    SendNotices(now);
  } else {
    notices_.OnConfirmed(agent.agent);
  }
}

bool FlowBalancer::LacksNotice(const AgentView& agent,
                               const schema::AgentReport& report) const {
  const ZoneEvacuation* known = zones_.Find(agent.record.zone);
  if (known == nullptr) return false;
  if (!report.__isset.zone) return known->evacuated;
  // The agent is in another zone than its entry says: a new entry will follow.
  if (report.zone.zone != agent.record.zone) return false;
  if (!known->evacuated) return report.zone.evacuated;
  return RevisionOf(report.zone) < known->revision;
}

void FlowBalancer::SendNotices(TimePoint now) {
  if (notices_.idle()) return;
  for (const Endpoint& agent : notices_.TakeDue(now)) {
    AgentView* view = directory_.Find(agent);
    if (view == nullptr) {
      notices_.OnConfirmed(agent);
      continue;
    }
    SendNotice(now, *view);
  }
}

schema::AgentNotice FlowBalancer::MakeNotice(const AgentView& agent) const {
  schema::AgentNotice notice;
  if (const auto zone = zones_.Message(agent.record.zone)) {
    notice.__set_zone(*zone);
  }
  notice.configuration_version = routes_.version;
  notice.__set_service_name(agent.record.service_name);
  if (const auto* limit = routes_.FindSlowStart(agent.record.service_name)) {
    notice.__set_slow_start(ToMessage(*limit, routes_.version));
  }
  return notice;
}

bool FlowBalancer::RefuseIfEvacuated(TimePoint now, const Flow& flow,
                                     const Route& route) {
  size_t targets = 0;
  const std::string& picked = PickService(route, flow);
  for (const WeightedService& share : route.services) {
    // Without overflow the flow may not use the other services.
    if (split_ == SplitMode::kStrict && share.service != picked) continue;
    for (const AgentView* view : directory_.OfService(share.service)) {
      if (!directory_.InEvacuatedZone(*view)) return false;
      ++targets;
    }
  }
  if (targets == 0) return false;
  if (GiveUp(now, flow, Refusal::kZonesEvacuated)) {
    LogLine(log_, EventKind::kFlowRefused, kLogComponent, "flow-refused")
        .Add("flow", flow)
        .Add("route", route.name)
        .Add("reason", "zones-evacuated")
        .Add("targets", targets)
        .Add("zones_evacuated", zones_.EvacuatedCount());
  }
  return true;
}

}  // namespace sesamesaddle
