#include "steering_daemon/steering_tables.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace sesamesaddle {
namespace {

std::string Number(int64_t value) { return std::to_string(value); }

std::string Milliseconds(Duration duration) {
  return Number(duration / std::chrono::milliseconds(1));
}

const char* YesNo(bool value) { return value ? "yes" : "no"; }

const char* NameOf(schema::TargetState::type state) {
  switch (state) {
    case schema::TargetState::kUnknown:
      return "unknown";
    case schema::TargetState::kReady:
      return "ready";
    case schema::TargetState::kDraining:
      return "draining";
    case schema::TargetState::kGone:
      return "gone";
  }
  return "unknown";
}

class TableBuilder {
 public:
  explicit TableBuilder(std::vector<std::string> columns) {
    table_.columns = std::move(columns);
  }

  void Add(std::vector<std::string> cells) {
    schema::Row row;
    row.cells = std::move(cells);
    table_.rows.push_back(std::move(row));
  }

  /** Returns the table with sorted rows. */
  schema::Table Build() {
    std::sort(table_.rows.begin(), table_.rows.end(),
              [](const schema::Row& a, const schema::Row& b) {
                return a.cells < b.cells;
              });
    return std::move(table_);
  }

 private:
  schema::Table table_;
};

schema::Table RoutesTable(const BalancerTableSources& sources) {
  TableBuilder table({"name", "address", "services", "priority", "latency_ms",
                      "timeout_ms", "repeatable", "targets"});
  for (const auto& [address, route] : sources.balancer.routes().routes) {
    std::string services;
    size_t targets = 0;
    for (const WeightedService& share : route.services) {
      services += (services.empty() ? "" : ",") + share.service + ":" +
                  Number(share.weight);
      for (const AgentView* view : sources.directory.All()) {
        if (view->record.service_name == share.service) ++targets;
      }
    }
    table.Add({route.name, address.ToString(), services, Number(route.priority),
               Milliseconds(route.target_latency), Milliseconds(route.timeout),
               YesNo(route.kind == RequestKind::kRepeatable),
               Number(static_cast<int64_t>(targets))});
  }
  return table.Build();
}

schema::Table TargetsTable(const BalancerTableSources& sources) {
  TableBuilder table({"name", "zone", "service", "agent", "state", "slots",
                      "waiting", "opening", "queued", "flows", "response_ms",
                      "report_age_ms", "listed", "usable", "failing"});
  for (const AgentView* view : sources.directory.All()) {
    table.Add(
        {view->record.id, view->record.zone, view->record.service_name,
         view->agent.ToString(), NameOf(view->record.state),
         Number(view->record.slots), Number(view->in_flight),
         Number(view->opening), Number(view->queued), Number(view->flows),
         Milliseconds(view->response_time),
         view->reported ? Milliseconds(sources.now - view->last_report) : "-",
         YesNo(view->listed),
         YesNo(sources.directory.Usable(sources.now, *view)),
         YesNo(view->failing)});
  }
  return table.Build();
}

schema::Table PeersTable(const BalancerTableSources& sources) {
  TableBuilder table({"name", "control", "replica"});
  for (const auto& [key, peer] : sources.peers) {
    table.Add({key, peer.control.ToString(), peer.replica.ToString()});
  }
  return table.Build();
}

schema::Table FlowsTable(const BalancerTableSources& sources) {
  TableBuilder table({"caller", "service", "agent", "accepted", "idle_ms"});
  for (const BalancerFlow& flow : sources.balancer.Flows(sources.now)) {
    table.Add({flow.flow.caller.ToString(), flow.flow.service.ToString(),
               flow.agent.ToString(), YesNo(flow.accepted),
               Milliseconds(flow.idle)});
  }
  return table.Build();
}

schema::Table VersionTable(const BalancerTableSources& sources) {
  TableBuilder table({"revision", "version", "routes"});
  const RouteTable& routes = sources.balancer.routes();
  table.Add({Number(sources.configuration_revision), Number(routes.version),
             Number(static_cast<int64_t>(routes.routes.size()))});
  return table.Build();
}

const std::vector<std::string> kZoneColumns = {
    "name", "evacuated", "since_ms", "targets", "flows", "in_progress"};

/** Totals of the targets in one zone. */
struct ZoneTotals {
  int64_t targets = 0;
  int64_t flows = 0;
  int64_t in_progress = 0;
};

/** @param state  of the zone; null if it was never evacuated */
std::vector<std::string> ZoneRow(TimePoint now, const std::string& name,
                                 const ZoneEvacuation* state,
                                 const ZoneTotals& totals) {
  const bool since_known = state != nullptr && state->since != TimePoint();
  return {name,
          YesNo(state != nullptr && state->evacuated),
          since_known ? Milliseconds(now - state->since) : "-",
          Number(totals.targets),
          Number(totals.flows),
          Number(totals.in_progress)};
}

schema::Table ZonesTable(const BalancerTableSources& sources) {
  std::map<std::string, ZoneTotals> zones;
  for (const auto& [name, state] : sources.zones.zones()) zones[name];
  for (const AgentView* view : sources.directory.All()) {
    ZoneTotals& totals = zones[view->record.zone];
    ++totals.targets;
    totals.flows += view->flows;
    totals.in_progress += view->in_flight;
  }
  TableBuilder table(kZoneColumns);
  for (const auto& [name, totals] : zones) {
    table.Add(ZoneRow(sources.now, name, sources.zones.Find(name), totals));
  }
  return table.Build();
}

/** Totals of the targets of one service in one zone. */
struct LoadTotals {
  int64_t targets = 0;
  int64_t usable = 0;
  int64_t slots = 0;
  int64_t free = 0;
  int64_t in_progress = 0;
  int64_t queued = 0;
  int64_t cold = 0;
};

/** Returns the slots that are left for new flows. */
int FreeSlots(const AgentView& view) {
  const int work =
      view.in_flight + view.opening + view.queued + view.placed_since_report;
  return std::max(0, view.record.slots - work);
}

schema::Table LoadTable(const BalancerTableSources& sources) {
  std::map<std::pair<std::string, std::string>, LoadTotals> loads;
  for (const AgentView* view : sources.directory.All()) {
    LoadTotals& totals = loads[{view->record.service_name, view->record.zone}];
    const bool usable = sources.directory.Usable(sources.now, *view);
    ++totals.targets;
    totals.usable += usable ? 1 : 0;
    totals.slots += view->record.slots;
    totals.free += usable ? FreeSlots(*view) : 0;
    totals.in_progress += view->in_flight;
    totals.queued += view->queued;
    totals.cold += InSlowStart(sources.now, *view) ? 1 : 0;
  }
  TableBuilder table({"service", "zone", "targets", "usable", "slots", "free",
                      "in_progress", "queued", "cold"});
  for (const auto& [service_zone, totals] : loads) {
    table.Add({service_zone.first, service_zone.second, Number(totals.targets),
               Number(totals.usable), Number(totals.slots), Number(totals.free),
               Number(totals.in_progress), Number(totals.queued),
               Number(totals.cold)});
  }
  return table.Build();
}

schema::Table OwnTargetTable(const AgentTableSources& sources) {
  TableBuilder table({"name", "zone", "service", "state", "slots", "waiting",
                      "queued", "flows", "response_ms", "failing"});
  const FlowAgent& agent = sources.agent;
  if (agent.target_monitor().known()) {
    table.Add({sources.target.id, sources.target.zone,
               sources.target.service_name, NameOf(sources.target.state),
               Number(sources.target.slots), Number(agent.in_flight()),
               Number(static_cast<int64_t>(agent.queued())),
               Number(static_cast<int64_t>(agent.flow_count())),
               Milliseconds(agent.response_time()), YesNo(agent.failing())});
  }
  return table.Build();
}

schema::Table OwnZoneTable(const AgentTableSources& sources) {
  const FlowAgent& agent = sources.agent;
  ZoneTotals totals;
  totals.targets = agent.target_monitor().known() ? 1 : 0;
  totals.flows = static_cast<int64_t>(agent.flow_count());
  totals.in_progress = agent.in_flight();
  TableBuilder table(kZoneColumns);
  table.Add(
      ZoneRow(sources.now, sources.target.zone, agent.zone_state(), totals));
  return table.Build();
}

schema::Table FlowsTable(const AgentTableSources& sources) {
  TableBuilder table(
      {"caller", "service", "balancer", "state", "waiting", "idle_ms"});
  for (const AgentFlow& flow : sources.agent.Flows(sources.now)) {
    table.Add({flow.flow.caller.ToString(), flow.flow.service.ToString(),
               flow.balancer.ToString(), std::string(flow.state),
               YesNo(flow.request_in_flight), Milliseconds(flow.idle)});
  }
  return table.Build();
}

schema::Table PeersTable(const AgentTableSources& sources) {
  TableBuilder table({"name", "last_packet_ms", "report_period_ms"});
  for (const AgentPeer& peer : sources.agent.Peers(sources.now)) {
    table.Add({peer.balancer.ToString(), Milliseconds(peer.last_packet),
               Milliseconds(peer.report_period)});
  }
  return table.Build();
}

}  // namespace

tl::expected<schema::Table, std::string> MakeTable(
    Subject subject, const BalancerTableSources& sources) {
  switch (subject) {
    case Subject::kServices:
      return RoutesTable(sources);
    case Subject::kTargets:
      return TargetsTable(sources);
    case Subject::kBalancers:
      return PeersTable(sources);
    case Subject::kFlows:
      return FlowsTable(sources);
    case Subject::kChanges:
      return VersionTable(sources);
    case Subject::kZones:
      return ZonesTable(sources);
    case Subject::kLoad:
      return LoadTable(sources);
  }
  return tl::unexpected(std::string("there is no such table"));
}

tl::expected<schema::Table, std::string> MakeTable(
    Subject subject, const AgentTableSources& sources) {
  switch (subject) {
    case Subject::kTargets:
      return OwnTargetTable(sources);
    case Subject::kBalancers:
      return PeersTable(sources);
    case Subject::kFlows:
      return FlowsTable(sources);
    case Subject::kZones:
      return OwnZoneTable(sources);
    case Subject::kLoad:
      return tl::unexpected(std::string(
          "an agent knows the load of its own target only (show targets); ask "
          "a balancer"));
    case Subject::kServices:
    case Subject::kChanges:
      break;
  }
  return tl::unexpected(
      std::string("an agent keeps no configuration; ask a balancer"));
}

}  // namespace sesamesaddle
