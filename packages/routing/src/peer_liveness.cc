#include "routing/peer_liveness.h"

namespace sesamesaddle {

void PeerLiveness::OnSent(TimePoint now, MemberId peer) {
  waiting_.try_emplace(peer, Waiting{now, now + kProbeAfter});
}

void PeerLiveness::OnReceived(TimePoint /*now*/, MemberId peer) {
  waiting_.erase(peer);
}

bool PeerLiveness::Silent(TimePoint now, MemberId peer) const {
  const auto it = waiting_.find(peer);
  return it != waiting_.end() && now - it->second.since >= kSilentAfter;
}

std::vector<MemberId> PeerLiveness::TakePeersToProbe(TimePoint now) {
  std::vector<MemberId> probes;
  for (auto& [peer, waiting] : waiting_) {
    if (now < waiting.next_probe) continue;
    waiting.next_probe = now + kProbeAfter;
    probes.push_back(peer);
  }
  return probes;
}

}  // namespace sesamesaddle
