// The part of SteeringWorld that handles availability zones.

#include <vector>

#include "steering_world.h"

namespace sesamesaddle {

std::string SteeringWorld::ZoneOf(size_t i) const {
  const auto it = zones_.find(i);
  return it == zones_.end() ? "zone" : it->second;
}

void SteeringWorld::SetZone(size_t i, const std::string& zone) {
  zones_[i] = zone;
  KillAgent(i);
  StartAgent(i);
  AnnounceStart(i);
}

void SteeringWorld::ListBalancers() {
  for (const size_t i : listed_balancers_) {
    if (balancers_[i] == nullptr) continue;
    std::vector<Endpoint> peers;
    for (const size_t peer : listed_balancers_) {
      if (peer != i) peers.push_back(BalancerAddress(peer));
    }
    balancer(i)->SetBalancers(BalancerAddress(i), peers);
  }
}

void SteeringWorld::Evacuate(const std::string& zone) {
  evacuations_[zone] = {StoreEra(era_), ++revision_};
  SendZone(zone, true);
}

void SteeringWorld::Restore(const std::string& zone) {
  ++revision_;
  evacuations_.erase(zone);
  SendZone(zone, false);
}

void SteeringWorld::SendZone(const std::string& zone, bool evacuated) {
  schema::ZoneState state;
  state.zone = zone;
  state.evacuated = evacuated;
  state.era = era_;
  state.revision = revision_;
  for (size_t i = 0; i < balancers_.size(); ++i) {
    if (stale_balancers.count(i) != 0) continue;
    const auto apply = [this, i, state] {
      if (balancer(i) == nullptr) return;
      balancer(i)->ApplyZone(scheduler.Now(), state, "store");
    };
    if (max_watch_delay == Duration::zero()) {
      apply();
    } else {
      Deliver(Duration(random.Below(max_watch_delay.count())), apply);
    }
  }
}

void SteeringWorld::ReadZones(FlowBalancer& balancer) {
  std::set<std::string> evacuated;
  for (const auto& [zone, revision] : evacuations_) {
    evacuated.insert(zone);
    schema::ZoneState state;
    state.zone = zone;
    state.evacuated = true;
    state.era = revision.era.value();
    state.revision = revision.number;
    balancer.ApplyZone(scheduler.Now(), state, "store");
  }
  balancer.ApplyZoneList(scheduler.Now(), evacuated,
                         {StoreEra(era_), revision_});
}

void SteeringWorld::CopyZones(size_t from, size_t to) {
  for (const auto& [zone, state] : zones(from).zones()) {
    if (!state.evacuated) continue;
    balancer(to)->ApplyZone(scheduler.Now(), *zones(from).Message(zone),
                            "peer");
  }
}

}  // namespace sesamesaddle
