// Searches with digests through balancers, agents and targets on the virtual
// clock.

#include <catch2/catch.hpp>
#include <string>

#include "steering_world.h"
#include "test_packet_codec.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kTargets = 48;
constexpr int kClients = 200;

/** Lets the client send a request; targets recognize repeated ids. */
void Request(SteeringWorld& world, int client, const std::string& name) {
  world.clients[static_cast<size_t>(client)]->Request(name +
                                                      std::to_string(client));
}

/** Returns the number of answered requests of that name. */
int Answered(const SteeringWorld& world, const std::string& name) {
  int answered = 0;
  for (const auto& client : world.clients) {
    for (const auto& [id, result] : client->results) {
      answered += id.rfind(name, 0) == 0 && result.answered;
    }
  }
  return answered;
}

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
  void RequestAll(const std::string& name) {
    for (int i = 0; i < kClients; ++i) Request(world, i, name);
  }
  /** Opens flows at one target, as if they had come through the balancer. */
  void OpenManyFlows(size_t target, uint32_t count) {
    world.targets[target]->slots = 1000;
    world.Announce(target);
    for (uint32_t i = 0; i < count; ++i) {
      PacketHeader syn;
      syn.source = Endpoint(0x64500000 + i, 40000);
      syn.destination = SteeringWorld::RouteAddress();
      syn.syn = true;
      syn.sequence = 1;
      syn.tag = {HopKind::kDirect, ServiceCheck(SteeringWorld::kService)};
      std::string packet = TestPacketCodec::Encode(syn);
      world.agent(target)->OnBalancerPacket(world.scheduler.Now(),
                                            SteeringWorld::BalancerAddress(0),
                                            packet.data(), packet.size());
    }
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
    f.world.scheduler.After(spacing * i,
                            [&f, i] { Request(f.world, i, "lost"); });
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

TEST_CASE("Lost queries and replies delay resets and cause no wrong ones") {
  LostFlowsFixture f(62);
  // Half of the targets keep their flows.
  for (size_t i = 0; i < kTargets; i += 2) f.RestartTarget(i);
  f.RestartBalancer();
  int held = 0;
  for (size_t i = 1; i < kTargets; i += 2) {
    held += static_cast<int>(f.world.agent(i)->flow_count());
  }
  REQUIRE(held > 50);
  f.RequestAll("lost");
  const bool queries = GENERATE(true, false);
  (queries ? f.world.lose_queries : f.world.lose_reports) = true;
  f.world.RunFor(milliseconds(120));
  CHECK(Resets(f.world) == 0);
  f.world.lose_queries = f.world.lose_reports = false;
  f.world.RunFor(milliseconds(400));
  CHECK(Resets(f.world) == kClients - held);
  CHECK(Answered(f.world, "lost") == held);
}

TEST_CASE("No flow is reset while one agent is silent") {
  LostFlowsFixture f(63);
  for (size_t i = 0; i < kTargets; ++i) f.RestartTarget(i);
  f.RestartBalancer();
  f.world.KillAgent(5);
  f.RequestAll("lost");
  f.world.RunFor(milliseconds(1800));
  CHECK(Resets(f.world) == 0);
}

TEST_CASE("Agents that do not know all flows cause no reset") {
  LostFlowsFixture f(64);
  // They start beside running targets.
  for (size_t i = 0; i < kTargets; ++i) {
    f.world.KillAgent(i);
    f.world.StartAgent(i);
    f.world.Announce(i);
  }
  f.RestartBalancer();
  f.RequestAll("kept");
  f.world.RunFor(milliseconds(1000));
  CHECK(Resets(f.world) == 0);
  CHECK(Answered(f.world, "kept") == kClients);
}

TEST_CASE("Lost flows are found out also with a few agents without digests") {
  LostFlowsFixture f(65);
  for (size_t i = 0; i < kTargets; ++i) f.RestartTarget(i);
  SECTION("an earlier version") { f.world.agents_without_digests = {1, 2, 3}; }
  SECTION("only earlier versions") {
    for (size_t i = 0; i < kTargets; ++i) {
      f.world.agents_without_digests.insert(i);
    }
  }
  SECTION("they do not know all flows") {
    for (size_t i = 0; i < 3; ++i) {
      f.world.KillAgent(i);
      f.world.StartAgent(i);
      f.world.Announce(i);
    }
  }
  SECTION("they have more than 250 flows") { f.OpenManyFlows(4, 260); }
  f.RestartBalancer();
  f.RequestAll("lost");
  f.world.RunFor(milliseconds(500));
  CHECK(Resets(f.world) == kClients);
  CHECK(f.world.balancer(0)->digest_counters().without_digest >= 1);
}

TEST_CASE("A flow that opened after a digest was asked for is not reset") {
  // Replies take a while, in which flows open through the other balancer and
  // move to this one.
  SteeringWorld world(2, kTargets, 66);
  for (int i = 0; i < kClients; ++i) world.AddClient(true);
  REQUIRE(RunRounds(world, 2, milliseconds(250)) == 2 * kClients);
  for (size_t i = 0; i < kTargets; ++i) {
    world.targets[i]->Start();
    world.KillAgent(i);
    world.StartAgent(i);
    world.AnnounceStart(i);
  }
  world.KillBalancer(0);
  world.StartBalancer(0);
  world.report_delay = milliseconds(60);
  // Searches of lost flows keep rounds going.
  for (int i = 0; i < kClients; ++i) {
    world.scheduler.After(milliseconds(i),
                          [&world, i] { Request(world, i, "lost"); });
  }
  for (int i = 0; i < kClients; ++i) {
    world.AddClient(true).repeatable = false;
    world.scheduler.After(milliseconds(i), [&world, i] {
      Request(world, kClients + i, "opened");
    });
  }
  // All flows of the other balancer move while replies are on their way.
  world.scheduler.After(milliseconds(140), [&world] { world.KillBalancer(1); });
  world.RunFor(milliseconds(220));
  for (size_t i = kClients; i < world.clients.size(); ++i) {
    if (world.clients[i]->busy()) continue;
    Request(world, static_cast<int>(i), "moved");
  }
  world.RunFor(milliseconds(1500));
  CHECK(world.balancer(0)->digest_counters().rounds > 3);
  int resets = 0;
  for (size_t i = kClients; i < world.clients.size(); ++i) {
    for (const auto& [id, result] : world.clients[i]->results) {
      resets += result.resets;
    }
  }
  CHECK(resets == 0);
  CHECK(Answered(world, "moved") > kClients / 2);
}

TEST_CASE("A flow at a target that was just listed is not denied by digests") {
  SteeringWorld world(2, 6, 67);
  world.RemoveEntry(5);
  world.RunFor(seconds(3));
  // Only one balancer learns that the target is listed again.
  world.stale_balancers = {1};
  world.Announce(5);
  for (int i = 0; i < 60; ++i) world.AddClient(true);
  REQUIRE(RunRounds(world, 1, milliseconds(250)) == 60);
  REQUIRE(world.targets[5]->accepted_flows > 0);
  world.KillBalancer(0);
  CHECK(RunRounds(world, 2, milliseconds(250)) == 120);
  CHECK(Resets(world) == 0);
  CHECK(world.balancer(1)->digest_counters().digests > 0);
}

}  // namespace
}  // namespace sesamesaddle
