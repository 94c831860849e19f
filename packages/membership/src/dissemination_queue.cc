#include "membership/dissemination_queue.h"

#include <algorithm>

namespace sesamesaddle {

void DisseminationQueue::Add(MemberId member) {
  Remove(member);
  transmissions_[member] = 0;
  order_.emplace(0, member);
}

void DisseminationQueue::Remove(MemberId member) {
  const auto it = transmissions_.find(member);
  if (it == transmissions_.end()) return;
  const auto [begin, end] = order_.equal_range(it->second);
  const auto entry = std::find_if(
      begin, end, [member](const auto& e) { return e.second == member; });
  if (entry != end) order_.erase(entry);
  transmissions_.erase(it);
}

std::vector<MemberId> DisseminationQueue::Take(size_t limit,
                                               int max_transmissions) {
  std::vector<MemberId> taken;
  while (taken.size() < limit && !order_.empty()) {
    taken.push_back(order_.begin()->second);
    order_.erase(order_.begin());
  }
  for (const MemberId member : taken) {
    const int count = ++transmissions_[member];
    if (count >= max_transmissions) {
      transmissions_.erase(member);
    } else {
      order_.emplace(count, member);
    }
  }
  return taken;
}

}  // namespace sesamesaddle
