#ifndef SESAMESADDLE_STEERING_DAEMON_STEERING_COMMANDS_H_
#define SESAMESADDLE_STEERING_DAEMON_STEERING_COMMANDS_H_

#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "admin_types.h"
#include "command/command.h"
#include "operator_api/command_executor.h"

namespace sesamesaddle {

/** Provides the state of a steering process as tables for operators. */
class TableProvider {
 public:
  virtual ~TableProvider() = default;

  /** Returns the table, or an error that names the process to query instead. */
  virtual tl::expected<schema::Table, std::string> BuildTable(
      Subject subject) const = 0;
};

/**
 * Executes operators' commands on a balancer or an agent: answers queries and
 * refuses changes, which the platform's operators write to the store.
 */
class SteeringCommands : public CommandExecutor {
 public:
  /**
   * @param tables             must outlive this object
   * @param evacuation_prefix  prefix of the store keys of evacuated zones, for
   *                           the replies to commands that need the store
   */
  SteeringCommands(const TableProvider& tables, std::string evacuation_prefix)
      : tables_(tables), evacuation_prefix_(std::move(evacuation_prefix)) {}

  void Execute(const std::string& text, const CommandOptions& options,
               Done done) override;

 private:
  schema::CommandReply Answer(const Query& query) const;
  schema::CommandReply Refuse(const schema::Change& change) const;

  const TableProvider& tables_;
  std::string evacuation_prefix_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STEERING_COMMANDS_H_
