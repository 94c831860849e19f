#ifndef SESAMESADDLE_DAEMON_SETTINGS_H_
#define SESAMESADDLE_DAEMON_SETTINGS_H_

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "settings_types.h"

namespace sesamesaddle {

/** Exit code and output of a process that exits instead of starting. */
struct EarlyExit {
  int code = 2;  // 0 for --help and --version, 2 for invalid settings.
  std::string text;
};

/** Package version, printed by --version. */
extern const char* const kVersion;

/**
 * Reads and validates flags and environment variables. Flags take precedence.
 * @param arguments  the arguments of main, including the program name
 */
tl::expected<schema::DaemonSettings, EarlyExit> ReadSettings(
    const std::vector<std::string>& arguments);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_SETTINGS_H_
