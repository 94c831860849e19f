#include "serving/work_queue.h"

#include <algorithm>

namespace sesamesaddle {

WorkQueue::WorkQueue(size_t slots, size_t queue_limit)
    : slots_(slots), queue_limit_(queue_limit) {}

Admission WorkQueue::Admit(TimePoint now, const WorkItem& item,
                           bool may_start) {
  if (item.deadline <= now) return Admission::kTooLate;
  if (may_start && positions_.empty() && TryStart()) return Admission::kStart;
  if (!CanFinishInTime(now, item)) return Admission::kTooLate;
  if (positions_.size() >= queue_limit_) return Admission::kQueueFull;
  const auto lane = static_cast<size_t>(item.priority);
  const Key key{item.deadline, next_arrival_++};
  lanes_[lane].emplace(key, item);
  positions_[item.call] = {lane, key};
  return Admission::kQueued;
}

bool WorkQueue::TryStart() {
  if (!HasFreeSlot()) return false;
  ++running_;
  return true;
}

void WorkQueue::Finish(Duration service_time) {
  constexpr int kSmoothing = 8;
  if (running_ > 0) --running_;
  mean_service_time_ =
      mean_service_time_ == Duration::zero()
          ? service_time
          : mean_service_time_ +
                (service_time - mean_service_time_) / kSmoothing;
}

std::optional<WorkItem> WorkQueue::Next(TimePoint now) {
  while (HasFreeSlot()) {
    Lane* lane = PickLane();
    if (lane == nullptr) return {};
    const WorkItem item = lane->begin()->second;
    // Expired items are left to TakeExpired so that their callers are notified.
    if (item.deadline <= now) return {};
    lane->erase(lane->begin());
    positions_.erase(item.call);
    ++running_;
    return item;
  }
  return {};
}

bool WorkQueue::Remove(CallId call) {
  const auto it = positions_.find(call);
  if (it == positions_.end()) return false;
  const auto& [lane, key] = it->second;
  lanes_[lane].erase(key);
  positions_.erase(it);
  return true;
}

std::vector<WorkItem> WorkQueue::TakeExpired(TimePoint now) {
  std::vector<WorkItem> expired;
  for (Lane& lane : lanes_) {
    while (!lane.empty() && lane.begin()->second.deadline <= now) {
      expired.push_back(lane.begin()->second);
      positions_.erase(lane.begin()->second.call);
      lane.erase(lane.begin());
    }
  }
  return expired;
}

const WorkItem* WorkQueue::Peek() const {
  for (size_t i = kLanes; i > 0; --i) {
    if (!lanes_[i - 1].empty()) return &lanes_[i - 1].begin()->second;
  }
  return nullptr;
}

bool WorkQueue::CanFinishInTime(TimePoint now, const WorkItem& item) const {
  const auto lane = static_cast<size_t>(item.priority);
  size_t ahead = 0;
  for (size_t i = lane + 1; i < kLanes; ++i) ahead += lanes_[i].size();
  const auto same = lanes_[lane].upper_bound({item.deadline, next_arrival_});
  ahead += static_cast<size_t>(std::distance(lanes_[lane].begin(), same));
  const auto rounds = static_cast<int64_t>(ahead / std::max<size_t>(1, slots_));
  return now + mean_service_time_ * (rounds + 2) <= item.deadline;
}

WorkQueue::Lane* WorkQueue::PickLane() {
  ++selections_;
  if (selections_ % kLowestPriorityInterval == 0) {
    for (Lane& lane : lanes_) {
      if (!lane.empty()) return &lane;
    }
    return nullptr;
  }
  for (size_t i = kLanes; i > 0; --i) {
    if (!lanes_[i - 1].empty()) return &lanes_[i - 1];
  }
  return nullptr;
}

}  // namespace sesamesaddle
