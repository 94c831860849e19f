#ifndef SESAMESADDLE_ROUTING_PEER_LIVENESS_H_
#define SESAMESADDLE_ROUTING_PEER_LIVENESS_H_

#include <unordered_map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Tells from the data path alone which peers have gone silent, seconds before
 * gossip finds them dead. Whatever is sent to a peer expects something back.
 */
class PeerLiveness {
 public:
  /** A peer that is silent this long is asked for a sign of life. */
  static constexpr Duration kProbeAfter = std::chrono::milliseconds(250);
  /** A peer that is silent this long is passed over. */
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(750);

  /** Something was sent that the peer should answer or acknowledge. */
  void OnSent(TimePoint now, MemberId peer);
  void OnReceived(TimePoint now, MemberId peer);
  void Forget(MemberId peer) { waiting_.erase(peer); }

  bool Silent(TimePoint now, MemberId peer) const;
  /** @return peers to probe now; each at most once in kProbeAfter. */
  std::vector<MemberId> TakePeersToProbe(TimePoint now);
  /** The process was paused: nobody is to blame for the silence. */
  void Reset() { waiting_.clear(); }

 private:
  struct Waiting {
    TimePoint since;
    TimePoint next_probe;
  };

  // Only peers that owe a sign of life.
  std::unordered_map<MemberId, Waiting> waiting_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ROUTING_PEER_LIVENESS_H_
