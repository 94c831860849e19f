// Evacuation of an availability zone: no new flow may reach its targets,
// whatever a single balancer or agent knows, while open flows live on.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "zone_world.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto& kEast = ZoneWorld::kEast;
constexpr auto& kWest = ZoneWorld::kWest;

/**
 * Time in which a change reaches the agents and their reports come back; a
 * notice to the same agent shortly before delays it.
 */
constexpr Duration kNoticeTime =
    NoticeSchedule::kMinInterval + milliseconds(50);

void CheckAllAnswered(const SteeringWorld& world) {
  for (const auto& client : world.clients) {
    for (const auto& [id, result] : client->results) CHECK(result.answered);
  }
}

TEST_CASE("Without an evacuation no process says anything about zones") {
  ZoneWorld world(4, 6, 1);
  world.AddClients(30, false);
  CHECK(RunRounds(world, 10, milliseconds(250)) == 300);
  CHECK(world.notices == 0);
  CHECK(world.reports_with_zone == 0);
}

TEST_CASE("New flows leave an evacuated zone and open flows live on") {
  ZoneWorld world(3, 6, 2);
  world.AddClients(20, true);
  world.AddClients(20, false);
  RunRounds(world, 4, milliseconds(250));
  const int before = world.AcceptedInEast();
  REQUIRE(before > 0);
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  CHECK(world.EvacuatedAgents() == 3);
  size_t completed = 0;
  for (size_t i = 0; i < 3; ++i) {
    completed += world.targets[i]->completed_requests.size();
  }
  RunRounds(world, 10, milliseconds(250));
  CHECK(world.AcceptedInEast() == before);
  size_t completed_after = 0;
  for (size_t i = 0; i < 3; ++i) {
    completed_after += world.targets[i]->completed_requests.size();
  }
  // The clients that keep their flows still send requests there.
  CHECK(completed_after > completed);
  CheckAllAnswered(world);
  CHECK(Resets(world) == 0);
}

TEST_CASE(
    "Agents refuse uninformed balancers, which learn from their reports") {
  ZoneWorld world(4, 6, 3);
  world.AddClients(40, false);
  RunRounds(world, 2, milliseconds(250));
  world.stale_balancers = {0, 1};
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  REQUIRE(world.EvacuatedAgents() == 3);
  REQUIRE_FALSE(world.zones(0).Evacuated(kEast));
  const int before = world.AcceptedInEast();
  RunRounds(world, 8, milliseconds(250));
  CHECK(world.AcceptedInEast() == before);
  CHECK(world.Refused() > 0);
  CHECK(world.zones(0).Evacuated(kEast));
  CHECK(world.zones(1).Evacuated(kEast));
  CheckAllAnswered(world);
}

TEST_CASE("An agent that restarts in an evacuated zone is notified again") {
  ZoneWorld world(5, 6, 4);
  world.AddClients(20, true);
  RunRounds(world, 2, milliseconds(250));
  world.Evacuate(kEast);
  world.RunFor(seconds(1));
  world.KillAgent(0);
  world.StartAgent(0);
  REQUIRE_FALSE(world.agent(0)->zone_evacuated());
  SECTION("at its new entry") {
    world.Announce(0);
    world.RunFor(kNoticeTime);
  }
  SECTION("after a report, if those notices are lost") {
    world.lose_notices = true;
    world.Announce(0);
    world.RunFor(seconds(3));
    REQUIRE_FALSE(world.agent(0)->zone_evacuated());
    world.lose_notices = false;
    world.Load(seconds(1), milliseconds(100));
  }
  CHECK(world.agent(0)->zone_evacuated());
}

TEST_CASE("A fresh balancer that has only a peer's copy places no flow there") {
  ZoneWorld world(3, 6, 5);
  world.AddClients(40, false);
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  world.KillBalancer(0);
  world.stale_balancers = {0};
  world.StartBalancer(0);
  REQUIRE_FALSE(world.zones(0).Evacuated(kEast));
  world.CopyZones(1, 0);
  CHECK(world.zones(0).Evacuated(kEast));
  CHECK(world.zones(0).Find(kEast)->revision ==
        world.zones(1).Find(kEast)->revision);
  RunRounds(world, 4, milliseconds(250));
  CHECK(world.AcceptedInEast() == 0);
  CHECK(world.Refused() == 0);
  CheckAllAnswered(world);
}

TEST_CASE("An agent's outdated state does not stick at a later balancer") {
  // The evacuation ended while no balancer was running.
  ZoneWorld world(3, 6, 6);
  world.AddClients(40, false);
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  for (size_t i = 0; i < 3; ++i) world.KillBalancer(i);
  world.Restore(kEast);
  for (size_t i = 0; i < 3; ++i) world.StartBalancer(i);
  REQUIRE(world.EvacuatedAgents() == 3);
  RunRounds(world, 8, milliseconds(250));
  CHECK(world.EvacuatedAgents() == 0);
  for (size_t i = 0; i < 3; ++i) CHECK_FALSE(world.zones(i).Evacuated(kEast));
  CHECK(world.AcceptedInEast() > 0);
  CheckAllAnswered(world);
}

TEST_CASE("The load of a restored zone returns in steps") {
  ZoneWorld world(3, 8, 7);
  for (size_t i = 0; i < 8; ++i) {
    world.targets[i]->slots = 4;
    world.Announce(i);
  }
  world.AddClients(100, false);
  const Duration period = milliseconds(100);
  world.Load(seconds(3), period);
  world.Evacuate(kEast);
  world.Load(seconds(3), period);
  world.Restore(kEast);
  std::vector<int> per_second;
  for (int second = 0; second < 6; ++second) {
    const int before = world.AcceptedInEast();
    world.Load(seconds(1), period);
    per_second.push_back(world.AcceptedInEast() - before);
  }
  INFO(per_second[0] << " " << per_second[1] << " " << per_second[2] << " "
                     << per_second[3] << " " << per_second[4] << " "
                     << per_second[5]);
  CHECK(per_second[0] > 0);
  // A quarter of this half of the slots is a fifth of all that count.
  CHECK(per_second[0] < per_second[5] * 0.75);
  CHECK(per_second[0] < per_second[1] * 0.8);
  CHECK(per_second[1] < per_second[2]);
}

TEST_CASE("A lost notice of a restored zone is repaired by the next refusal") {
  ZoneWorld world(3, 6, 8);
  world.AddClients(40, false);
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  world.lose_notices = true;
  world.Restore(kEast);
  world.RunFor(seconds(4));
  REQUIRE(world.EvacuatedAgents() == 3);
  world.lose_notices = false;
  RunRounds(world, 4, milliseconds(250));
  CHECK(world.Refused() > 0);
  CHECK(world.EvacuatedAgents() == 0);
  CHECK(world.AcceptedInEast() > 0);
  CheckAllAnswered(world);
}

TEST_CASE("A notice is repeated while the agent does not confirm it") {
  ZoneWorld world(3, 6, 9);
  world.lose_notices = true;
  world.Evacuate(kEast);
  world.RunFor(milliseconds(400));
  REQUIRE(world.EvacuatedAgents() == 0);
  world.lose_notices = false;
  world.RunFor(milliseconds(300));
  CHECK(world.EvacuatedAgents() == 3);
}

TEST_CASE("Balancers keep flows away if no agent could be notified") {
  ZoneWorld world(3, 6, 10);
  world.AddClients(40, false);
  world.lose_notices = true;
  world.Evacuate(kEast);
  RunRounds(world, 8, milliseconds(250));
  CHECK(world.EvacuatedAgents() == 0);
  CHECK(world.AcceptedInEast() == 0);
  CheckAllAnswered(world);
}

TEST_CASE("Evacuations of two zones begin and end independently") {
  ZoneWorld world(3, 9, 11);
  for (size_t i = 6; i < 9; ++i) world.SetZone(i, "north");
  world.east = 3;
  for (size_t i = 3; i < 6; ++i) world.SetZone(i, kWest);
  world.AddClients(40, false);
  const auto accepted_by = [&world](size_t zone) {
    return world.Accepted(zone * 3, zone * 3 + 3);
  };
  const auto gained = [&](size_t zone) {
    const int before = accepted_by(zone);
    RunRounds(world, 4, milliseconds(250));
    return accepted_by(zone) - before;
  };
  world.Evacuate(kEast);
  world.Evacuate(kWest);
  world.RunFor(kNoticeTime);
  CHECK(gained(0) == 0);
  CHECK(gained(1) == 0);
  world.Restore(kEast);
  world.RunFor(seconds(4));
  CHECK(gained(0) > 0);
  CHECK(gained(1) == 0);
  world.Evacuate(kEast);
  world.Restore(kWest);
  world.RunFor(seconds(4));
  CHECK(gained(0) == 0);
  CHECK(gained(1) > 0);
  CHECK(gained(2) > 0);
  CheckAllAnswered(world);
}

TEST_CASE("If all targets are in evacuated zones a flow is refused at once") {
  ZoneWorld world(2, 4, 12);
  world.Evacuate(kEast);
  world.Evacuate(kWest);
  world.RunFor(kNoticeTime);
  VirtualFlowClient& client = world.AddClient(false);
  client.retries = 0;
  client.Request("a");
  world.RunFor(milliseconds(5));
  CHECK(client.results["a"].resets == 1);
  CHECK_FALSE(client.busy());
  CHECK(world.balancer(0)->counters().resets_zones_evacuated +
            world.balancer(1)->counters().resets_zones_evacuated ==
        1);
  CHECK(world.AcceptedInEast() + world.AcceptedInWest() == 0);
  world.Restore(kWest);
  world.RunFor(kNoticeTime);
  client.Request("b");
  world.RunFor(seconds(1));
  CHECK(client.results["b"].answered);
}

TEST_CASE("A refusal that waits for the next copy of a SYN is counted once") {
  ZoneWorld world(1, 4, 16);
  world.Evacuate(kEast);
  world.Evacuate(kWest);
  world.RunFor(kNoticeTime);
  VirtualFlowClient& client = world.AddClient(false);
  client.retries = 0;
  // The SYN waits in a socket, so the balancer does not know its age.
  world.balancer_process(0).HoldUp(milliseconds(250));
  world.RunFor(milliseconds(80));
  client.Request("a");
  world.RunFor(milliseconds(210));
  CHECK(client.results["a"].resets == 1);
  CHECK(world.balancer(0)->counters().resets_zones_evacuated == 1);
}

TEST_CASE("A service without targets is not refused as evacuated") {
  // Its targets may be listed at any time; the flow waits for them.
  ZoneWorld world(1, 2, 13);
  world.Evacuate(kEast);
  world.RemoveEntry(0);
  world.RemoveEntry(1);
  world.RunFor(seconds(4));
  VirtualFlowClient& client = world.AddClient(false);
  client.Request("a");
  world.RunFor(milliseconds(50));
  world.Announce(1);
  world.RunFor(seconds(1));
  CHECK(client.results["a"].answered);
  CHECK(world.balancer(0)->counters().resets_zones_evacuated == 0);
}

TEST_CASE("An evacuation of a zone without targets changes nothing") {
  ZoneWorld world(3, 6, 14);
  world.AddClients(40, false);
  world.Evacuate("north");
  CHECK(RunRounds(world, 4, milliseconds(250)) == 160);
  CHECK(world.notices == 0);
  CHECK(world.reports_with_zone == 0);
  CHECK(world.AcceptedInEast() > 0);
  // A target that appears there later gets no flows.
  world.SetZone(0, "north");
  world.RunFor(kNoticeTime);
  const int before = world.Accepted(0, 1);
  RunRounds(world, 4, milliseconds(250));
  CHECK(world.Accepted(0, 1) == before);
  CheckAllAnswered(world);
}

TEST_CASE("An address given to another service in the zone stays evacuated") {
  ZoneWorld world(3, 6, 15);
  world.AddClients(40, false);
  world.routes.version = 2;
  world.routes.routes[SteeringWorld::RouteAddress()].services = {
      {SteeringWorld::kService, 1}, {"reports", 1}};
  for (size_t i = 0; i < 3; ++i) {
    world.balancer(i)->Apply(world.scheduler.Now(), world.routes);
  }
  world.SetService(5, "reports");
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  world.stale_balancers = {0};
  world.SetService(0, "reports");
  world.RunFor(kNoticeTime);
  REQUIRE(world.EvacuatedAgents() == 3);
  RunRounds(world, 8, milliseconds(250));
  CHECK(world.AcceptedInEast() == 0);
  CheckAllAnswered(world);
}

TEST_CASE("While the store is away the evacuation remains in force") {
  ZoneWorld world(3, 6, 16);
  world.AddClients(40, false);
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  world.stale_balancers = {0, 1, 2};
  world.RunFor(seconds(60));
  // An agent that restarts meanwhile does not get an entry.
  world.KillAgent(0);
  world.StartAgent(0);
  RunRounds(world, 8, milliseconds(250));
  CHECK(world.AcceptedInEast() == 0);
  CHECK(world.EvacuatedAgents() >= 2);
  CheckAllAnswered(world);
}

TEST_CASE("An evacuation that a new era lacks ends at all agents") {
  ZoneWorld world(3, 6, 17);
  world.AddClients(40, false);
  for (int i = 0; i < 50; ++i) world.List(0);
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  REQUIRE(world.EvacuatedAgents() == 3);
  world.BeginEra();
  // The replicas end it with a revision that is lower, but of the new era.
  world.stale_balancers = {0};
  world.Restore(kEast);
  world.RunFor(kNoticeTime);
  CHECK(world.EvacuatedAgents() == 0);
  RunRounds(world, 8, milliseconds(250));
  CHECK(world.AcceptedInEast() > 0);
  CheckAllAnswered(world);
}

TEST_CASE("An ended evacuation that a new era brings back is enforced") {
  ZoneWorld world(3, 6, 18);
  world.AddClients(40, false);
  for (int i = 0; i < 50; ++i) world.List(0);
  world.Evacuate(kEast);
  world.RunFor(seconds(1));
  world.Restore(kEast);
  world.RunFor(seconds(1));
  REQUIRE(world.EvacuatedAgents() == 0);
  world.BeginEra();
  world.stale_balancers = {0};
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  CHECK(world.EvacuatedAgents() == 3);
  RunRounds(world, 8, milliseconds(250));
  CHECK(world.AcceptedInEast() == 0);
  CheckAllAnswered(world);
}

TEST_CASE(
    "A change costs three notices per agent for any number of balancers") {
  const size_t balancers = GENERATE(5, 50);
  ZoneWorld world(balancers, 20, 19);
  world.max_watch_delay = milliseconds(800);
  SECTION("without load each agent gets three") {
    world.Evacuate(kEast);
    world.RunFor(seconds(10));
    CHECK(world.EvacuatedAgents() == 10);
    CHECK(world.notices == 30);
    world.Restore(kEast);
    world.RunFor(seconds(10));
    CHECK(world.EvacuatedAgents() == 0);
    CHECK(world.notices == 60);
  }
  SECTION("under load it gets at most three") {
    world.AddClients(100, true);
    world.AddClients(100, false);
    world.Load(seconds(2), milliseconds(250));
    REQUIRE(world.notices == 0);
    world.Evacuate(kEast);
    world.Load(seconds(5), milliseconds(250));
    CHECK(world.EvacuatedAgents() == 10);
    CHECK(world.notices <= 30);
    world.Restore(kEast);
    world.Load(seconds(5), milliseconds(250));
    CHECK(world.EvacuatedAgents() == 0);
    CHECK(world.notices <= 60);
  }
}

TEST_CASE("A balancer that starts after a restoration sends no notices") {
  // Agents state the zone in their reports from its first evacuation on.
  ZoneWorld world(3, 6, 22);
  world.AddClients(40, false);
  world.Evacuate(kEast);
  world.RunFor(seconds(1));
  world.Restore(kEast);
  world.RunFor(seconds(1));
  RunRounds(world, 4, milliseconds(250));
  const int before = world.notices;
  world.KillBalancer(0);
  world.stale_balancers = {0};  // It learns the state from reports.
  world.StartBalancer(0);
  // One request after another, so that not all agents report at once.
  for (auto& client : world.clients) {
    client->Request("one");
    world.RunFor(milliseconds(50));
  }
  CHECK(world.zones(0).Find(kEast) != nullptr);
  CHECK(world.reports_with_zone > 0);
  CHECK(world.notices == before);
  CheckAllAnswered(world);
}

TEST_CASE("Two of the balancers that notify first may be down") {
  // Killed and frozen balancers stay listed until their leases end.
  ZoneWorld world(5, 20, 20);
  world.KillBalancer(1);
  world.KillBalancer(3);
  world.Evacuate(kEast);
  world.RunFor(kNoticeTime);
  CHECK(world.EvacuatedAgents() == 10);
}

TEST_CASE("Queued flows leave an evacuated zone at once") {
  ZoneWorld world(2, 4, 21);
  for (auto& target : world.targets) {
    target->slots = 1;
    target->work = milliseconds(300);
  }
  for (size_t i = 0; i < 4; ++i) world.Announce(i);
  world.AddClients(12, false);
  size_t queued = 0;
  for (auto& client : world.clients) client->Request("a");
  for (int i = 0; i < 100 && queued == 0; ++i) {
    world.RunFor(milliseconds(1));
    queued = world.agent(0)->queued() + world.agent(1)->queued();
  }
  REQUIRE(queued > 0);
  const int before = world.AcceptedInEast();
  world.Evacuate(kEast);
  world.RunFor(milliseconds(12));
  CHECK(world.EvacuatedAgents() == 2);
  CHECK(world.agent(0)->queued() + world.agent(1)->queued() == 0);
  CHECK(world.Refused() >= static_cast<int64_t>(queued));
  const int after = world.AcceptedInEast();
  CHECK(after - before <= 1);
  world.RunFor(seconds(3));
  CHECK(world.AcceptedInEast() == after);
}

}  // namespace
}  // namespace sesamesaddle
