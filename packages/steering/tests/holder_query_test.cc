// Queries by which a balancer confirms that a flow's target holds the flow.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "steering_world.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kSeed = 11;

/** A fleet with one balancer and one client, which sends short requests. */
struct HolderQueryWorld : SteeringWorld {
  HolderQueryWorld() : SteeringWorld(1, 2, kSeed) {
    AddClient(true);
    for (auto& target : targets) target->work = milliseconds(2);
    RunFor(milliseconds(500));
    queries = 0;
  }
  void Request(const std::string& name, Duration wait) {
    clients.front()->Request(name);
    RunFor(wait);
    CHECK(clients.front()->results[name].answered);
  }
  bool Accepted() {
    const std::vector<BalancerFlow> flows = balancer(0)->Flows(scheduler.Now());
    REQUIRE(flows.size() == 1);
    return flows.front().accepted;
  }
};

// Guards against a query for each new flow whose target's report is on its way.
TEST_CASE("A flow whose SYN came here alone costs no query") {
  HolderQueryWorld world;
  world.report_delay = milliseconds(50);
  for (int i = 0; i < 4; ++i) {
    world.Request("r" + std::to_string(i), milliseconds(10));
  }
  CHECK(world.queries == 0);
  world.RunFor(milliseconds(200));
  CHECK(world.Accepted());
}

// Guards against a flow that stays unconfirmed because one datagram was lost.
TEST_CASE("A flow is asked about once its target's report is overdue") {
  HolderQueryWorld world;
  world.lose_reports = true;
  world.Request("first", FlowBalancer::kAcceptTimeout);
  world.lose_reports = false;
  CHECK_FALSE(world.Accepted());
  world.Request("second", milliseconds(100));
  CHECK(world.queries == 1);
  CHECK(world.Accepted());
}

}  // namespace
}  // namespace sesamesaddle
