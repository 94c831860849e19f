#include "steering_daemon/steering_tables.h"

#include <algorithm>
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
    case Subject::kServices:
    case Subject::kChanges:
      break;
  }
  return tl::unexpected(
      std::string("an agent keeps no configuration; ask a balancer"));
}

}  // namespace sesamesaddle
