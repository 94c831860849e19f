#include "steering/syn_queue.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {

bool SynQueue::HasRoom(int work, int slots) {
  return work < slots * kAdmittedPerSlot;
}

bool SynQueue::Push(WaitingSyn syn, int slots) {
  if (waiting_.size() >= static_cast<size_t>(slots) * kMaxPerSlot) return false;
  waiting_.push_back(std::move(syn));
  return true;
}

std::optional<WaitingSyn> SynQueue::Pop(TimePoint now) {
  if (waiting_.empty()) return std::nullopt;
  const auto first =
      std::min_element(waiting_.begin(), waiting_.end(),
                       [now](const WaitingSyn& a, const WaitingSyn& b) {
                         return UrgencyOf(a, now) < UrgencyOf(b, now);
                       });
  WaitingSyn syn = std::move(*first);
  waiting_.erase(first);
  return syn;
}

std::vector<WaitingSyn> SynQueue::TakeExpired(TimePoint now) {
  const auto kept = std::stable_partition(
      waiting_.begin(), waiting_.end(), [now](const WaitingSyn& syn) {
        return now - syn.arrived <= kLongestWait;
      });
  std::vector<WaitingSyn> expired(std::make_move_iterator(kept),
                                  std::make_move_iterator(waiting_.end()));
  waiting_.erase(kept, waiting_.end());
  return expired;
}

std::vector<WaitingSyn> SynQueue::TakeAll() {
  return std::exchange(waiting_, {});
}

bool SynQueue::Contains(const Flow& flow) const {
  return std::any_of(
      waiting_.begin(), waiting_.end(),
      [&flow](const WaitingSyn& syn) { return syn.flow == flow; });
}

Urgency SynQueue::UrgencyOf(const WaitingSyn& syn, TimePoint now) {
  const Duration waited = syn.waited_before + (now - syn.arrived);
  return {syn.priority, waited > syn.target_latency,
          syn.arrived - syn.waited_before};
}

}  // namespace sesamesaddle
