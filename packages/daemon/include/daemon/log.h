#ifndef SESAMESADDLE_DAEMON_LOG_H_
#define SESAMESADDLE_DAEMON_LOG_H_

#include <easylogging++.h>

#include <cstdint>
#include <string>

namespace sesamesaddle {

/** Whether `level` is one of debug, info, warning and error. */
bool IsLogLevel(const std::string& level);

/**
 * Sends log lines of that level and above to standard output. A line that it
 * does not take at once is dropped: writing never waits for a reader.
 */
void StartLog(const std::string& level);

/** Lines dropped so far. */
int64_t DroppedLogLines();

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_LOG_H_
