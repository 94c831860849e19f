#include "steering/target_restart_detector.h"

namespace sesamesaddle {

bool TargetRestartDetector::OnLostFlow(TimePoint now, TimePoint opened,
                                       TimePoint last_target_packet) {
  if (last_target_packet == TimePoint() ||
      now - last_target_packet >= kMinIdleTimeout) {
    return false;
  }
  // It may have been lost by a restart that is known.
  if (restarted_at_ && opened <= *restarted_at_) return false;
  restarted_at_ = now;
  unannounced_ = true;
  return true;
}

bool TargetRestartDetector::OnTargetPacket(TimePoint now) {
  if (!closed_at_) return false;
  closed_at_.reset();
  restarted_at_ = now;
  unannounced_ = true;
  return true;
}

void TargetRestartDetector::OnNewTarget(TimePoint now) {
  restarted_at_ = now;
  unannounced_ = false;
  closed_at_.reset();
}

bool TargetRestartDetector::OnAnnouncement(TimePoint sent_after) {
  if (closed_at_ && sent_after >= *closed_at_) closed_at_.reset();
  if (unannounced_ && sent_after < *restarted_at_) return false;
  unannounced_ = false;
  return true;
}

}  // namespace sesamesaddle
