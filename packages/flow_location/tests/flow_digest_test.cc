// Searches with digests through balancers, agents and targets on the virtual
// clock.

#include <catch2/catch.hpp>
#include <string>

#include "steering_world.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kTargets = 48;
constexpr int kClients = 200;

/** Clients with open flows at 48 targets behind one balancer. */
struct LostFlowsFixture {
  explicit LostFlowsFixture(uint64_t seed) : world(1, kTargets, seed) {
    for (int i = 0; i < kClients; ++i) {
      // A request that may not be repeated ends with its reset.
      world.AddClient(true).repeatable = false;
    }
    REQUIRE(RunRounds(world, 2, milliseconds(250)) == 2 * kClients);
  }

  /** Restarts the target with its agent, as after a power loss. */
  void RestartTarget(size_t i) {
    world.targets[i]->Start();
    world.KillAgent(i);
    world.StartAgent(i);
    world.AnnounceStart(i);
  }
  void RestartBalancer() {
    world.KillBalancer(0);
    world.StartBalancer(0);
  }

  SteeringWorld world;
};

/**
 * Restarts everything, sends a request on each flow, one per `spacing`, and
 * returns the number of queries until all clients have their resets.
 */
int QueriesAfterRestart(Duration spacing) {
  LostFlowsFixture f(61);
  for (size_t i = 0; i < kTargets; ++i) f.RestartTarget(i);
  f.RestartBalancer();
  const int queries = f.world.queries;
  for (int i = 0; i < kClients; ++i) {
    f.world.scheduler.After(spacing * i, [&f, i] {
      f.world.clients[static_cast<size_t>(i)]->Request("lost");
    });
  }
  f.world.RunFor(spacing * kClients + milliseconds(150));
  CHECK(Resets(f.world) == kClients);
  return f.world.queries - queries;
}

TEST_CASE("After a restart of all processes all flows share the queries") {
  // A query for each flow and agent filled the links of small balancers.
  const int at_once = QueriesAfterRestart(Duration::zero());
  const int spread = QueriesAfterRestart(milliseconds(1));
  INFO(at_once << " queries, " << spread << " if spread over 200 ms");
  // Each agent is one of the likely ones of some flows, and gives digests in
  // two rounds.
  CHECK(at_once <= 3 * static_cast<int>(kTargets));
  // Twelve rounds of 32 agents in 240 ms, and queries to the two likely agents
  // of each flow.
  CHECK(spread <= 12 * 32 + 2 * kClients);
}

}  // namespace
}  // namespace sesamesaddle
