#include "placement/placement.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "target_fixtures.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));

TEST_CASE("Placement prefers the own zone and a shorter wait") {
  ZoneEvacuations zones;
  TargetDirectory directory(zones);
  directory.Put(kNow, "a", MakeRecord(1, "here"), StoreRevision(1));
  directory.Put(kNow, "b", MakeRecord(2, "there"), StoreRevision(2));
  LeastWaitPlacement placement(Topology("here"), directory);
  const auto choose = [&] {
    return placement.Choose(kNow, {MakeFlow(1), {}},
                            directory.OfService("orders"));
  };
  CHECK(choose()->agent == Endpoint(1, 8172));
  schema::AgentReport busy = MakeReport(1);
  busy.waiting = 2;
  directory.OnReport(kNow, busy);
  CHECK(choose()->agent == Endpoint(2, 8172));
  AgentView* other = directory.Find(Endpoint(2, 8172));
  other->placed_since_report = 2;
  CHECK(choose()->agent == Endpoint(1, 8172));
  CHECK(placement.Choose(kNow, {MakeFlow(1), {Endpoint(1, 8172)}},
                         directory.OfService("orders")) == other);
  CHECK(placement.Choose(kNow,
                         {MakeFlow(1), {Endpoint(1, 8172), Endpoint(2, 8172)}},
                         directory.OfService("orders")) == nullptr);
}

TEST_CASE("Targets of the own region are used until they are much busier") {
  const Topology here("here",
                      {{"here", "east"}, {"there", "east"}, {"far", "west"}});
  ZoneEvacuations zones;
  TargetDirectory directory(zones);
  for (uint32_t i = 1; i <= 6; ++i) {
    directory.Put(kNow, std::to_string(i),
                  MakeRecord(i, i <= 2   ? "here"
                                : i <= 4 ? "there"
                                         : "far"),
                  StoreRevision(i));
  }
  LeastWaitPlacement placement(here, directory);
  const auto in_far = [&](int work) {
    for (uint32_t i = 1; i <= 4; ++i) {
      schema::AgentReport report = MakeReport(i);
      report.waiting = work;
      directory.OnReport(kNow, report);
    }
    int count = 0;
    for (uint32_t i = 0; i < 100; ++i) {
      const AgentView* chosen = placement.Choose(kNow, {MakeFlow(i), {}},
                                                 directory.OfService("orders"));
      count += static_cast<int>(chosen->record.zone == "far");
    }
    return count;
  };
  CHECK(in_far(0) == 0);
  CHECK(in_far(4) == 0);  // Two requests per slot still finish earlier here.
  CHECK(in_far(8) == 100);
  // A balancer without a target in its region uses other regions.
  const Topology alone("alone", {{"alone", "north"}, {"far", "west"}});
  CHECK(FlowCandidates(MakeFlow(1), alone, {directory.Find(Endpoint(5, 8172))})
            .size() == 1);
}

TEST_CASE("A zone without a known region counts as the same region") {
  const Topology topology("a", {{"a", "east"}, {"b", "west"}});
  CHECK(topology.DistanceTo("a") == Distance::kSameZone);
  CHECK(topology.DistanceTo("b") == Distance::kOtherRegion);
  CHECK(topology.DistanceTo("c") == Distance::kSameRegion);
  CHECK(Topology("x").DistanceTo("b") == Distance::kSameRegion);
}

TEST_CASE("A target with a longer response time is not chosen at equal load") {
  ZoneEvacuations zones;
  TargetDirectory directory(zones);
  for (uint32_t i = 1; i <= 3; ++i) {
    directory.Put(kNow, std::to_string(i), MakeRecord(i), StoreRevision(i));
    schema::AgentReport report = MakeReport(i);
    report.waiting = 1;
    report.response_us = i == 1 ? 100000 : 20000;
    directory.OnReport(kNow, report);
  }
  LeastWaitPlacement placement(Topology("z"), directory);
  for (uint32_t i = 0; i < 100; ++i) {
    const AgentView* chosen = placement.Choose(kNow, {MakeFlow(i), {}},
                                               directory.OfService("orders"));
    CHECK(chosen->agent != Endpoint(1, 8172));
  }
}

}  // namespace
}  // namespace sesamesaddle
