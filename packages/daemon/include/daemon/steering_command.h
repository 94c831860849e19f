#ifndef SESAMESADDLE_DAEMON_STEERING_COMMAND_H_
#define SESAMESADDLE_DAEMON_STEERING_COMMAND_H_

#include <string>
#include <vector>

namespace sesamesaddle {

/** Whether the first argument names a process that steers packet flows. */
bool IsSteeringCommand(const std::vector<std::string>& arguments);

/**
 * Runs `sesamesaddled flow-balancer` or `flow-agent` to its end.
 * @return the exit code: 2 for wrong settings, 1 if a socket can't be opened
 */
int RunSteeringCommand(const std::vector<std::string>& arguments);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_STEERING_COMMAND_H_
