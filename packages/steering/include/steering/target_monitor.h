#ifndef SESAMESADDLE_STEERING_TARGET_MONITOR_H_
#define SESAMESADDLE_STEERING_TARGET_MONITOR_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "core/time.h"
#include "steering_types.h"

namespace sesamesaddle {

/** What a target says of itself from time to time. */
struct TargetAnnouncement {
  std::string id;
  /**
   * Start of the target, Unix milliseconds by its own clock, which may have
   * been set back since an earlier start; 0 if it does not say.
   */
  int64_t born_ms = 0;
  std::string service;
  std::string zone;
  std::string version;
  int slots = 1;
  bool draining = false;
  int slow_start_ms = 0;
  /** Grows with each announcement of one incarnation. */
  int64_t sequence = 0;
};

/** What an announcement changed. */
enum class AnnouncementEffect {
  kUnchanged,
  kStale,  // Of an earlier incarnation, or overtaken by a later one.
  kChanged,
  kNewIncarnation,  // A new incarnation; what was known of flows is void.
};

/** What an agent believes of the target beside it, from what it says and does.
 */
class TargetMonitor {
 public:
  /** A target answers packets within a millisecond; ten times the longest. */
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(150);
  /** Fewer unanswered packets may have been lost on their way. */
  static constexpr int kMinUnansweredPackets = 2;
  /**
   * An unknown target with an earlier start than the present one is believed
   * once it has announced itself for so long while the present one did not:
   * most of the time between two announcements.
   */
  static constexpr Duration kReplacementConfirmTime = std::chrono::seconds(1);
  /** Earlier targets that are remembered for their late announcements. */
  static constexpr size_t kMaxFormerTargets = 8;

  AnnouncementEffect OnAnnouncement(TimePoint now,
                                    const TargetAnnouncement& announcement);
  /** The target says that it ends. @return whether it is the present one. */
  bool OnDeregister(const std::string& id);
  /** A packet that needs an answer was delivered to the target. */
  void OnDelivered(TimePoint now);
  /** The target sent something. */
  void OnActivity(TimePoint now);
  /** The system says that nobody listens at the target's address. */
  void OnUnreachable(TimePoint now);

  /** Whether a SYN may be delivered. */
  bool AcceptsFlows(TimePoint now) const;
  /** Whether packets that were delivered have stayed without an answer. */
  bool Silent(TimePoint now) const;
  /** Whether the target has ended and its flows with it. */
  bool gone() const { return state_ == schema::TargetState::kGone; }
  bool known() const { return state_ != schema::TargetState::kUnknown; }
  schema::TargetState::type state() const { return state_; }
  const TargetAnnouncement& announcement() const { return announcement_; }

 private:
  static bool SameIncarnation(const TargetAnnouncement& a,
                              const TargetAnnouncement& b);
  bool IsFormerTarget(const TargetAnnouncement& announcement) const;
  /** @return whether the one with the earlier start is the living one. */
  bool ConfirmReplacement(TimePoint now,
                          const TargetAnnouncement& announcement);

  TargetAnnouncement announcement_;
  /** Targets that others have taken the place of. */
  std::deque<TargetAnnouncement> former_targets_;
  std::optional<TargetAnnouncement> replacement_;
  TimePoint replacement_since_{};
  schema::TargetState::type state_ = schema::TargetState::kUnknown;
  bool unreachable_ = false;
  int unanswered_packets_ = 0;
  TimePoint unanswered_since_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_TARGET_MONITOR_H_
