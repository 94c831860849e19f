#include "membership/news_queue.h"

#include <algorithm>

namespace sesamesaddle {

void NewsQueue::Add(MemberId member) {
  Remove(member);
  tells_[member] = 0;
  order_.emplace(0, member);
}

void NewsQueue::Remove(MemberId member) {
  const auto it = tells_.find(member);
  if (it == tells_.end()) return;
  const auto [begin, end] = order_.equal_range(it->second);
  const auto entry = std::find_if(
      begin, end, [member](const auto& e) { return e.second == member; });
  if (entry != end) order_.erase(entry);
  tells_.erase(it);
}

std::vector<MemberId> NewsQueue::Take(size_t limit, int max_tells) {
  std::vector<MemberId> taken;
  while (taken.size() < limit && !order_.empty()) {
    taken.push_back(order_.begin()->second);
    order_.erase(order_.begin());
  }
  for (const MemberId member : taken) {
    const int told = ++tells_[member];
    if (told >= max_tells) {
      tells_.erase(member);
    } else {
      order_.emplace(told, member);
    }
  }
  return taken;
}

}  // namespace sesamesaddle
