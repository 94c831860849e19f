#include "steering/target_monitor.h"

#include <algorithm>

namespace sesamesaddle {

bool TargetMonitor::SameStart(const TargetAnnouncement& a,
                              const TargetAnnouncement& b) {
  return a.id == b.id && a.born_ms == b.born_ms;
}

bool TargetMonitor::IsPast(const TargetAnnouncement& announcement) const {
  return std::any_of(past_.begin(), past_.end(), [&](const auto& past) {
    return SameStart(past, announcement);
  });
}

bool TargetMonitor::ConfirmRival(TimePoint now,
                                 const TargetAnnouncement& announcement) {
  if (!rival_ || !SameStart(*rival_, announcement)) {
    rival_ = announcement;
    rival_since_ = now;
    return false;
  }
  if (announcement.sequence <= rival_->sequence) return false;
  rival_->sequence = announcement.sequence;
  return now - rival_since_ >= kRivalTime;
}

AnnouncementEffect TargetMonitor::OnAnnouncement(
    TimePoint now, const TargetAnnouncement& announcement) {
  const bool same = known() && SameStart(announcement, announcement_);
  // A target that has ended does not come back; an announcement may be late.
  if (same && (gone() || announcement.sequence <= announcement_.sequence)) {
    return AnnouncementEffect::kStale;
  }
  if (!same && known()) {
    if (IsPast(announcement)) return AnnouncementEffect::kStale;
    if (announcement.born_ms < announcement_.born_ms &&
        !ConfirmRival(now, announcement)) {
      return AnnouncementEffect::kStale;
    }
    past_.push_back(announcement_);
    if (past_.size() > kMaxPast) past_.pop_front();
  }
  rival_.reset();
  const auto next = announcement.draining ? schema::TargetState::kDraining
                                          : schema::TargetState::kReady;
  const bool changed = !same || next != state_ ||
                       announcement.slots != announcement_.slots ||
                       announcement.service != announcement_.service;
  const bool other = known() && !same;
  state_ = next;
  announcement_ = announcement;
  OnHeard(now);
  if (other) return AnnouncementEffect::kNewIncarnation;
  return changed ? AnnouncementEffect::kChanged
                 : AnnouncementEffect::kUnchanged;
}

bool TargetMonitor::OnDeregister(const std::string& id) {
  if (!known() || id != announcement_.id) return false;
  state_ = schema::TargetState::kGone;
  return true;
}

void TargetMonitor::OnDelivered(TimePoint now) {
  if (unanswered_++ == 0) unanswered_since_ = now;
}

void TargetMonitor::OnHeard(TimePoint /*now*/) {
  unanswered_ = 0;
  unreachable_ = false;
}

void TargetMonitor::OnUnreachable(TimePoint /*now*/) { unreachable_ = true; }

bool TargetMonitor::TakesFlows(TimePoint now) const {
  return state_ == schema::TargetState::kReady && !Silent(now);
}

bool TargetMonitor::Silent(TimePoint now) const {
  return unreachable_ || (unanswered_ >= kSilentPackets &&
                          now - unanswered_since_ > kSilenceLimit);
}

}  // namespace sesamesaddle
