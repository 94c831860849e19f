#ifndef SESAMESADDLE_OPERATOR_API_COMMAND_EXECUTOR_H_
#define SESAMESADDLE_OPERATOR_API_COMMAND_EXECUTOR_H_

#include <functional>
#include <string>

#include "admin_types.h"
#include "core/time.h"

namespace sesamesaddle {

/** How a command is to be carried out. */
struct CommandOptions {
  /** Names the change, so that a lost reply can be settled; made if empty. */
  std::string change_id;
  std::string author;
  /** Wait until the change is in force everywhere; zero does not wait. */
  Duration wait{};
};

/** Carries out commands of operators on one process. */
class CommandExecutor {
 public:
  using Done = std::function<void(const schema::CommandReply& reply)>;

  virtual ~CommandExecutor() = default;

  /** `done` is called once, at once or later. */
  virtual void Execute(const std::string& text, const CommandOptions& options,
                       Done done) = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_OPERATOR_API_COMMAND_EXECUTOR_H_
