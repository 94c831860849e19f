#ifndef SESAMESADDLE_STEERING_DAEMON_SETTINGS_WATCHER_H_
#define SESAMESADDLE_STEERING_DAEMON_SETTINGS_WATCHER_H_

#include <optional>
#include <string>

#include "core/event_log.h"
#include "core/time.h"
#include "steering_daemon/steering_settings.h"

namespace sesamesaddle {

/**
 * Reads the settings again on request and from time to time, as they may change
 * without a signal. Settings that are wrong are refused and the old ones stay.
 */
class SettingsWatcher {
 public:
  /** Time between looks without a signal. */
  static constexpr Duration kPeriod = std::chrono::seconds(5);

  SettingsWatcher(const SettingsSource& source, EventLog& log)
      : source_(source), log_(log) {}

  /**
   * @param requested  a signal asked for it
   * @return settings that differ from `current`, with its addresses: sockets
   *         stay where they are until the process starts anew
   */
  std::optional<SteeringSettings> Check(TimePoint now, bool requested,
                                        const SteeringSettings& current);

 private:
  const SettingsSource& source_;
  EventLog& log_;
  TimePoint next_look_{};
  std::string last_fault_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_SETTINGS_WATCHER_H_
