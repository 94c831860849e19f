#include "steering/notice_schedule.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {

void NoticeSchedule::SetBalancers(const Endpoint& self,
                                  std::vector<Endpoint> peers) {
  self_ = self;
  peers_ = std::move(peers);
}

bool NoticeSchedule::IsNotifierOf(const Endpoint& agent) const {
  const uint64_t own = HashFlow({self_, agent});
  size_t higher = 0;
  for (const Endpoint& peer : peers_) {
    if (peer == self_) continue;
    const uint64_t weight = HashFlow({peer, agent});
    if (weight > own || (weight == own && peer < self_)) ++higher;
    if (higher >= kNotifiers) return false;
  }
  return true;
}

void NoticeSchedule::Begin(TimePoint now, const Endpoint& agent) {
  if (!IsNotifierOf(agent)) return;
  Series& series = series_[agent];
  series.notices_left = kMaxNotices;
  series.next = std::max(now, series.earliest);
}

void NoticeSchedule::OnOutdated(TimePoint now, const Endpoint& agent,
                                TimePoint known_since) {
  if (now - known_since < kNotifierHeadStart && !IsNotifierOf(agent)) return;
  Series& series = series_[agent];
  const TimePoint earliest = std::max(now, series.earliest);
  series.next =
      series.notices_left == 0 ? earliest : std::min(series.next, earliest);
  series.notices_left = std::max(series.notices_left, 1);
}

void NoticeSchedule::OnConfirmed(const Endpoint& agent) {
  const auto it = series_.find(agent);
  if (it != series_.end()) it->second.notices_left = 0;
}

void NoticeSchedule::OnSent(TimePoint now, const Endpoint& agent) {
  series_[agent].earliest = now + kMinInterval;
}

std::vector<Endpoint> NoticeSchedule::TakeDue(TimePoint now) {
  std::vector<Endpoint> due;
  for (auto it = series_.begin(); it != series_.end();) {
    Series& series = it->second;
    if (series.notices_left == 0) {
      // Kept for the interval to the next notice.
      it = now >= series.earliest ? series_.erase(it) : std::next(it);
      continue;
    }
    if (now >= std::max(series.next, series.earliest)) {
      due.push_back(it->first);
      --series.notices_left;
      series.earliest = now + kMinInterval;
      series.next = now + kRepeatPeriod;
    }
    ++it;
  }
  return due;
}

}  // namespace sesamesaddle
