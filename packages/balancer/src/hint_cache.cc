#include "balancer/hint_cache.h"

namespace sesamesaddle {

void HintCache::Put(const Flow& flow, MemberId owner) {
  if (capacity_ == 0) return;
  const auto it = entries_.find(flow);
  if (it != entries_.end()) {
    it->second->owner = owner;
    recent_.splice(recent_.begin(), recent_, it->second);
    return;
  }
  if (entries_.size() >= capacity_) {
    entries_.erase(recent_.back().flow);
    recent_.pop_back();
  }
  recent_.push_front({flow, owner});
  entries_[flow] = recent_.begin();
}

std::optional<MemberId> HintCache::Find(const Flow& flow) {
  const auto it = entries_.find(flow);
  if (it == entries_.end()) return {};
  recent_.splice(recent_.begin(), recent_, it->second);
  return it->second->owner;
}

void HintCache::Remove(const Flow& flow) {
  const auto it = entries_.find(flow);
  if (it == entries_.end()) return;
  recent_.erase(it->second);
  entries_.erase(it);
}

}  // namespace sesamesaddle
