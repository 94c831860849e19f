#include "steering/target_monitor.h"

#include <algorithm>

namespace sesamesaddle {

bool TargetMonitor::SameIncarnation(const TargetAnnouncement& a,
                                    const TargetAnnouncement& b) {
  return a.id == b.id && a.born_ms == b.born_ms;
}

bool TargetMonitor::IsFormerTarget(
    const TargetAnnouncement& announcement) const {
  return std::any_of(former_targets_.begin(), former_targets_.end(),
                     [&](const auto& former) {
                       return SameIncarnation(former, announcement);
                     });
}

bool TargetMonitor::ConfirmReplacement(TimePoint now,
                                       const TargetAnnouncement& announcement) {
  if (!replacement_ || !SameIncarnation(*replacement_, announcement)) {
    replacement_ = announcement;
    replacement_since_ = now;
    return false;
  }
  if (announcement.sequence <= replacement_->sequence) return false;
  replacement_->sequence = announcement.sequence;
  return now - replacement_since_ >= kReplacementConfirmTime &&
         FollowsCurrent(announcement);
}

void TargetMonitor::Recall(const std::string& id, int64_t born_ms) {
  if (known()) return;
  announcement_ = TargetAnnouncement();
  announcement_.id = id;
  announcement_.born_ms = born_ms;
  recalled_ = true;
}

AnnouncementEffect TargetMonitor::OnAnnouncement(
    TimePoint now, const TargetAnnouncement& announcement) {
  if (!known() && !recalled_) {
    first_sequence_ = announcement.sequence;
    first_announcement_ = now;
    return Accept(now, announcement);
  }
  return SameIncarnation(announcement, announcement_)
             ? OnCurrent(now, announcement)
             : OnOther(now, announcement);
}

AnnouncementEffect TargetMonitor::OnCurrent(
    TimePoint now, const TargetAnnouncement& announcement) {
  // One that was sent before the deregistration was delayed.
  if (gone() && announcement.sent_after < gone_since_) {
    return AnnouncementEffect::kStale;
  }
  if (recalled_) {
    first_sequence_ = announcement.sequence;
    first_announcement_ = now;
  } else if (announcement.sequence <= announcement_.sequence) {
    return OnLowerSequence(now, announcement);
  } else {
    interval_ = std::max(now - last_announcement_, interval_ - interval_ / 8);
  }
  const AnnouncementEffect effect = Accept(now, announcement);
  ConfirmIfRivalsEnded(now);
  return effect;
}

AnnouncementEffect TargetMonitor::OnLowerSequence(
    TimePoint now, const TargetAnnouncement& announcement) {
  const bool drains = state_ == schema::TargetState::kDraining;
  // A target that drains never returns to ready, so that this is news.
  if (announcement.draining && !drains) {
    state_ = schema::TargetState::kDraining;
    announcement_.draining = true;
    return AnnouncementEffect::kChanged;
  }
  // Numbers that go on below the highest one show that it was not the target's.
  if (!lower_sequence_ || announcement.sequence <= *lower_sequence_) {
    lower_since_ = now;
  }
  const bool rises =
      lower_sequence_ && announcement.sequence > *lower_sequence_;
  lower_sequence_ = announcement.sequence;
  const bool undrains = drains && !announcement.draining;
  const Duration needed =
      undrains ? kUndrainConfirmTime : kReplacementConfirmTime;
  if (!rises || now - lower_since_ < needed) return AnnouncementEffect::kStale;
  return Accept(now, announcement);
}

AnnouncementEffect TargetMonitor::OnOther(
    TimePoint now, const TargetAnnouncement& announcement) {
  const auto rival = std::find_if(
      rivals_.begin(), rivals_.end(), [&](const Incarnation& known) {
        return SameIncarnation(known.announcement, announcement);
      });
  if (rival != rivals_.end()) return OnRival(now, rival, announcement);
  if (IsFormerTarget(announcement)) return AnnouncementEffect::kStale;
  const bool earlier = announcement.born_ms < announcement_.born_ms;
  if (earlier && !ConfirmReplacement(now, announcement)) {
    return AnnouncementEffect::kStale;
  }
  const bool ended = recalled_ || gone() || unreachable_ ||
                     Overdue(now, last_announcement_, interval_);
  KeepAsRival();
  confirmed_ = false;
  interval_ = Duration::zero();
  ran_until_ = TimePoint();
  first_sequence_ = announcement.sequence;
  first_announcement_ = now;
  Accept(now, announcement);
  if (ended) {
    EndRivals();
  } else if (rivals_.back().announcement.id == announcement.id) {
    // It can only have started again; a forged start time is still undone.
    former_ended_ = true;
    former_ran_until_ = rivals_.back().ran_until;
  }
  return AnnouncementEffect::kNewIncarnation;
}

AnnouncementEffect TargetMonitor::OnRival(
    TimePoint now, std::vector<Incarnation>::iterator rival,
    const TargetAnnouncement& announcement) {
  if (announcement.sequence <= rival->announcement.sequence) {
    return AnnouncementEffect::kStale;
  }
  if (announcement.born_ms <= announcement_.born_ms &&
      !FollowsCurrent(announcement)) {
    // It may have been held up on its way since before the current target
    // started. A target that runs sends the next one later.
    rival->announcement.sequence = announcement.sequence;
    rival->last_announcement = now;
    rival->ran_until = std::max(rival->ran_until, announcement.sent_after);
    return AnnouncementEffect::kStale;
  }
  const Incarnation next = *rival;
  rivals_.erase(rival);
  KeepAsRival();
  Restore(next);
  Accept(now, announcement);
  return AnnouncementEffect::kChanged;
}

AnnouncementEffect TargetMonitor::Accept(
    TimePoint now, const TargetAnnouncement& announcement) {
  const auto next = announcement.draining ? schema::TargetState::kDraining
                                          : schema::TargetState::kReady;
  const bool changed = next != state_ ||
                       announcement.slots != announcement_.slots ||
                       announcement.service != announcement_.service;
  replacement_.reset();
  lower_sequence_.reset();
  last_announcement_ = now;
  ran_until_ = std::max(ran_until_, announcement.sent_after);
  recalled_ = false;
  state_ = next;
  announcement_ = announcement;
  OnReceived(now);
  return changed ? AnnouncementEffect::kChanged
                 : AnnouncementEffect::kUnchanged;
}

TargetMonitor::Incarnation TargetMonitor::Current() const {
  return {announcement_, state_,    first_announcement_, last_announcement_,
          ran_until_,    interval_, first_sequence_,     confirmed_};
}

void TargetMonitor::Restore(const Incarnation& incarnation) {
  announcement_ = incarnation.announcement;
  state_ = incarnation.state;
  first_announcement_ = incarnation.first_announcement;
  last_announcement_ = incarnation.last_announcement;
  ran_until_ = incarnation.ran_until;
  interval_ = incarnation.interval;
  first_sequence_ = incarnation.first_sequence;
  confirmed_ = incarnation.confirmed;
}

void TargetMonitor::KeepAsRival() {
  if (rivals_.size() >= kMaxFormerTargets) rivals_.erase(rivals_.begin());
  rivals_.push_back(Current());
}

void TargetMonitor::ConfirmIfRivalsEnded(TimePoint now) {
  if (confirmed_) return;
  const bool ended = std::all_of(
      rivals_.begin(), rivals_.end(), [now](const Incarnation& rival) {
        return Overdue(now, rival.last_announcement, rival.interval);
      });
  if (ended) EndRivals();
}

void TargetMonitor::EndRivals() {
  confirmed_ = true;
  former_ended_ = true;
  former_ran_until_ = TimePoint();
  for (const Incarnation& rival : rivals_) {
    former_ran_until_ = std::max(former_ran_until_, rival.ran_until);
    former_targets_.push_back(rival.announcement);
    if (former_targets_.size() > kMaxFormerTargets) former_targets_.pop_front();
  }
  rivals_.clear();
}

bool TargetMonitor::Overdue(TimePoint now, TimePoint last, Duration interval) {
  const auto limit = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(interval) * kOverdueIntervals);
  return now - last > std::max(limit, kReplacementConfirmTime);
}

bool TargetMonitor::HasFormerOfSameId() const {
  const auto same_id = [this](const TargetAnnouncement& other) {
    return other.id == announcement_.id;
  };
  return std::any_of(former_targets_.begin(), former_targets_.end(), same_id) ||
         std::any_of(rivals_.begin(), rivals_.end(),
                     [&](const Incarnation& rival) {
                       return same_id(rival.announcement);
                     });
}

bool TargetMonitor::OnDeregister(TimePoint now, const std::string& id,
                                 TimePoint sent_after) {
  if (!known() || id != announcement_.id) return false;
  if (sent_after < first_announcement_ && HasFormerOfSameId()) return false;
  state_ = schema::TargetState::kGone;
  gone_since_ = now;
  return true;
}

void TargetMonitor::OnDelivered(TimePoint now) {
  if (unanswered_packets_++ == 0) unanswered_since_ = now;
}

void TargetMonitor::OnReceived(TimePoint /*now*/) {
  unanswered_packets_ = 0;
  unreachable_ = false;
}

void TargetMonitor::OnUnreachable(TimePoint /*now*/) { unreachable_ = true; }

bool TargetMonitor::AcceptsFlows(TimePoint now) const {
  return state_ == schema::TargetState::kReady && !Silent(now);
}

bool TargetMonitor::Silent(TimePoint now) const {
  return unreachable_ || (unanswered_packets_ >= kMinUnansweredPackets &&
                          now - unanswered_since_ > kSilenceTimeout);
}

}  // namespace sesamesaddle
