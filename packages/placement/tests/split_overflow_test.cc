#include "placement/split_overflow.h"

#include <catch2/catch.hpp>
#include <string>

#include "steering_world.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kTargets = 4;
/** The last target is of the second service. */
constexpr size_t kSecond = kTargets - 1;
constexpr char kSecondService[] = "archive";

TEST_CASE("Only a saturated service overflows, and only into idler ones") {
  CHECK(SplitOverflow::IsSaturated(std::nullopt));
  CHECK(SplitOverflow::IsSaturated(2.0));
  CHECK_FALSE(SplitOverflow::IsSaturated(1.9));
  CHECK(SplitOverflow::Prefers(2.0, 0.9));
  CHECK_FALSE(SplitOverflow::Prefers(2.0, 1.0));
  CHECK(SplitOverflow::Prefers(6.0, 2.9));
  CHECK(SplitOverflow::Prefers(std::nullopt, 0.9));
  CHECK_FALSE(SplitOverflow::Prefers(std::nullopt, 1.0));
}

/** A route over two services; the second one is nearly idle. */
struct SplitFixture {
  explicit SplitFixture(SplitMode mode, int second_weight = 10)
      : world(2, kTargets, 41) {
    world.split = mode;
    world.SetService(kSecond, kSecondService);
    world.targets[kSecond]->slots = 6;
    world.AnnounceStart(kSecond);
    world.routes.version = 2;
    world.routes.routes.begin()->second.services = {
        {SteeringWorld::kService, 90}, {kSecondService, second_weight}};
    for (size_t i = 0; i < 2; ++i) {
      world.KillBalancer(i);
      world.StartBalancer(i);
    }
  }
  /** All clients send a request at once; returns how many were answered. */
  int SendAtOnce(int clients, Duration deadline) {
    for (int i = 0; i < clients; ++i) {
      world.AddClient(false).deadline = deadline;
    }
    for (int i = 0; i < clients; ++i) {
      world.clients[i]->Request("r" + std::to_string(i));
    }
    world.RunFor(seconds(2));
    int answered = 0;
    for (const auto& client : world.clients) {
      for (const auto& [id, result] : client->results) {
        answered += result.answered;
      }
    }
    return answered;
  }

  SteeringWorld world;
};

TEST_CASE("In a load peak free slots of the other service are used") {
  // Six slots of the first service finish 60 requests in 200 ms.
  SplitFixture strict(SplitMode::kStrict);
  SplitFixture overflow(SplitMode::kOverflow);
  const int with_strict = strict.SendAtOnce(100, milliseconds(230));
  const int with_overflow = overflow.SendAtOnce(100, milliseconds(230));
  INFO("strict " << with_strict << ", overflow " << with_overflow);
  CHECK(with_overflow > with_strict);
  CHECK(overflow.world.targets[kSecond]->accepted_flows >
        strict.world.targets[kSecond]->accepted_flows + 10);
}

TEST_CASE("By default a canary's share holds in a load peak") {
  // An operator's canary gets its tenth and no more, whatever the load.
  SplitFixture f(FlowBalancerOptions{Topology("", {})}.split);
  f.SendAtOnce(200, milliseconds(1500));
  CHECK(f.world.targets[kSecond]->accepted_flows > 5);
  CHECK(f.world.targets[kSecond]->accepted_flows < 40);
}

TEST_CASE("Without a load peak the weights hold") {
  SplitFixture f(SplitMode::kOverflow);
  for (int i = 0; i < 400; ++i) {
    f.world.AddClient(false).Request("r" + std::to_string(i));
    f.world.RunFor(milliseconds(5));
  }
  f.world.RunFor(seconds(1));
  // A tenth of 400.
  CHECK(f.world.targets[kSecond]->accepted_flows > 20);
  CHECK(f.world.targets[kSecond]->accepted_flows < 70);
}

TEST_CASE("A service of weight 0 gets no flows in a load peak") {
  SplitFixture f(SplitMode::kOverflow, 0);
  f.SendAtOnce(100, milliseconds(230));
  CHECK(f.world.targets[kSecond]->accepted_flows == 0);
}

TEST_CASE("Flows of a service without targets use the other service") {
  SplitFixture f(SplitMode::kOverflow);
  for (size_t i = 0; i < kSecond; ++i) f.world.Announce(i, true);
  CHECK(f.SendAtOnce(6, milliseconds(1500)) == 6);
  CHECK(f.world.targets[kSecond]->accepted_flows == 6);
}

}  // namespace
}  // namespace sesamesaddle
