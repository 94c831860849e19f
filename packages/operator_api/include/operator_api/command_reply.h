#ifndef SESAMESADDLE_OPERATOR_API_COMMAND_REPLY_H_
#define SESAMESADDLE_OPERATOR_API_COMMAND_REPLY_H_

#include <string>

#include "admin_types.h"
#include "command/command.h"

namespace sesamesaddle {

schema::CommandReply MakeReply(schema::CommandOutcome::type outcome,
                               std::string message);

/** Returns the reply to a command with a syntax error. */
schema::CommandReply MakeReply(const SyntaxError& error);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_OPERATOR_API_COMMAND_REPLY_H_
