#ifndef SESAMESADDLE_CONFIGURATION_ZONE_MODE_H_
#define SESAMESADDLE_CONFIGURATION_ZONE_MODE_H_

#include <string>
#include <string_view>

#include "configuration_types.h"

namespace sesamesaddle {

/**
 * Prefix of the reserved instance names that stand for evacuated zones.
 *
 * A process of a version without SetZoneMode skips that field and refuses the
 * rest as an empty change. It would then never pass that revision. Each
 * SetZoneMode is therefore written together with a SetInstanceMode of a
 * reserved name, which such a process applies like the drain of an instance
 * that does not exist. It passes only that form on, in records and snapshots,
 * so the form alone has the same effect here.
 */
constexpr std::string_view kZoneInstancePrefix = "evacuated-zone.";

/** Returns the reserved instance name of a zone. */
std::string ZoneInstanceName(const std::string& zone);

/** Adds to a SetZoneMode the change that earlier versions apply. */
void AddInstanceForm(schema::Change& change);

/** Updates the evacuated zones after a change of an instance's mode. */
void UpdateEvacuatedZone(schema::Configuration& configuration,
                         const std::string& instance, int64_t revision);

/** Restores the evacuated zones of a snapshot of an earlier version. */
void RestoreEvacuatedZones(schema::Configuration& snapshot);

/** Returns whether operators have evacuated the zone. */
bool IsEvacuated(const schema::Configuration& configuration,
                 const std::string& zone);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CONFIGURATION_ZONE_MODE_H_
