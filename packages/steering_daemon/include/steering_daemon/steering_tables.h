#ifndef SESAMESADDLE_STEERING_DAEMON_STEERING_TABLES_H_
#define SESAMESADDLE_STEERING_DAEMON_STEERING_TABLES_H_

#include <map>
#include <string>
#include <tl/expected.hpp>

#include "admin_types.h"
#include "command/command.h"
#include "placement/target_directory.h"
#include "placement/zone_evacuations.h"
#include "steering/flow_agent.h"
#include "steering/flow_balancer.h"
#include "steering_daemon/replica_exchange.h"

namespace sesamesaddle {

/** Sources of a balancer's tables. */
struct BalancerTableSources {
  TimePoint now;
  const FlowBalancer& balancer;
  const TargetDirectory& directory;
  const ZoneEvacuations& zones;
  const std::map<std::string, ReplicaExchange::Peer>& peers;
  /** Store revision of the last write of the configuration. */
  int64_t configuration_revision;
};

/** Sources of an agent's tables. */
struct AgentTableSources {
  TimePoint now;
  const FlowAgent& agent;
  const schema::TargetRecord& target;
};

/** Returns a table of a balancer, or an error if there is none. */
tl::expected<schema::Table, std::string> MakeTable(
    Subject subject, const BalancerTableSources& sources);

/** Returns a table of an agent, or an error that names who has it. */
tl::expected<schema::Table, std::string> MakeTable(
    Subject subject, const AgentTableSources& sources);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STEERING_TABLES_H_
