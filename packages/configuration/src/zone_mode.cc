#include "configuration/zone_mode.h"

namespace sesamesaddle {

std::string ZoneInstanceName(const std::string& zone) {
  return std::string(kZoneInstancePrefix) + zone;
}

void AddInstanceForm(schema::Change& change) {
  if (!change.__isset.set_zone_mode) return;
  schema::SetInstanceMode form;
  form.name = ZoneInstanceName(change.set_zone_mode.zone);
  form.mode = change.set_zone_mode.evacuated ? schema::InstanceMode::kDraining
                                             : schema::InstanceMode::kServing;
  change.__set_set_instance_mode(form);
}

void UpdateEvacuatedZone(schema::Configuration& configuration,
                         const std::string& instance, int64_t revision) {
  if (instance.rfind(kZoneInstancePrefix, 0) != 0) return;
  const std::string zone = instance.substr(kZoneInstancePrefix.size());
  if (configuration.instances.count(instance) == 0) {
    configuration.evacuated_zones.erase(zone);
  } else {
    // A zone that is evacuated already keeps its revision.
    configuration.evacuated_zones.emplace(zone, revision);
  }
}

void RestoreEvacuatedZones(schema::Configuration& snapshot) {
  for (const auto& [instance, mode] : snapshot.instances) {
    constexpr int64_t kUnknownRevision = 0;
    UpdateEvacuatedZone(snapshot, instance, kUnknownRevision);
  }
}

bool IsEvacuated(const schema::Configuration& configuration,
                 const std::string& zone) {
  return configuration.evacuated_zones.count(zone) != 0;
}

}  // namespace sesamesaddle
