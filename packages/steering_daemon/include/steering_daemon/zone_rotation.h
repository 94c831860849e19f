#ifndef SESAMESADDLE_STEERING_DAEMON_ZONE_ROTATION_H_
#define SESAMESADDLE_STEERING_DAEMON_ZONE_ROTATION_H_

#include <map>
#include <string>

#include "core/time.h"

namespace sesamesaddle {

/**
 * When a balancer that stops may leave the routers' rotation. While fewer than
 * half of a zone's balancers are in rotation, the routers send packets to all
 * of them, also to those that are down; so stops that come close together are
 * spread as far as the time for a stop allows.
 */
class ZoneRotation {
 public:
  /** Time from a balancer's entry until the routers, which ask twice a second,
   * send it packets. */
  static constexpr Duration kJoinTime = std::chrono::milliseconds(600);
  /** A balancer that was away for longer is not expected back. */
  static constexpr Duration kReturnTime = std::chrono::seconds(5);

  explicit ZoneRotation(std::string zone) : zone_(std::move(zone)) {}

  /** Another balancer is listed in the directory. */
  void OnListed(TimePoint now, const std::string& name,
                const std::string& zone);
  /** Its entry is gone: it stops, or is lost. */
  void OnRemoved(TimePoint now, const std::string& name);

  /** Whether half of the zone stays in rotation without this balancer. */
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
