#ifndef SESAMESADDLE_DAEMON_STEERING_COMMAND_H_
#define SESAMESADDLE_DAEMON_STEERING_COMMAND_H_

#include <string>
#include <vector>

namespace sesamesaddle {

/** Returns whether the first argument is flow-balancer or flow-agent. */
bool IsSteeringCommand(const std::vector<std::string>& arguments);

/**
 * Runs `sesamesaddled flow-balancer` or `flow-agent` until it stops.
 * @return the exit code: 2 for invalid settings, 1 if a socket cannot be opened
 */
int RunSteeringCommand(const std::vector<std::string>& arguments);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_STEERING_COMMAND_H_
