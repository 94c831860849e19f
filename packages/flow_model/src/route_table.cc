#include "flow_model/route_table.h"

#include <algorithm>

#include "core/hash.h"
#include "flow_model/packet.h"

namespace sesamesaddle {

namespace {

constexpr uint32_t kRunsOnceBit = 1U << 15;
constexpr int64_t kMaxWaitedMs = 0xffff;
constexpr int64_t kMaxLatencyMs = 0x7fff;

uint32_t ClipMilliseconds(Duration duration, int64_t max) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(ms, 0, max));
}

}  // namespace

uint32_t SynTimes::Pack() const {
  return (runs_once ? kRunsOnceBit : 0) |
         (ClipMilliseconds(waited, kMaxWaitedMs) << 16) |
         ClipMilliseconds(target_latency, kMaxLatencyMs);
}

SynTimes SynTimes::Unpack(uint32_t packed) {
  return {std::chrono::milliseconds(packed >> 16),
          std::chrono::milliseconds(packed & kMaxLatencyMs),
          (packed & kRunsOnceBit) != 0};
}

const Route* RouteTable::Find(const Endpoint& address) const {
  const auto it = routes.find(address);
  return it == routes.end() ? nullptr : &it->second;
}

const SlowStart* RouteTable::FindSlowStart(const std::string& service) const {
  const auto it = slow_starts.find(service);
  return it == slow_starts.end() ? nullptr : &it->second;
}

const std::string& PickService(const Route& route, const Flow& flow) {
  constexpr uint64_t kSeed =
      0x5e;  // Makes the choice independent of that of a target.
  int64_t total = 0;
  for (const auto& share : route.services) total += share.weight;
  if (route.services.size() == 1 || total <= 0) {
    return route.services.front().service;
  }
  auto point = static_cast<int64_t>(HashPair(HashFlow(flow), 0, kSeed) %
                                    static_cast<uint64_t>(total));
  for (const auto& share : route.services) {
    if (point < share.weight) return share.service;
    point -= share.weight;
  }
  return route.services.back().service;
}

}  // namespace sesamesaddle
