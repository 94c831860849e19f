#ifndef SESAMESADDLE_STEERING_DAEMON_STEERING_COMMANDS_H_
#define SESAMESADDLE_STEERING_DAEMON_STEERING_COMMANDS_H_

#include <string>
#include <tl/expected.hpp>

#include "admin_types.h"
#include "command/command.h"
#include "operator_api/command_executor.h"

namespace sesamesaddle {

/** What a process that steers flows knows, as tables. */
class SteeringTables {
 public:
  virtual ~SteeringTables() = default;

  /** @return the table, or a sentence that tells who knows it. */
  virtual tl::expected<schema::Table, std::string> TableOf(
      Subject subject) const = 0;
};

/**
 * The operators' language on a process that steers flows: queries are answered,
 * changes are refused, as the platform's operators write them to the store.
 */
class SteeringCommands : public CommandExecutor {
 public:
  /** @param tables  outlives the commands */
  explicit SteeringCommands(const SteeringTables& tables) : tables_(tables) {}

  void Execute(const std::string& text, const CommandOptions& options,
               Done done) override;

 private:
  schema::CommandReply Answer(const Query& query) const;

  const SteeringTables& tables_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STEERING_COMMANDS_H_
