#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "checks.h"
#include "configuration/zone_mode.h"
#include "scenario.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Seven agents: x has numbers 0, 3 and 6, y has 1 and 4, z has 2 and 5. */
ClusterOptions ThreeZones(uint64_t seed) {
  ClusterOptions options;
  options.seed = seed;
  options.zones = {"x", "y", "z"};
  return options;
}

/** The agents of a zone and what they do. */
class ZoneView {
 public:
  ZoneView(Scenario& scenario, const std::string& zone)
      : cluster_(scenario.cluster()) {
    for (size_t i = 0; i < cluster_.agent_count(); ++i) {
      if (cluster_.zone_of_agent(i) == zone) agents_.push_back(i);
    }
  }

  /** Returns the number of requests started at the targets since `from`. */
  int StartsSince(TimePoint from) const {
    int count = 0;
    for (const size_t i : agents_) {
      for (const TimePoint start : cluster_.target(i).starts) {
        count += static_cast<int>(start >= from);
      }
    }
    return count;
  }

  size_t OwnedFlows() const {
    size_t count = 0;
    for (const size_t i : agents_) {
      count += cluster_.agent(i).flows().owned().size();
    }
    return count;
  }

 private:
  VirtualCluster& cluster_;
  std::vector<size_t> agents_;
};

void CheckNoDisruption(const Scenario& scenario) {
  CheckInvariants(scenario);
  CHECK(scenario.Count(RequestOutcome::kUnknown) == 0);
  CHECK(scenario.BrokenFlows() == 0);
  CHECK(scenario.LongestSilence() < seconds(5));
}

TEST_CASE(
    "Evacuating a zone breaks no flow and its targets get no new work after "
    "3 s") {
  Scenario scenario(ThreeZones(31));
  scenario.AddCallers(80, 30);
  scenario.Load(seconds(8), 250, 0.3);
  const ZoneView zone(scenario, "x");
  REQUIRE(zone.OwnedFlows() > 0);
  scenario.cluster().SetZoneMode("x", true);
  const TimePoint evacuated = scenario.cluster().now();
  scenario.Load(seconds(10), 250, 0.3);
  scenario.Finish();
  CheckNoDisruption(scenario);
  CHECK(zone.StartsSince(evacuated + seconds(3)) == 0);
  CHECK(zone.OwnedFlows() == 0);
}

TEST_CASE("Evacuating and restoring zones in turn breaks no flow") {
  Scenario scenario(ThreeZones(32));
  scenario.AddCallers(80, 30);
  for (const char* zone : {"x", "y", "x"}) {
    scenario.Load(seconds(4), 250, 0.3);
    scenario.cluster().SetZoneMode(zone, true);
    scenario.Load(seconds(4), 250, 0.3);
    scenario.cluster().SetZoneMode(zone, false);
  }
  scenario.Load(seconds(4), 250, 0.3);
  const TimePoint settled = scenario.cluster().now();
  scenario.Load(seconds(4), 250, 0.3);
  scenario.Finish();
  CheckNoDisruption(scenario);
  for (const char* zone : {"x", "y", "z"}) {
    CHECK(ZoneView(scenario, zone).StartsSince(settled) > 100);
  }
}

TEST_CASE("A restored zone gives no work to its targets that are drained") {
  Scenario scenario(ThreeZones(33));
  scenario.AddCallers(80, 30);
  scenario.Load(seconds(4), 200, 0.3);
  VirtualCluster& cluster = scenario.cluster();
  cluster.SetMode("order-3", schema::InstanceMode::kDraining);
  cluster.SetZoneMode("x", true);
  scenario.Load(seconds(4), 200, 0.3);
  cluster.SetMode("order-6", schema::InstanceMode::kRetired);
  cluster.SetZoneMode("x", false);
  const TimePoint restored = cluster.now();
  scenario.Load(seconds(10), 200, 0.3);
  scenario.Finish();
  CheckNoDisruption(scenario);
  for (const size_t i : {0, 3, 6}) {
    REQUIRE_FALSE(cluster.target(i).starts.empty());
  }
  CHECK(cluster.target(0).starts.back() > restored + seconds(5));
  for (const size_t drained : {3, 6}) {
    CHECK(cluster.target(drained).starts.back() < restored);
    CHECK(cluster.agent(drained).flows().owned().empty());
  }
}

TEST_CASE("A zone is evacuated under loss, duplication and reordering") {
  ClusterOptions options = ThreeZones(34);
  options.loss_percent = 5;
  options.duplicate_percent = 10;
  options.longest_delay = milliseconds(20);
  Scenario scenario(options);
  scenario.AddCallers(80, 20);
  // As in the test of loss without an evacuation.
  for (const auto& caller : scenario.cluster().callers()) caller->max_sends = 7;
  scenario.Load(seconds(5), 150, 0.5);
  const ZoneView zone(scenario, "x");
  scenario.cluster().SetZoneMode("x", true);
  const TimePoint evacuated = scenario.cluster().now();
  scenario.Load(seconds(15), 150, 0.5);
  scenario.Finish();
  CheckInvariants(scenario);
  CHECK(zone.StartsSince(evacuated + seconds(3)) == 0);
  CHECK(zone.OwnedFlows() == 0);
}

TEST_CASE("Processes that start during an evacuation know it") {
  Scenario scenario(ThreeZones(35));
  scenario.AddCallers(80, 30);
  scenario.Load(seconds(4), 250, 0.3);
  VirtualCluster& cluster = scenario.cluster();
  cluster.SetZoneMode("x", true);
  const TimePoint evacuated = cluster.now();
  scenario.Load(seconds(2), 250, 0.3);
  cluster.KillBalancer(0);
  cluster.AddBalancer();
  scenario.Load(seconds(3), 250, 0.3);
  cluster.StopBalancer(1);
  cluster.StopBalancer(2);
  cluster.AddBalancer();
  // Agents are spread over the zones in turn: y, z, x.
  for (const char* name : {"order-7", "order-8", "order-9"}) {
    cluster.AddAgent(name, Scenario::kSlots);
  }
  scenario.Load(seconds(8), 250, 0.3);
  scenario.Finish();
  CheckNoDisruption(scenario);
  for (const size_t started : {3, 4}) {
    const ControlPlane& control = cluster.balancer(started).control();
    CHECK(IsEvacuated(control.replica().current(), "x"));
    CHECK(control.services().Leaving(cluster.agent(0).control().self_id()));
  }
  const ZoneView zone(scenario, "x");
  CHECK(zone.StartsSince(evacuated + seconds(3)) == 0);
  CHECK(zone.OwnedFlows() == 0);
  CHECK_FALSE(cluster.target(7).starts.empty());
  CHECK(cluster.zone_of_agent(9) == "x");
  CHECK(cluster.target(9).starts.empty());
}

TEST_CASE("With all zones evacuated requests are refused as not run") {
  Scenario scenario(ThreeZones(36));
  scenario.AddCallers(80, 0);
  scenario.Load(seconds(4), 200, 0.3);
  VirtualCluster& cluster = scenario.cluster();
  for (const char* zone : {"x", "y", "z"}) cluster.SetZoneMode(zone, true);
  const TimePoint evacuated = cluster.now();
  // Requests wait for a target until the service's deadline of 10 s, as after a
  // drain of each instance.
  scenario.Load(seconds(14), 100, 0.3);
  for (const char* zone : {"x", "y", "z"}) {
    CHECK(ZoneView(scenario, zone).StartsSince(evacuated + seconds(3)) == 0);
  }
  CHECK(scenario.Count(RequestOutcome::kNotRun) >= 70);
  cluster.SetZoneMode("z", false);
  scenario.Load(seconds(6), 100, 0.3);
  const int refused = scenario.Count(RequestOutcome::kNotRun);
  scenario.Load(seconds(4), 100, 0.3);
  scenario.Finish();
  CheckInvariants(scenario);
  CHECK(scenario.Count(RequestOutcome::kUnknown) == 0);
  CHECK(scenario.Count(RequestOutcome::kNotRun) == refused);
  CHECK(ZoneView(scenario, "z").StartsSince(evacuated + seconds(14)) > 100);
}

}  // namespace
}  // namespace sesamesaddle
