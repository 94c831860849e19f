#include "flow_location/route_history.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "steering_world.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Services = std::vector<std::string>;

const TimePoint kNow(seconds(1000));
const Endpoint kAddress(0xc6120001, 443);

RouteTable MakeTable(const Services& services) {
  RouteTable table;
  for (const std::string& service : services) {
    table.routes[kAddress].services.push_back({service, 1});
  }
  return table;
}

struct History {
  void Apply(TimePoint now, const Services& services,
             UpdateContinuity continuity = UpdateContinuity::kContiguous) {
    RouteTable next = MakeTable(services);
    history.Record(now, table, next, continuity);
    table = std::move(next);
  }
  Services At(TimePoint now) const {
    return history.ServicesOf(now, kAddress, table.routes.at(kAddress));
  }

  RouteTable table;
  RouteHistory history{seconds(60)};
};

TEST_CASE("Former services of a route are returned for a flow lifetime") {
  History h;
  h.Apply(kNow, {"a"});
  h.Apply(kNow + seconds(10), {"b", "c"});
  h.Apply(kNow + seconds(20), {"c"});
  CHECK(h.At(kNow + seconds(20)) == Services{"c", "a", "b"});
  CHECK(h.At(kNow + seconds(70)) == Services{"c", "a", "b"});
  CHECK(h.At(kNow + seconds(71)) == Services{"c", "b"});
  CHECK(h.At(kNow + seconds(81)) == Services{"c"});
}

TEST_CASE("A service that returns to its route is listed once") {
  History h;
  h.Apply(kNow, {"a"});
  h.Apply(kNow + seconds(1), {"b"});
  h.Apply(kNow + seconds(2), {"a"});
  CHECK(h.At(kNow + seconds(3)) == Services{"a", "b"});
}

TEST_CASE("The history is complete a flow lifetime after its start or a gap") {
  History h;
  CHECK_FALSE(h.history.CoversFlowLifetime(kNow));
  h.Apply(kNow, {"a"});
  CHECK_FALSE(h.history.CoversFlowLifetime(kNow + seconds(60)));
  CHECK(h.history.CoversFlowLifetime(kNow + seconds(61)));
  h.Apply(kNow + seconds(70), {"b"});
  CHECK(h.history.CoversFlowLifetime(kNow + seconds(70)));
  h.Apply(kNow + seconds(80), {"c"}, UpdateContinuity::kAfterGap);
  CHECK_FALSE(h.history.CoversFlowLifetime(kNow + seconds(80)));
  CHECK(h.history.CoversFlowLifetime(kNow + seconds(141)));
}

/**
 * Starts 3 targets of one service and 60 of another, restarts the 3 after
 * `uptime`, so that their flows are lost, and returns the number of queries
 * with which the balancer finds that out.
 */
int QueriesForLostFlows(Duration uptime) {
  SteeringWorld world(1, 63, 41);
  for (size_t i = 3; i < 63; ++i) world.SetService(i, "reports");
  for (int i = 0; i < 12; ++i) world.AddClient(true);
  CHECK(RunRounds(world, 1, milliseconds(250)) == 12);
  world.RunFor(uptime);
  CHECK(RunRounds(world, 1, milliseconds(250)) == 12);
  for (size_t i = 0; i < 3; ++i) {
    world.targets[i]->Start();
    world.KillAgent(i);
    world.StartAgent(i);
    world.AnnounceStart(i);
  }
  const int before = world.queries;
  const int resets = Resets(world);
  // The balancer's cached holders reply that they do not hold the flows.
  CHECK(RunRounds(world, 1, milliseconds(250)) == 12);
  CHECK(Resets(world) == resets + 12);
  return world.queries - before;
}

TEST_CASE(
    "With a complete history a search queries only services of the route") {
  const int young = QueriesForLostFlows(seconds(1));
  const int grown = QueriesForLostFlows(seconds(61));
  INFO(young << " and " << grown << " queries");
  CHECK(young >= 60);
  CHECK(grown <= 12);
}

TEST_CASE("A flow stays reachable after its route moves to another service") {
  SteeringWorld world(2, 3, 42);
  world.SetService(2, "reports");
  for (int i = 0; i < 8; ++i) world.AddClient(true);
  CHECK(RunRounds(world, 1, milliseconds(250)) == 8);
  world.RunFor(seconds(65));
  for (auto& client : world.clients) client->Close();
  CHECK(RunRounds(world, 1, milliseconds(250)) == 8);
  world.routes.version = 2;
  world.routes.routes[SteeringWorld::RouteAddress()].services = {
      {"reports", 1}};
  for (size_t i = 0; i < 2; ++i) {
    world.balancer(i)->Apply(world.scheduler.Now(), world.routes);
  }
  // The flows move to the other balancer, which must query the former service.
  world.KillBalancer(0);
  CHECK(RunRounds(world, 2, milliseconds(250)) == 16);
  CHECK(Resets(world) == 0);
}

}  // namespace
}  // namespace sesamesaddle
