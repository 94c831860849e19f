// The part of BalancerProcess that follows the operators' evacuations of
// availability zones.

#include <utility>
#include <vector>

#include "core/text.h"
#include "steering_daemon/balancer_process.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";

}  // namespace

bool BalancerProcess::IsEvacuationKey(const std::string& key) const {
  return HasPrefix(key, deps_.decoder.evacuation_prefix());
}

std::string BalancerProcess::ZoneOf(const std::string& key) const {
  return key.substr(deps_.decoder.evacuation_prefix().size());
}

void BalancerProcess::OnEvacuation(const std::string& key, bool evacuated,
                                   StoreRevision revision) {
  schema::ZoneState state;
  state.zone = ZoneOf(key);
  if (state.zone.empty()) {
    LogLine(deps_.log, EventKind::kMalformedInput, kLogComponent,
            "evacuation-without-zone")
        .Add("key", key)
        .Add("revision", revision.number);
    return;
  }
  state.evacuated = evacuated;
  state.era = revision.era.value();
  state.revision = revision.number;
  balancer_.ApplyZone(deps_.loop.Now(), state,
                      follower_.copying_from_peer() ? "peer" : "store");
  // Schedules the notices to the agents.
  Flush();
}

void BalancerProcess::OnEvacuationsListed(const std::set<std::string>& keys,
                                          StoreRevision as_of) {
  std::set<std::string> zones;
  for (const std::string& key : keys) zones.insert(ZoneOf(key));
  balancer_.ApplyZoneList(deps_.loop.Now(), zones, as_of);
  Flush();
}

void BalancerProcess::UpdateNotifiers() {
  std::vector<Endpoint> peers;
  peers.reserve(exchange_.peer_count());
  for (const auto& [key, peer] : exchange_.peers()) {
    peers.push_back(peer.control);
  }
  balancer_.SetBalancers(
      PeerEndpoint(settings_, settings_.ip, PeerPort::kControl),
      std::move(peers));
}

}  // namespace sesamesaddle
