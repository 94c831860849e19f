#ifndef SESAMESADDLE_DAEMON_OPERATOR_COMMANDS_H_
#define SESAMESADDLE_DAEMON_OPERATOR_COMMANDS_H_

#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "admin_types.h"
#include "command/command.h"
#include "configuration/change_log.h"
#include "core/random.h"
#include "daemon/role.h"
#include "operator_api/command_executor.h"

namespace sesamesaddle {

/** Executes operator commands on the local daemon. */
class OperatorCommands : public CommandExecutor {
 public:
  /** After this time the outcome of an unconfirmed change is unknown. */
  static constexpr Duration kSubmitTimeout = std::chrono::seconds(5);

  OperatorCommands(Role& role, ChangeLog& change_log, Scheduler& scheduler,
                   RandomSource& random, ActionExecutor execute_actions);

  void Execute(const std::string& text, const CommandOptions& options,
               Done done) override;

 private:
  struct PendingReply;

  void Submit(const schema::Change& change, const std::string& text,
              const CommandOptions& options, Done done);
  void OnSubmitted(const SubmitResult& result,
                   const schema::ChangeRecord& submitted, Duration wait,
                   const Done& done);
  /** Replies once all processes have the revision, or at the deadline. */
  void PollUntilInForce(const std::shared_ptr<PendingReply>& pending);
  schema::CommandReply RunQuery(const Query& query) const;
  tl::expected<schema::Table, std::string> MakeTable(Subject subject) const;
  schema::Table ServicesTable() const;
  schema::Table MembersTable(schema::Role::type role) const;
  schema::Table FlowsTable() const;
  schema::Table ChangesTable() const;
  schema::Table ZonesTable() const;

  Role& role_;
  ChangeLog& change_log_;
  Scheduler& scheduler_;
  RandomSource& random_;
  ActionExecutor execute_actions_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_OPERATOR_COMMANDS_H_
