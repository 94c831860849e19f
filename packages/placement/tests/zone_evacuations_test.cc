#include "placement/zone_evacuations.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "placement/placement.h"
#include "target_fixtures.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));

StoreRevision At(int64_t era, int64_t number) {
  return {StoreEra(era), number};
}

TEST_CASE("The latest state of a zone holds, whatever the order of arrival") {
  ZoneEvacuations zones;
  CHECK(zones.Apply(kNow, "a", true, At(1, 20)) == ZoneUpdate::kChanged);
  CHECK(zones.Apply(kNow, "a", false, At(1, 10)) == ZoneUpdate::kNone);
  CHECK(zones.Apply(kNow, "a", false, At(1, 20)) == ZoneUpdate::kNone);
  CHECK(zones.Evacuated("a"));
  // The era counts before the revision, which is given out again.
  CHECK(zones.Apply(kNow, "a", false, At(2, 5)) == ZoneUpdate::kChanged);
  CHECK(zones.Apply(kNow, "a", true, At(1, 90)) == ZoneUpdate::kNone);
  CHECK_FALSE(zones.Evacuated("a"));
  CHECK_FALSE(zones.Evacuated("b"));
}

TEST_CASE("A restoration that arrives first outdates the evacuation") {
  // A process that does not know the evacuation yet would apply it afterwards.
  ZoneEvacuations zones;
  CHECK(zones.Apply(kNow, "a", false, At(1, 20)) == ZoneUpdate::kRenewed);
  CHECK(zones.Apply(kNow, "a", true, At(1, 10)) == ZoneUpdate::kNone);
  CHECK_FALSE(zones.Evacuated("a"));
  // This process did not see the zone restored.
  CHECK(zones.Find("a")->since == TimePoint());
}

TEST_CASE("A state that is set again is renewed, but keeps its time") {
  ZoneEvacuations zones;
  zones.Apply(kNow, "a", true, At(1, 10));
  CHECK(zones.Apply(kNow + seconds(5), "a", true, At(2, 8)) ==
        ZoneUpdate::kRenewed);
  CHECK(zones.Find("a")->since == kNow);
  CHECK(zones.Find("a")->known_since == kNow + seconds(5));
  CHECK(zones.Find("a")->revision == At(2, 8));
}

TEST_CASE("A list of the store ends evacuations that it lacks") {
  ZoneEvacuations zones;
  zones.Apply(kNow, "a", true, At(1, 10));
  zones.Apply(kNow, "b", true, At(1, 11));
  zones.Apply(kNow, "c", true, At(1, 40));
  CHECK(zones.ApplyList(kNow, {"b"}, At(1, 30)) ==
        std::vector<std::string>{"a"});
  CHECK_FALSE(zones.Evacuated("a"));
  CHECK(zones.Evacuated("b"));
  CHECK(zones.Evacuated("c"));  // Later than the list.
  CHECK(zones.EvacuatedCount() == 2);
}

TEST_CASE("A state that is older than a list of the store has no effect") {
  // An agent may hold a state that the operators have ended since.
  ZoneEvacuations zones;
  zones.ApplyList(kNow, {}, At(1, 30));
  CHECK(zones.Apply(kNow, "a", true, At(1, 20)) == ZoneUpdate::kNone);
  CHECK_FALSE(zones.Evacuated("a"));
  // The list is the answer to that agent.
  REQUIRE(zones.Message("a").has_value());
  CHECK_FALSE(zones.Message("a")->evacuated);
  CHECK(zones.Message("a")->revision == 30);
  CHECK(zones.Apply(kNow, "a", true, At(1, 31)) == ZoneUpdate::kChanged);
}

TEST_CASE("A zone that was never evacuated has no message") {
  // Reports and notices then contain nothing about zones.
  ZoneEvacuations zones;
  zones.ApplyList(kNow, {}, At(1, 30));
  CHECK_FALSE(zones.Message("a").has_value());
  zones.Apply(kNow, "a", true, At(2, 31));
  const auto message = zones.Message("a");
  REQUIRE(message.has_value());
  CHECK(message->evacuated);
  ZoneEvacuations other;
  CHECK(other.Apply(kNow, *message) == ZoneUpdate::kChanged);
  CHECK(other.Find("a")->revision == At(2, 31));
}

TEST_CASE("The share of a restored zone rises by a quarter each second") {
  CHECK(ZoneEvacuations::RestoredShare(milliseconds(0)) == 0.25);
  CHECK(ZoneEvacuations::RestoredShare(milliseconds(999)) == 0.25);
  CHECK(ZoneEvacuations::RestoredShare(milliseconds(1000)) == 0.5);
  CHECK(ZoneEvacuations::RestoredShare(milliseconds(2000)) == 0.75);
  CHECK(ZoneEvacuations::RestoredShare(milliseconds(3000)) == 1);
  CHECK(ZoneEvacuations::RestoredShare(seconds(90)) == 1);
}

TEST_CASE("Placement avoids an evacuated zone and returns to it in steps") {
  ZoneEvacuations zones;
  TargetDirectory directory(zones);
  directory.Put(kNow, "a", MakeRecord(1, "here"), StoreRevision(1));
  directory.Put(kNow, "b", MakeRecord(2, "there"), StoreRevision(2));
  const AgentView& here = *directory.Find(Endpoint(1, 8172));
  directory.Find(Endpoint(1, 8172))->in_flight = 1;
  const double usual = WorkPerSlot(kNow, here);
  const auto choose = [&](PlacementKind kind) {
    return MakePlacement(kind, Topology("here"), directory)
        ->Choose(kNow, {MakeFlow(1), {}}, directory.OfService("orders"));
  };
  zones.Apply(kNow, "here", true, StoreRevision(3));
  CHECK_FALSE(directory.Usable(kNow, here));
  for (const auto kind : {PlacementKind::kLeastWait, PlacementKind::kHash}) {
    REQUIRE(choose(kind) != nullptr);
    CHECK(choose(kind)->agent == Endpoint(2, 8172));
  }
  zones.Apply(kNow, "here", false, StoreRevision(4));
  directory.OnZoneRestored("here");
  CHECK(directory.Usable(kNow, here));
  CHECK(WorkPerSlot(kNow, here) == 4 * usual);
  CHECK(WorkPerSlot(kNow + seconds(1), here) == 2 * usual);
  CHECK(WorkPerSlot(kNow + seconds(3), here) == usual);
  // The step also applies to a target that is listed in between.
  directory.Put(kNow, "c", MakeRecord(3, "here"), StoreRevision(5));
  directory.Find(Endpoint(3, 8172))->in_flight = 1;
  CHECK(WorkPerSlot(kNow, *directory.Find(Endpoint(3, 8172))) == 4 * usual);
}

}  // namespace
}  // namespace sesamesaddle
