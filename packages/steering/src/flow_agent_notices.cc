// The part of FlowAgent that applies balancers' notices of the operators'
// settings.

#include <utility>

#include "steering/flow_agent.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "agent";

}  // namespace

void FlowAgent::OnNotice(TimePoint now, const Endpoint& balancer,
                         const schema::AgentNotice& notice) {
  if (notice.__isset.zone && !ApplyZone(now, balancer, notice.zone)) return;
  if (!ApplySlowStart(now, balancer, notice)) return;
  // The report shows the balancer that the notice has arrived.
  last_contact_ = now;
  RecordUrgentContact(now, balancer);
}

bool FlowAgent::RefuseIfEvacuated(TimePoint now, const Endpoint& balancer,
                                  const Flow& flow, char* packet, size_t size) {
  if (!zone_evacuated()) return false;
  ++counters_.refused_evacuated;
  RefuseSyn(now, balancer, flow, "zone-evacuated", packet, size);
  return true;
}

bool FlowAgent::ApplyZone(TimePoint now, const Endpoint& balancer,
                          const schema::ZoneState& state) {
  if (state.zone != options_.zone || state.revision <= 0) {
    LogLine(log_, EventKind::kMalformedInput, kLogComponent, "notice-refused")
        .Add("balancer", balancer)
        .Add("zone", state.zone)
        .Add("own_zone", options_.zone)
        .Add("revision", state.revision);
    return false;
  }
  if (zones_.Apply(now, state) != ZoneUpdate::kChanged) return true;
  LogLine(log_, EventKind::kStateChange, kLogComponent,
          state.evacuated ? "zone-evacuated" : "zone-restored")
      .Add("zone", state.zone)
      .Add("era", state.era)
      .Add("revision", state.revision)
      .Add("source", "balancer")
      .Add("balancer", balancer)
      .Add("flows", flows_.size())
      .Add("queued", queue_.size());
  if (!state.evacuated) {
    OnZoneRestored(now);
    return true;
  }
  std::vector<QueuedSyn> queued = queue_.TakeAll();
  counters_.refused_evacuated += static_cast<int64_t>(queued.size());
  ReturnQueued(now, std::move(queued), HopKind::kRefused);
  return true;
}

}  // namespace sesamesaddle
