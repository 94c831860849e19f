#ifndef SESAMESADDLE_DAEMON_LOG_H_
#define SESAMESADDLE_DAEMON_LOG_H_

#include <easylogging++.h>

#include <cstdint>
#include <string>

namespace sesamesaddle {

/** Returns whether `level` is debug, info, warning or error. */
bool IsLogLevel(const std::string& level);

/**
 * Sends log lines of `level` and above to standard output. Writes never block:
 * a line that cannot be written at once is dropped.
 */
void InitializeLogging(const std::string& level);

/** Writes a line; returns false if it was dropped, as it would have blocked. */
bool WriteLogLine(const std::string& line);

/** Returns the number of log lines dropped since the start. */
int64_t DroppedLogLines();

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_LOG_H_
