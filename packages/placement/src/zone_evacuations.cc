#include "placement/zone_evacuations.h"

#include <algorithm>

namespace sesamesaddle {

bool ZoneEvacuations::Apply(TimePoint now, const std::string& zone,
                            bool evacuated, StoreRevision revision) {
  const auto it = zones_.find(zone);
  if (it == zones_.end()) {
    if (!evacuated || revision <= listed_at_) return false;
    zones_[zone] = {true, revision, now};
    return true;
  }
  ZoneEvacuation& known = it->second;
  if (revision <= known.revision) return false;
  known.revision = revision;
  if (known.evacuated == evacuated) return false;
  known.evacuated = evacuated;
  known.since = now;
  return true;
}

bool ZoneEvacuations::Apply(TimePoint now, const schema::ZoneState& state) {
  return Apply(now, state.zone, state.evacuated,
               {StoreEra(state.era), state.revision});
}

std::vector<std::string> ZoneEvacuations::ApplyList(
    TimePoint now, const std::set<std::string>& evacuated,
    StoreRevision revision) {
  std::vector<std::string> changed;
  for (auto& [zone, known] : zones_) {
    if (known.evacuated && evacuated.count(zone) == 0 &&
        Apply(now, zone, false, revision)) {
      changed.push_back(zone);
    }
  }
  listed_at_ = std::max(listed_at_, revision);
  return changed;
}

bool ZoneEvacuations::Evacuated(const std::string& zone) const {
  const ZoneEvacuation* known = Find(zone);
  return known != nullptr && known->evacuated;
}

const ZoneEvacuation* ZoneEvacuations::Find(const std::string& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? nullptr : &it->second;
}

std::optional<schema::ZoneState> ZoneEvacuations::Message(
    const std::string& zone) const {
  const ZoneEvacuation* known = Find(zone);
  if (known == nullptr && listed_at_ == StoreRevision()) return std::nullopt;
  const StoreRevision revision =
      known == nullptr ? listed_at_ : known->revision;
  schema::ZoneState state;
  state.zone = zone;
  state.evacuated = known != nullptr && known->evacuated;
  state.revision = revision.number;
  state.era = revision.era.value();
  return state;
}

}  // namespace sesamesaddle
