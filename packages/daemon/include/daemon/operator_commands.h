#ifndef SESAMESADDLE_DAEMON_OPERATOR_COMMANDS_H_
#define SESAMESADDLE_DAEMON_OPERATOR_COMMANDS_H_

#include <memory>
#include <string>

#include "admin_types.h"
#include "command/command.h"
#include "configuration/change_log.h"
#include "core/random.h"
#include "daemon/role.h"
#include "operator_api/command_executor.h"

namespace sesamesaddle {

/** Carries out commands of operators on one daemon. */
class OperatorCommands : public CommandExecutor {
 public:
  /** A change that is not settled by then has an unknown outcome. */
  static constexpr Duration kSubmitLimit = std::chrono::seconds(5);

  OperatorCommands(Role& role, ChangeLog& log, Scheduler& scheduler,
                   RandomSource& random, CarryOut carry_out);

  void Execute(const std::string& text, const CommandOptions& options,
               Done done) override;

 private:
  struct Waiting;

  void Submit(const schema::Change& change, const std::string& text,
              const CommandOptions& options, Done done);
  void OnSubmitted(const SubmitResult& result, const std::string& change_id,
                   Duration wait, const Done& done);
  void PollInForce(const std::shared_ptr<Waiting>& waiting);
  schema::CommandReply Answer(const Query& query) const;
  schema::Table MakeTable(Subject subject) const;
  schema::Table ServicesTable() const;
  schema::Table MembersTable(schema::Role::type role) const;
  schema::Table FlowsTable() const;
  schema::Table ChangesTable() const;

  Role& role_;
  ChangeLog& log_;
  Scheduler& scheduler_;
  RandomSource& random_;
  CarryOut carry_out_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_OPERATOR_COMMANDS_H_
