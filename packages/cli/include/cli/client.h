#ifndef SESAMESADDLE_CLI_CLIENT_H_
#define SESAMESADDLE_CLI_CLIENT_H_

#include <string>
#include <vector>

#include "admin_types.h"

namespace sesamesaddle {

/** Exit codes of the command-line client. */
enum class ClientExitCode {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kOutcomeUnknown = 3,
  kNoConnection = 4,
};

/**
 * Runs the command given by the arguments, or without one, a prompt that reads
 * commands from standard input.
 * @return the exit code of the process: the highest of all commands
 */
int RunClient(const std::vector<std::string>& arguments);

/** Formats the reply to `command` for output. */
std::string FormatReply(const std::string& command,
                        const schema::CommandReply& reply);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CLI_CLIENT_H_
