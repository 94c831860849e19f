#ifndef SESAMESADDLE_CLI_CLIENT_H_
#define SESAMESADDLE_CLI_CLIENT_H_

#include <string>
#include <vector>

#include "admin_types.h"

namespace sesamesaddle {

/** Exit codes of the operators' client. */
enum class ClientExit {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kOutcomeUnknown = 3,
  kNoConnection = 4,
};

/**
 * Runs the client: one command from the arguments, or a prompt that reads
 * commands from standard input.
 * @return the exit code of the process; of several commands the highest
 */
int RunClient(const std::vector<std::string>& arguments);

/** @return what the client prints for a reply to `command`. */
std::string FormatReply(const std::string& command,
                        const schema::CommandReply& reply);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CLI_CLIENT_H_
