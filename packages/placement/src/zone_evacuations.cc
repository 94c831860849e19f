#include "placement/zone_evacuations.h"

#include <algorithm>

namespace sesamesaddle {

double ZoneEvacuations::RestoredShare(Duration since) {
  const auto steps = static_cast<double>(1 + since / kRestoreStep);
  return std::min(1.0, steps * kFirstRestoredShare);
}

ZoneUpdate ZoneEvacuations::Apply(TimePoint now, const std::string& zone,
                                  bool evacuated, StoreRevision revision) {
  const auto [it, added] = zones_.try_emplace(zone);
  ZoneEvacuation& known = it->second;
  if (added) known = {false, listed_at_, TimePoint(), now};
  if (revision <= known.revision) return ZoneUpdate::kNone;
  known.revision = revision;
  known.known_since = now;
  if (known.evacuated == evacuated) return ZoneUpdate::kRenewed;
  known.evacuated = evacuated;
  known.since = now;
  return ZoneUpdate::kChanged;
}

ZoneUpdate ZoneEvacuations::Apply(TimePoint now,
                                  const schema::ZoneState& state) {
  return Apply(now, state.zone, state.evacuated,
               {StoreEra(state.era), state.revision});
}

std::vector<std::string> ZoneEvacuations::ApplyList(
    TimePoint now, const std::set<std::string>& evacuated,
    StoreRevision revision) {
  std::vector<std::string> restored;
  for (const auto& [zone, known] : zones_) {
    if (known.evacuated && evacuated.count(zone) == 0 &&
        Apply(now, zone, false, revision) == ZoneUpdate::kChanged) {
      restored.push_back(zone);
    }
  }
  listed_at_ = std::max(listed_at_, revision);
  return restored;
}

bool ZoneEvacuations::Evacuated(const std::string& zone) const {
  const ZoneEvacuation* known = Find(zone);
  return known != nullptr && known->evacuated;
}

int ZoneEvacuations::EvacuatedCount() const {
  return static_cast<int>(
      std::count_if(zones_.begin(), zones_.end(),
                    [](const auto& entry) { return entry.second.evacuated; }));
}

const ZoneEvacuation* ZoneEvacuations::Find(const std::string& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? nullptr : &it->second;
}

std::optional<schema::ZoneState> ZoneEvacuations::Message(
    const std::string& zone) const {
  const ZoneEvacuation* known = Find(zone);
  if (known == nullptr) return std::nullopt;
  schema::ZoneState state;
  state.zone = zone;
  state.evacuated = known->evacuated;
  state.revision = known->revision.number;
  state.era = known->revision.era.value();
  return state;
}

}  // namespace sesamesaddle
