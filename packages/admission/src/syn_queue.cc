#include "admission/syn_queue.h"

#include <algorithm>
#include <utility>

#include "admission/syn_patience.h"

namespace sesamesaddle {

bool SynQueue::HasRoom(int work, int slots) {
  return work < slots * kMaxAdmittedPerSlot;
}

std::optional<QueuedSyn> SynQueue::Push(TimePoint now, QueuedSyn syn,
                                        int slots) {
  if (syns_.size() < static_cast<size_t>(slots) * kMaxQueuedPerSlot) {
    syns_.push_back(std::move(syn));
    return std::nullopt;
  }
  if (order_ == QueueOrder::kDeadline) {
    const auto last =
        std::max_element(syns_.begin(), syns_.end(),
                         [this, now](const QueuedSyn& a, const QueuedSyn& b) {
                           return Before(a, b, now);
                         });
    if (last != syns_.end() && Before(syn, *last, now)) std::swap(*last, syn);
  }
  return syn;
}

std::optional<QueuedSyn> SynQueue::Pop(TimePoint now) {
  if (syns_.empty()) return std::nullopt;
  const auto first =
      std::min_element(syns_.begin(), syns_.end(),
                       [this, now](const QueuedSyn& a, const QueuedSyn& b) {
                         return Before(a, b, now);
                       });
  QueuedSyn syn = std::move(*first);
  syns_.erase(first);
  return syn;
}

std::vector<QueuedSyn> SynQueue::TakeExpired(TimePoint now) {
  const auto kept = std::stable_partition(
      syns_.begin(), syns_.end(),
      [now](const QueuedSyn& syn) { return now - syn.arrived <= kMaxWait; });
  std::vector<QueuedSyn> expired(std::make_move_iterator(kept),
                                 std::make_move_iterator(syns_.end()));
  syns_.erase(kept, syns_.end());
  return expired;
}

std::vector<QueuedSyn> SynQueue::TakeAll() { return std::exchange(syns_, {}); }

bool SynQueue::RecordCopy(const Flow& flow, uint32_t copies) {
  const auto it =
      std::find_if(syns_.begin(), syns_.end(),
                   [&flow](const QueuedSyn& syn) { return syn.flow == flow; });
  if (it == syns_.end()) return false;
  it->copies = std::max(it->copies, copies);
  return true;
}

Duration SynQueue::Waited(const QueuedSyn& syn, TimePoint now) {
  return syn.waited_before + (now - syn.arrived);
}

Urgency SynQueue::UrgencyOf(const QueuedSyn& syn, TimePoint now) const {
  const Duration waited = Waited(syn, now);
  const Duration needed =
      order_ == QueueOrder::kDeadline ? service_time_ : Duration::zero();
  return {SynPatience::ProbablyAbandoned(waited, syn.copies), syn.priority,
          waited + needed > syn.target_latency, now - waited};
}

bool SynQueue::Before(const QueuedSyn& a, const QueuedSyn& b,
                      TimePoint now) const {
  return UrgencyOrder(order_)(UrgencyOf(a, now), UrgencyOf(b, now));
}

}  // namespace sesamesaddle
