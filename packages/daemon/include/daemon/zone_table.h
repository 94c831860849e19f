#ifndef SESAMESADDLE_DAEMON_ZONE_TABLE_H_
#define SESAMESADDLE_DAEMON_ZONE_TABLE_H_

#include <string>
#include <vector>

#include "admin_types.h"
#include "node/control_plane.h"

namespace sesamesaddle {

/**
 * Returns a row for each zone that has instances or is evacuated. Its flows are
 * those of the targets in `loads`, whose number is in the column `reported`: an
 * agent has reports of the targets of its services only, a balancer of none.
 */
schema::Table MakeZonesTable(const ControlPlane& control,
                             const std::vector<schema::TargetLoad>& loads);

/**
 * Returns what an operator may not expect of an accepted change of a zone, to
 * follow the reply, or "". The members that this process knows may be
 * incomplete, so it is no reason to refuse the change.
 */
std::string DescribeZoneEffect(const ControlPlane& control,
                               const schema::SetZoneMode& change);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_ZONE_TABLE_H_
