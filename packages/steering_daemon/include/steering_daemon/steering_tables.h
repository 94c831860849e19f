#ifndef SESAMESADDLE_STEERING_DAEMON_STEERING_TABLES_H_
#define SESAMESADDLE_STEERING_DAEMON_STEERING_TABLES_H_

#include <map>
#include <string>
#include <tl/expected.hpp>

#include "admin_types.h"
#include "command/command.h"
#include "steering/flow_agent.h"
#include "steering/flow_balancer.h"
#include "steering/target_directory.h"
#include "steering_daemon/replica_exchange.h"

namespace sesamesaddle {

/** What a balancer's tables are made from. */
struct BalancerTableSources {
  TimePoint now;
  const FlowBalancer& balancer;
  const TargetDirectory& directory;
  const std::map<std::string, ReplicaExchange::Peer>& peers;
  /** Revision of the store at which the configuration was written. */
  int64_t configuration_revision;
};

/** What an agent's tables are made from. */
struct AgentTableSources {
  TimePoint now;
  const FlowAgent& agent;
  const schema::TargetRecord& target;
};

/** @return the table of a balancer, or a sentence that tells who has it. */
tl::expected<schema::Table, std::string> MakeTable(
    Subject subject, const BalancerTableSources& sources);

/** @return the table of an agent, or a sentence that tells who has it. */
tl::expected<schema::Table, std::string> MakeTable(
    Subject subject, const AgentTableSources& sources);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STEERING_TABLES_H_
