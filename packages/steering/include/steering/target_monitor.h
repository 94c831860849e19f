#ifndef SESAMESADDLE_STEERING_TARGET_MONITOR_H_
#define SESAMESADDLE_STEERING_TARGET_MONITOR_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "steering_types.h"

namespace sesamesaddle {

/** Periodic announcement by a target. */
struct TargetAnnouncement {
  std::string id;
  /**
   * Start of the target in Unix milliseconds by its own clock, which may have
   * been set back since an earlier start.
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
  /**
   * Earliest time at which it can have been sent, by the receiver's clock; the
   * epoch if nothing is known. An announcement that was held up on its way may
   * arrive after its sender has ended and a new target has started.
   */
  TimePoint sent_after{};
};

/** Effect of an announcement. */
enum class AnnouncementEffect {
  kUnchanged,
  kStale,  // From an earlier incarnation, or older than one received.
  kChanged,
  kNewIncarnation,  // See TargetMonitor::TakeFormerEnded.
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
  /**
   * A target has stopped announcing itself after this share of its longest
   * recent interval, and kReplacementConfirmTime at least.
   */
  static constexpr double kOverdueIntervals = 1.5;
  /**
   * A draining target that seems to be ready again by lower sequence numbers
   * has to say so for this long; late announcements of it do not last.
   */
  static constexpr Duration kUndrainConfirmTime = std::chrono::seconds(5);
  /** Maximum number of former targets kept to detect late announcements. */
  static constexpr size_t kMaxFormerTargets = 8;

  /**
   * Sets the target that an earlier incarnation of this process last knew, so
   * that an announcement of an even earlier one is recognized as late. Does
   * nothing if a target is known.
   */
  void Recall(const std::string& id, int64_t born_ms);
  /**
   * Handles an announcement. One of an unknown target with a later start time
   * takes effect at once. The target before it is taken for ended when it has
   * stopped announcing itself; until then an announcement that it sent after
   * the arrival of the later one wins back.
   */
  AnnouncementEffect OnAnnouncement(TimePoint now,
                                    const TargetAnnouncement& announcement);
  /**
   * Returns once, after an announcement, that the former target has ended, so
   * that its flows are lost.
   */
  bool TakeFormerEnded() { return std::exchange(former_ended_, false); }
  /** Whether no former target may still be the one that runs. */
  bool confirmed() const { return confirmed_; }
  /** Returns the sequence of the first announcement of the current target. */
  int64_t first_sequence() const { return first_sequence_; }
  /**
   * Returns whether the announcement is of an unknown target with an earlier
   * start time that may have replaced the current one.
   */
  bool MayBeReplacement(const TargetAnnouncement& announcement) const {
    return replacement_ && SameIncarnation(*replacement_, announcement);
  }
  /**
   * Marks the target as gone, until it announces itself later than that, unless
   * the call is of another target or may be a late one of an earlier start
   * under the same id.
   * @param sent_after  earliest time at which the call can have been sent
   * @return whether the target is marked
   */
  bool OnDeregister(TimePoint now, const std::string& id, TimePoint sent_after);
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
   * Returns the latest time at which the current target is known to have run by
   * its announcements, which may be much earlier than their arrival.
   */
  TimePoint ran_until() const { return ran_until_; }
  /**
   * Like ran_until(), for the target before the current one; valid after
   * TakeFormerEnded() has returned true.
   */
  TimePoint former_ran_until() const { return former_ran_until_; }

 private:
  /** What is known of a target while another one is the current one. */
  struct Incarnation {
    TargetAnnouncement announcement;
    schema::TargetState::type state = schema::TargetState::kUnknown;
    TimePoint first_announcement{};
    TimePoint last_announcement{};
    TimePoint ran_until{};
    Duration interval{};
    int64_t first_sequence = 0;
    bool confirmed = false;
  };

  AnnouncementEffect OnCurrent(TimePoint now,
                               const TargetAnnouncement& announcement);
  /** Handles an announcement that is not newer than the last one. */
  AnnouncementEffect OnLowerSequence(TimePoint now,
                                     const TargetAnnouncement& announcement);
  AnnouncementEffect OnOther(TimePoint now,
                             const TargetAnnouncement& announcement);
  /** Handles an announcement of a target that was current before. */
  AnnouncementEffect OnRival(TimePoint now,
                             std::vector<Incarnation>::iterator rival,
                             const TargetAnnouncement& announcement);
  /**
   * Whether the announcement was sent after the last one of the current target
   * had arrived, so that its sender ran then.
   */
  bool FollowsCurrent(const TargetAnnouncement& announcement) const {
    return announcement.sent_after >= last_announcement_;
  }
  /** Puts the announcement in force as one of the current target. */
  AnnouncementEffect Accept(TimePoint now,
                            const TargetAnnouncement& announcement);
  Incarnation Current() const;
  void Restore(const Incarnation& incarnation);
  /** Keeps the current target as one that may still run. */
  void KeepAsRival();
  /** Ends the rivals if none of them announces itself any more. */
  void ConfirmIfRivalsEnded(TimePoint now);
  /** Takes the rivals for ended; the current target is the one that runs. */
  void EndRivals();
  static bool Overdue(TimePoint now, TimePoint last, Duration interval);
  static bool SameIncarnation(const TargetAnnouncement& a,
                              const TargetAnnouncement& b);
  bool IsFormerTarget(const TargetAnnouncement& announcement) const;
  /** Whether an earlier start under the current target's id is known. */
  bool HasFormerOfSameId() const;
  /**
   * Returns whether the target with the earlier start time has replaced the
   * current one.
   */
  bool ConfirmReplacement(TimePoint now,
                          const TargetAnnouncement& announcement);

  TargetAnnouncement announcement_;
  /** Targets that were replaced. */
  std::deque<TargetAnnouncement> former_targets_;
  /** Targets that announced themselves and may be the one that runs. */
  std::vector<Incarnation> rivals_;
  bool confirmed_ = true;
  bool former_ended_ = false;
  int64_t first_sequence_ = 0;
  /** Longest recent time between two announcements of the current target. */
  Duration interval_{};
  /** Announcements of the current target with lower sequence numbers. */
  std::optional<int64_t> lower_sequence_;
  TimePoint lower_since_{};
  std::optional<TargetAnnouncement> replacement_;
  TimePoint replacement_since_{};
  schema::TargetState::type state_ = schema::TargetState::kUnknown;
  TimePoint first_announcement_{};
  TimePoint last_announcement_{};
  /** When the current target deregistered, if it is gone. */
  TimePoint gone_since_{};
  TimePoint ran_until_{};
  TimePoint former_ran_until_{};
  /** announcement_ is of the last target that an earlier process knew. */
  bool recalled_ = false;
  bool unreachable_ = false;
  int unanswered_packets_ = 0;
  TimePoint unanswered_since_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_TARGET_MONITOR_H_
