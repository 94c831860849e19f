#ifndef SESAMESADDLE_STEERING_TARGET_MONITOR_H_
#define SESAMESADDLE_STEERING_TARGET_MONITOR_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "core/time.h"
#include "steering_types.h"

namespace sesamesaddle {

/** Periodic announcement by a target. */
struct TargetAnnouncement {
  std::string id;
  /**
   * Start of the target in Unix milliseconds by its own clock, which may have
   * been set back since an earlier start; 0 if unknown.
   */
  int64_t born_ms = 0;
  std::string service;
  std::string zone;
  std::string version;
  int slots = 1;
  bool draining = false;
  int slow_start_ms = 0;
  /** Increases with each announcement of one incarnation. */
  int64_t sequence = 0;
};

/** Effect of an announcement. */
enum class AnnouncementEffect {
  kUnchanged,
  kStale,  // From an earlier incarnation, or older than one received.
  kChanged,
  kNewIncarnation,  // The flows of the former one are lost.
};

/** Tracks the local target of an agent by its announcements and packets. */
class TargetMonitor {
 public:
  /**
   * Targets answer within a millisecond; this is ten times the longest answer
   * time.
   */
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(150);
  /** Minimum number of unanswered packets; fewer may have been lost. */
  static constexpr int kMinUnansweredPackets = 2;
  /**
   * An unknown target with an earlier start time replaces the current one once
   * it has announced itself for this long while the current one did not: most
   * of the time between two announcements.
   */
  static constexpr Duration kReplacementConfirmTime = std::chrono::seconds(1);
  /** Maximum number of former targets kept to detect late announcements. */
  static constexpr size_t kMaxFormerTargets = 8;

  /**
   * Sets the target that an earlier incarnation of this process last knew, so
   * that an announcement of an even earlier one is recognized as late. Does
   * nothing if a target is known.
   */
  void Recall(const std::string& id, int64_t born_ms);
  AnnouncementEffect OnAnnouncement(TimePoint now,
                                    const TargetAnnouncement& announcement);
  /**
   * Returns whether the announcement is of an unknown target with an earlier
   * start time that may have replaced the current one.
   */
  bool MayBeReplacement(const TargetAnnouncement& announcement) const {
    return replacement_ && SameIncarnation(*replacement_, announcement);
  }
  /** Marks the target as gone if it has that id. Returns whether it has. */
  bool OnDeregister(const std::string& id);
  /** Records the delivery of a packet that needs an answer. */
  void OnDelivered(TimePoint now);
  /** Records a packet or announcement from the target. */
  void OnReceived(TimePoint now);
  /** Records that the operating system reported the target's port as closed. */
  void OnUnreachable(TimePoint now);

  /** Whether SYNs may be delivered to the target. */
  bool AcceptsFlows(TimePoint now) const;
  /** Whether delivered packets have stayed unanswered for too long. */
  bool Silent(TimePoint now) const;
  /** Whether the target and its flows have ended. */
  bool gone() const { return state_ == schema::TargetState::kGone; }
  bool known() const { return state_ != schema::TargetState::kUnknown; }
  schema::TargetState::type state() const { return state_; }
  const TargetAnnouncement& announcement() const { return announcement_; }
  /** Returns when the target last announced itself. */
  TimePoint last_announcement() const { return last_announcement_; }
  /**
   * Returns when the target before the current one last announced itself; valid
   * after AnnouncementEffect::kNewIncarnation.
   */
  TimePoint last_announcement_of_former() const {
    return last_announcement_of_former_;
  }

 private:
  static bool SameIncarnation(const TargetAnnouncement& a,
                              const TargetAnnouncement& b);
  bool IsFormerTarget(const TargetAnnouncement& announcement) const;
  /**
   * Returns whether the target with the earlier start time has replaced the
   * current one.
   */
  bool ConfirmReplacement(TimePoint now,
                          const TargetAnnouncement& announcement);

  TargetAnnouncement announcement_;
  /** Targets that were replaced. */
  std::deque<TargetAnnouncement> former_targets_;
  std::optional<TargetAnnouncement> replacement_;
  TimePoint replacement_since_{};
  schema::TargetState::type state_ = schema::TargetState::kUnknown;
  TimePoint last_announcement_{};
  TimePoint last_announcement_of_former_{};
  /** announcement_ is of the last target that an earlier process knew. */
  bool recalled_ = false;
  bool unreachable_ = false;
  int unanswered_packets_ = 0;
  TimePoint unanswered_since_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_TARGET_MONITOR_H_
