#include "flow_location/unrouted_flows.h"

#include <utility>

namespace sesamesaddle {

void UnroutedFlows::Add(TimePoint now, const Flow& flow, uint32_t acknowledged,
                        std::string packet) {
  const auto known = flows_.find(flow);
  if (known == flows_.end() && flows_.size() >= kMaxFlows) return;
  Waiting& waiting = known == flows_.end() ? flows_[flow] : known->second;
  if (waiting.packets.empty()) waiting.first_arrived = now;
  waiting.acknowledged = acknowledged;
  if (waiting.packets.size() < kMaxPackets) {
    waiting.packets.push_back(std::move(packet));
  }
}

std::vector<UnroutedFlows::Packets> UnroutedFlows::TakeRouted(
    const RouteTable& routes) {
  std::vector<Packets> routed;
  for (auto it = flows_.begin(); it != flows_.end();) {
    if (routes.Find(it->first.service) == nullptr) {
      ++it;
      continue;
    }
    routed.push_back({it->first, std::move(it->second.packets)});
    it = flows_.erase(it);
  }
  return routed;
}

std::vector<UnroutedFlows::Absent> UnroutedFlows::TakeAbsent(
    const RouteTable& routes, TimePoint read_began) {
  std::vector<Absent> absent;
  for (auto it = flows_.begin(); it != flows_.end();) {
    const auto evidence = RouteAbsent::Check(it->second.first_arrived,
                                             read_began, routes.version);
    if (!evidence || routes.Find(it->first.service) != nullptr) {
      ++it;
      continue;
    }
    absent.push_back({it->first, it->second.acknowledged, *evidence});
    it = flows_.erase(it);
  }
  return absent;
}

void UnroutedFlows::Expire(TimePoint now) {
  for (auto it = flows_.begin(); it != flows_.end();) {
    it = now - it->second.first_arrived > kMaxWait ? flows_.erase(it)
                                                   : std::next(it);
  }
}

}  // namespace sesamesaddle
