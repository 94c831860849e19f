#include "steering/missing_entry_schedule.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {

void MissingEntrySchedule::OnRemoved(TimePoint now, const Endpoint& agent,
                                     bool is_notifier) {
  const TimePoint first = is_notifier ? now : now + kNotifierHeadStart;
  series_[agent] = {first, kFirstRepeatPeriod};
}

std::vector<Endpoint> MissingEntrySchedule::TakeDue(TimePoint now) {
  if (now - window_begin_ >= std::chrono::seconds(1)) {
    window_begin_ = now;
    sent_in_window_ = 0;
  }
  std::vector<std::pair<TimePoint, Endpoint>> waiting;
  for (const auto& [agent, series] : series_) {
    if (now >= series.next) waiting.emplace_back(series.next, agent);
  }
  std::sort(waiting.begin(), waiting.end());
  const size_t room = kMaxNoticesPerSecond - sent_in_window_;
  if (waiting.size() > room) waiting.resize(room);
  sent_in_window_ += waiting.size();
  std::vector<Endpoint> due;
  due.reserve(waiting.size());
  for (const auto& [next, agent] : waiting) {
    Series& series = series_[agent];
    series.next = now + series.period;
    series.period = std::min(2 * series.period, kMaxRepeatPeriod);
    due.push_back(agent);
  }
  return due;
}

}  // namespace sesamesaddle
