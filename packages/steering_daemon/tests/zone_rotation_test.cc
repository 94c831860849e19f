#include "steering_daemon/zone_rotation.h"

#include <catch2/catch.hpp>

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));

/** Returns the rotation of a balancer whose peers joined 60 s ago. */
ZoneRotation RotationWithPeers(int peers) {
  ZoneRotation rotation("a");
  for (int i = 0; i < peers; ++i) {
    rotation.OnPeerListed(kNow - seconds(60), "peer-" + std::to_string(i), "a");
  }
  return rotation;
}

TEST_CASE("A single balancer may leave a zone of one, two or three") {
  CHECK(RotationWithPeers(0).MayLeave(kNow));
  CHECK(RotationWithPeers(1).MayLeave(kNow));
  CHECK(RotationWithPeers(2).MayLeave(kNow));
}

TEST_CASE("A balancer does not leave while a peer stops at the same time") {
  ZoneRotation rotation = RotationWithPeers(2);
  rotation.OnPeerRemoved(kNow, "peer-0");
  CHECK_FALSE(rotation.MayLeave(kNow));
  // Listed again, but not yet probed by the routers.
  rotation.OnPeerListed(kNow + milliseconds(800), "peer-0", "a");
  CHECK_FALSE(rotation.MayLeave(kNow + milliseconds(1399)));
  CHECK(rotation.MayLeave(kNow + milliseconds(1400)));
}

TEST_CASE("A removed peer delays a stop only until the return timeout") {
  ZoneRotation rotation = RotationWithPeers(2);
  rotation.OnPeerRemoved(kNow, "peer-0");
  CHECK_FALSE(
      rotation.MayLeave(kNow + ZoneRotation::kReturnTimeout - milliseconds(1)));
  CHECK(rotation.MayLeave(kNow + ZoneRotation::kReturnTimeout));
}

TEST_CASE("Several balancers of a large zone may leave at once, but not half") {
  ZoneRotation rotation = RotationWithPeers(7);
  for (int i = 0; i < 3; ++i) {
    CHECK(rotation.MayLeave(kNow));
    rotation.OnPeerRemoved(kNow, "peer-" + std::to_string(i));
  }
  CHECK(rotation.MayLeave(kNow));
  rotation.OnPeerRemoved(kNow, "peer-3");
  CHECK_FALSE(rotation.MayLeave(kNow));
}

TEST_CASE("Balancers of other zones are ignored") {
  ZoneRotation rotation = RotationWithPeers(2);
  rotation.OnPeerListed(kNow, "far", "b");
  rotation.OnPeerRemoved(kNow, "far");
  CHECK(rotation.MayLeave(kNow));
}

}  // namespace
}  // namespace sesamesaddle
