#include "routing/flow_directory.h"

namespace sesamesaddle {

std::optional<Ownership> FlowDirectory::Register(const Flow& flow,
                                                 Ownership ownership) {
  const auto [it, inserted] = entries_.emplace(flow, ownership);
  if (inserted || it->second.owner == ownership.owner ||
      it->second.epoch < ownership.epoch) {
    it->second = ownership;
    return {};
  }
  return it->second;
}

void FlowDirectory::Remove(const Flow& flow, MemberId owner) {
  const auto it = entries_.find(flow);
  if (it != entries_.end() && it->second.owner == owner) entries_.erase(it);
}

std::optional<Ownership> FlowDirectory::Find(const Flow& flow) const {
  const auto it = entries_.find(flow);
  if (it == entries_.end()) return {};
  return it->second;
}

void FlowDirectory::RemoveIf(
    const std::function<bool(const Flow&, const Ownership&)>& drop) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = drop(it->first, it->second) ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace sesamesaddle
