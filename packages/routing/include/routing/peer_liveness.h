#ifndef SESAMESADDLE_ROUTING_PEER_LIVENESS_H_
#define SESAMESADDLE_ROUTING_PEER_LIVENESS_H_

#include <unordered_map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Detects silent peers from data path traffic alone, seconds before gossip
 * marks them as dead. Every message sent to a peer expects a reply.
 */
class PeerLiveness {
 public:
  /** A peer without a reply for this long is probed. */
  static constexpr Duration kProbeAfter = std::chrono::milliseconds(250);
  /** A peer without a reply for this long counts as silent. */
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(750);

  /** Records a message that the peer should answer or acknowledge. */
  void OnSent(TimePoint now, MemberId peer);
  /** Records any message from the peer. */
  void OnReceived(TimePoint now, MemberId peer);
  void Forget(MemberId peer) { pending_replies_.erase(peer); }

  bool Silent(TimePoint now, MemberId peer) const;
  /** Returns the peers to probe now, each at most once per kProbeAfter. */
  std::vector<MemberId> TakePeersToProbe(TimePoint now);
  /**
   * Drops all pending replies after a pause of this process, since the silence
   * of its peers then says nothing about them.
   */
  void Reset() { pending_replies_.clear(); }

 private:
  struct PendingReply {
    TimePoint since;
    TimePoint next_probe;
  };

  // Only peers with an outstanding reply.
  std::unordered_map<MemberId, PendingReply> pending_replies_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ROUTING_PEER_LIVENESS_H_
