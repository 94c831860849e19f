#include "steering_daemon/zone_rotation.h"

#include <utility>

namespace sesamesaddle {

void ZoneRotation::OnPeerListed(TimePoint now, const std::string& name,
                                const std::string& zone) {
  if (zone != zone_) return;
  Peer& peer = peers_[name];
  if (peer.listed) return;
  peer = {true, now};
}

void ZoneRotation::OnPeerRemoved(TimePoint now, const std::string& name) {
  const auto it = peers_.find(name);
  if (it == peers_.end() || !it->second.listed) return;
  it->second = {false, now};
}

bool ZoneRotation::MayLeave(TimePoint now) const {
  size_t serving = 0;
  size_t expected = 0;
  for (const auto& [name, peer] : peers_) {
    if (peer.listed) {
      ++expected;
      if (now - peer.since >= kJoinDelay) ++serving;
    } else if (now - peer.since < kReturnTimeout) {
      ++expected;
    }
  }
  const size_t zone_size = expected + 1;
  return 2 * serving >= zone_size || expected == 0;
}

}  // namespace sesamesaddle
