#ifndef SESAMESADDLE_STEERING_DAEMON_SETTINGS_WATCHER_H_
#define SESAMESADDLE_STEERING_DAEMON_SETTINGS_WATCHER_H_

#include <optional>
#include <string>

#include "core/event_log.h"
#include "core/time.h"
#include "steering_daemon/steering_settings.h"

namespace sesamesaddle {

/**
 * Reloads the settings on request and periodically, as they may change without
 * a signal. Invalid settings are rejected and the old ones stay in force.
 */
class SettingsWatcher {
 public:
  /** Interval of reloads without a signal. */
  static constexpr Duration kPeriod = std::chrono::seconds(5);

  SettingsWatcher(const SettingsSource& source, EventLog& log)
      : source_(source), log_(log) {}

  /**
   * Reads the settings if requested or due.
   * @param requested  whether a signal requested it
   * @return the settings if they differ from `current`; addresses stay those
   *         of `current`, since sockets are only opened at process start
   */
  std::optional<SteeringSettings> Check(TimePoint now, bool requested,
                                        const SteeringSettings& current);

 private:
  /** Logs the names of changed settings that are ignored until a restart. */
  void LogIgnored(const std::string& names);

  const SettingsSource& source_;
  EventLog& log_;
  TimePoint next_check_{};
  std::string last_error_;
  std::string last_ignored_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_SETTINGS_WATCHER_H_
