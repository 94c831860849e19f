#ifndef SESAMESADDLE_OPERATOR_API_COMMAND_EXECUTOR_H_
#define SESAMESADDLE_OPERATOR_API_COMMAND_EXECUTOR_H_

#include <functional>
#include <string>

#include "admin_types.h"
#include "core/time.h"

namespace sesamesaddle {

/** Parameters of the execution of a command. */
struct CommandOptions {
  /**
   * Identifies the change, so that its outcome can be queried if the reply is
   * lost; generated if empty.
   */
  std::string change_id;
  std::string author;
  /** Maximum time to wait until all processes have the change; 0: no wait. */
  Duration wait{};
};

/** Executes operator commands on one process. */
class CommandExecutor {
 public:
  using Done = std::function<void(const schema::CommandReply& reply)>;

  virtual ~CommandExecutor() = default;

  /** Calls `done` exactly once, possibly before it returns. */
  virtual void Execute(const std::string& text, const CommandOptions& options,
                       Done done) = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_OPERATOR_API_COMMAND_EXECUTOR_H_
