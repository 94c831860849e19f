#ifndef SESAMESADDLE_DAEMON_SETTINGS_H_
#define SESAMESADDLE_DAEMON_SETTINGS_H_

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "settings_types.h"

namespace sesamesaddle {

/** Why a process does not start, or a text it prints instead of starting. */
struct SettingsExit {
  int code = 2;  // 0 for --help and --version.
  std::string text;
};

/** Version of the package, as --version prints it. */
extern const char* const kVersion;

/**
 * Reads flags and environment variables (flags go first) and checks them.
 * @param arguments  as given to main, with the program's name
 */
tl::expected<schema::DaemonSettings, SettingsExit> ReadSettings(
    const std::vector<std::string>& arguments);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_SETTINGS_H_
