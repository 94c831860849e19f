#include "routing/peer_liveness.h"

namespace sesamesaddle {

void PeerLiveness::OnSent(TimePoint now, MemberId peer) {
  pending_replies_.try_emplace(peer, PendingReply{now, now + kProbeAfter});
}

void PeerLiveness::OnReceived(TimePoint /*now*/, MemberId peer) {
  pending_replies_.erase(peer);
}

bool PeerLiveness::Silent(TimePoint now, MemberId peer) const {
  const auto it = pending_replies_.find(peer);
  return it != pending_replies_.end() && now - it->second.since >= kSilentAfter;
}

std::vector<MemberId> PeerLiveness::TakePeersToProbe(TimePoint now) {
  std::vector<MemberId> probes;
  for (auto& [peer, pending] : pending_replies_) {
    if (now < pending.next_probe) continue;
    pending.next_probe = now + kProbeAfter;
    probes.push_back(peer);
  }
  return probes;
}

}  // namespace sesamesaddle
