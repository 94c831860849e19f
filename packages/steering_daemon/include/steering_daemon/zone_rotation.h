#ifndef SESAMESADDLE_STEERING_DAEMON_ZONE_ROTATION_H_
#define SESAMESADDLE_STEERING_DAEMON_ZONE_ROTATION_H_

#include <map>
#include <string>

#include "core/time.h"

namespace sesamesaddle {

/**
 * Decides when a stopping balancer may leave the routers' rotation. While fewer
 * than half of a zone's balancers are in rotation, the routers send packets to
 * all of them, including those that are down. Stops that coincide are therefore
 * staggered as far as the stop timeout allows.
 */
class ZoneRotation {
 public:
  /**
   * Time from a balancer's entry in the directory until the routers, which
   * probe twice a second, send it packets.
   */
  static constexpr Duration kJoinDelay = std::chrono::milliseconds(600);
  /** A balancer that was removed for longer is not expected to return. */
  static constexpr Duration kReturnTimeout = std::chrono::seconds(5);

  explicit ZoneRotation(std::string zone) : zone_(std::move(zone)) {}

  /** Records that another balancer is listed in the directory. */
  void OnPeerListed(TimePoint now, const std::string& name,
                    const std::string& zone);
  /** Records that its entry was removed: it stops or has failed. */
  void OnPeerRemoved(TimePoint now, const std::string& name);

  /** Returns whether half of the zone stays in rotation without this one. */
  bool MayLeave(TimePoint now) const;

 private:
  struct Peer {
    bool listed = false;
    TimePoint since{};
  };

  std::string zone_;
  /** The other balancers of the zone. */
  std::map<std::string, Peer> peers_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_ZONE_ROTATION_H_
