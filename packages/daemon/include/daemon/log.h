#ifndef SESAMESADDLE_DAEMON_LOG_H_
#define SESAMESADDLE_DAEMON_LOG_H_

#include <easylogging++.h>

#include <string>

namespace sesamesaddle {

/** Whether `level` is one of debug, info, warning and error. */
bool IsLogLevel(const std::string& level);

/** Sends log lines of that level and above to standard output. */
void StartLog(const std::string& level);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_LOG_H_
