// Reports of agents: how many a balancer gets, and what it does without them.

#include <catch2/catch.hpp>
#include <string>

#include "steering/report_rate_controller.h"
#include "steering_world.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Reports of a few agents come as often as they can") {
  ReportRateController pace;
  pace.Update(7, 0);
  CHECK(pace.period() == ReportRateController::kMinPeriod);
  pace.Update(7, 5000);
  CHECK(pace.period() == ReportRateController::kMinPeriod);
}

TEST_CASE("Reports of any fleet stay within the budget of a balancer") {
  for (const size_t agents : {10, 56, 300, 7400}) {
    for (const int64_t solicited : {0, 20, 119}) {
      ReportRateController pace;
      pace.Update(agents, solicited);
      const std::chrono::duration<double> period = pace.period();
      const double periodic = static_cast<double>(agents) / period.count();
      INFO(agents << " agents, " << solicited << " asked, " << periodic);
      CHECK(periodic + std::min<double>(solicited, agents) <=
            ReportRateController::kMaxReportsPerSecond + 0.1);
    }
  }
}

TEST_CASE("The wanted period survives the hop") {
  ReportRateController pace;
  pace.Update(7400, 119);
  CHECK(ReportRateController::Unpack(pace.Pack()) / milliseconds(1) ==
        pace.period() / milliseconds(1));
  CHECK(ReportRateController::Unpack(0) == ReportRateController::kMinPeriod);
}

/** Reports a second that one balancer gets from that many busy agents. */
double ReportsPerSecond(size_t targets) {
  SteeringWorld world(1, targets, 31);
  for (size_t i = 0; i < 4 * targets; ++i) world.AddClient(true);
  constexpr int kSeconds = 4;
  const auto round = [&world] {
    for (auto& client : world.clients) {
      if (!client->busy()) {
        client->Request("r" + std::to_string(world.random.Next()));
      }
    }
    world.RunFor(milliseconds(250));
  };
  // The flows open, and the pace is found.
  for (int i = 0; i < 12; ++i) round();
  const int before = world.reports;
  for (int i = 0; i < 4 * kSeconds; ++i) round();
  CHECK(Resets(world) == 0);
  return static_cast<double>(world.reports - before) / kSeconds;
}

TEST_CASE("What a balancer hears of agents does not grow with the fleet") {
  const double few = ReportsPerSecond(10);
  const double many = ReportsPerSecond(150);
  INFO(few << " and " << many << " reports a second");
  CHECK(few <= 1.1 * ReportRateController::kMaxReportsPerSecond);
  CHECK(many <= 1.1 * ReportRateController::kMaxReportsPerSecond);
}

TEST_CASE("An agent that is gone is found by one repeated packet") {
  SteeringWorld world(1, 60, 32);
  for (int i = 0; i < 120; ++i) {
    auto& client = world.AddClient(true);
    client.deadline = milliseconds(1500);
  }
  REQUIRE(RunRounds(world, 4, milliseconds(500)) == 480);
  world.KillAgent(0);
  world.KillAgent(1);
  // Its flows are reset while their clients can still ask elsewhere.
  CHECK(RunRounds(world, 1, milliseconds(500)) == 120);
  CHECK(Resets(world) > 0);
  CHECK(world.balancer(0)->counters().probes > 0);
}

TEST_CASE("A balancer that hears no agent at all gives no flow up") {
  SteeringWorld world(1, 20, 33);
  for (int i = 0; i < 40; ++i) {
    world.AddClient(true).deadline = milliseconds(1500);
  }
  REQUIRE(RunRounds(world, 4, milliseconds(500)) == 160);
  for (size_t i = 0; i < 20; ++i) world.KillAgent(i);
  RunRounds(world, 1, milliseconds(500));
  CHECK(Resets(world) == 0);
}

TEST_CASE("Loss of packets makes no agent that answers suspect for long") {
  SteeringWorld world(2, 60, 34);
  for (int i = 0; i < 120; ++i) world.AddClient(true);
  world.loss = 0.05;
  CHECK(RunRounds(world, 6, milliseconds(500)) >= 700);
  CHECK(Resets(world) == 0);
}

}  // namespace
}  // namespace sesamesaddle
