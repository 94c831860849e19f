#include "daemon/zone_table.h"

#include <functional>
#include <map>
#include <utility>

#include "configuration/zone_mode.h"

namespace sesamesaddle {
namespace {

/** Totals of the targets in one zone. */
struct ZoneTotals {
  int targets = 0;
  int reported = 0;
  int64_t flows = 0;
  int64_t in_progress = 0;
};

void ForEachPresent(
    const ControlPlane& control,
    const std::function<void(const schema::MemberRecord&)>& visit) {
  visit(control.membership().self());
  for (const auto& [id, member] : control.membership().members()) {
    if (member.present()) visit(member.record);
  }
}

std::map<std::string, ZoneTotals> SumByZone(
    const ControlPlane& control, const std::vector<schema::TargetLoad>& loads) {
  std::map<std::string, const schema::TargetLoad*> by_name;
  for (const schema::TargetLoad& load : loads) by_name[load.name] = &load;
  std::map<std::string, ZoneTotals> zones;
  ForEachPresent(control, [&](const schema::MemberRecord& record) {
    ZoneTotals& totals = zones[record.zone];
    if (record.role != schema::Role::kAgent) return;
    ++totals.targets;
    const auto load = by_name.find(record.name);
    if (load == by_name.end()) return;
    ++totals.reported;
    totals.flows += load->second->flows;
    totals.in_progress += load->second->in_flight;
  });
  for (const auto& [zone, revision] :
       control.replica().current().evacuated_zones) {
    zones.try_emplace(zone);
  }
  return zones;
}

}  // namespace

schema::Table MakeZonesTable(const ControlPlane& control,
                             const std::vector<schema::TargetLoad>& loads) {
  schema::Table table;
  table.columns = {"name",     "evacuated", "since_revision", "targets",
                   "reported", "flows",     "in_progress"};
  const auto& evacuated = control.replica().current().evacuated_zones;
  for (const auto& [zone, totals] : SumByZone(control, loads)) {
    const auto since = evacuated.find(zone);
    const bool since_known = since != evacuated.end() && since->second != 0;
    const bool flows_known = totals.reported > 0 || totals.targets == 0;
    schema::Row row;
    row.cells = {zone,
                 since == evacuated.end() ? "no" : "yes",
                 since_known ? std::to_string(since->second) : "-",
                 std::to_string(totals.targets),
                 std::to_string(totals.reported),
                 flows_known ? std::to_string(totals.flows) : "-",
                 flows_known ? std::to_string(totals.in_progress) : "-"};
    table.rows.push_back(std::move(row));
  }
  return table;
}

std::string DescribeZoneEffect(const ControlPlane& control,
                               const schema::SetZoneMode& change) {
  bool in_zone = false;
  bool any_serving = false;
  ForEachPresent(control, [&](const schema::MemberRecord& record) {
    if (record.role != schema::Role::kAgent) return;
    in_zone = in_zone || record.zone == change.zone;
    any_serving =
        any_serving || !control.services().Leaving(MemberId(record.id));
  });
  if (!in_zone) return "; no target is in zone " + change.zone + " now";
  // After a restoration the targets announce themselves within seconds.
  if (any_serving || !change.evacuated) return "";
  return "; no target of any zone takes new work now";
}

}  // namespace sesamesaddle
