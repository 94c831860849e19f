#ifndef SESAMESADDLE_STEERING_TARGET_RESTART_DETECTOR_H_
#define SESAMESADDLE_STEERING_TARGET_RESTART_DETECTOR_H_

#include <optional>

#include "core/time.h"

namespace sesamesaddle {

/**
 * Detects by its packets that a target has started again, which its
 * announcements may tell much later. The new target is cold from then on,
 * whatever the former one has announced or a late announcement of it says.
 */
class TargetRestartDetector {
 public:
  /**
   * A target keeps a flow for at least this long after its last packet, so that
   * it has lost one that it returns sooner by a restart. Well below the idle
   * timeouts of operators.
   */
  static constexpr Duration kMinIdleTimeout = std::chrono::seconds(5);

  /**
   * Called for a packet of an open flow that the target has returned.
   * @param opened  when the flow opened
   * @param last_target_packet  last packet of the flow from a target
   * @return whether this shows a restart that was not known
   */
  bool OnLostFlow(TimePoint now, TimePoint opened,
                  TimePoint last_target_packet);
  /** Called when the operating system reports the target's port as closed. */
  void OnPortClosed(TimePoint now) { closed_at_ = now; }
  /**
   * Called for any packet from the target.
   * @return whether this shows a restart that was not known
   */
  bool OnTargetPacket(TimePoint now);
  /** Called when an announcement of a new target takes effect. */
  void OnNewTarget(TimePoint now);
  /**
   * Called for an announcement of the target that is known.
   * @param sent_after  see TargetAnnouncement
   * @return whether its sender runs after the last known restart; otherwise it
   *         may be a late one of the former target
   */
  bool OnAnnouncement(TimePoint sent_after);

 private:
  /** Latest restart that is known, by packets or by an announcement. */
  std::optional<TimePoint> restarted_at_;
  /** The restart was seen by packets only. */
  bool unannounced_ = false;
  std::optional<TimePoint> closed_at_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_TARGET_RESTART_DETECTOR_H_
