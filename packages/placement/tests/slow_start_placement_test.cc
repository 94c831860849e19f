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

/** Targets 1 to 3 of one service. */
struct ColdTargets {
  ColdTargets() {
    for (uint32_t i = 1; i <= 3; ++i) {
      directory.Put(kNow, std::to_string(i), MakeRecord(i), StoreRevision(i));
      directory.OnReport(kNow, MakeReport(i));
    }
  }

  void ReportRoom(TimePoint now, uint32_t target, int room, int waiting = 0) {
    schema::AgentReport report = MakeReport(target);
    report.waiting = waiting;
    report.__set_slow_start_room(room);
    directory.OnReport(now, report);
  }

  /** Returns how many of 60 flows at `now` are placed on the target. */
  int PlacedOn(TimePoint now, uint32_t target) {
    int placed = 0;
    for (uint32_t i = 0; i < 60; ++i) {
      AgentView* view = placement.Choose(now, {MakeFlow(i), {}},
                                         directory.OfService("orders"));
      if (view->agent == Endpoint(target, 8172)) {
        ++placed;
        ++view->placed_since_report;
      }
    }
    return placed;
  }

  AgentView& View(uint32_t target) {
    return *directory.Find(Endpoint(target, 8172));
  }

  ZoneEvacuations zones;
  TargetDirectory directory{zones};
  LeastWaitPlacement placement{Topology("z"), directory};
};

TEST_CASE("A cold target gets no more flows than it reported room for") {
  ColdTargets targets;
  targets.ReportRoom(kNow, 1, 0);
  CHECK(targets.PlacedOn(kNow, 1) == 0);
  targets.ReportRoom(kNow, 1, 2);
  // The others are busy, so that they are no better choice.
  for (uint32_t i = 2; i <= 3; ++i) targets.View(i).in_flight = 100;
  CHECK(targets.PlacedOn(kNow, 1) == 2);
  targets.directory.OnReport(kNow, MakeReport(1));
  CHECK(targets.PlacedOn(kNow, 1) > 2);
}

// Without a new report a target that had no room would never get a flow again,
// as only balancers that send packets get reports.
TEST_CASE("A cold target gets one flow when its report is a second old") {
  ColdTargets targets;
  for (uint32_t i = 2; i <= 3; ++i) targets.View(i).in_flight = 100;
  targets.ReportRoom(kNow, 1, 0);
  CHECK(targets.PlacedOn(kNow + seconds(1), 1) == 0);
  CHECK(targets.PlacedOn(kNow + milliseconds(1001), 1) == 1);
}

TEST_CASE("Cold targets without room are used if no other target has room") {
  ColdTargets targets;
  for (uint32_t i = 1; i <= 3; ++i) targets.ReportRoom(kNow, i, 0, i);
  CHECK(targets.PlacedOn(kNow, 1) > 0);
  CHECK(targets.PlacedOn(kNow, 2) > 0);
}

TEST_CASE("A target is in slow start by its entry or its report") {
  ColdTargets targets;
  CHECK_FALSE(InSlowStart(kNow, targets.View(1)));
  targets.ReportRoom(kNow, 1, 5, 3);
  CHECK(InSlowStart(kNow, targets.View(1)));
  const double cold_work = WorkPerSlot(kNow, targets.View(1));
  targets.View(1).slow_start_room.reset();
  CHECK(cold_work > WorkPerSlot(kNow, targets.View(1)));
  schema::TargetRecord record = MakeRecord(2);
  record.slow_start_ms = 5000;
  targets.directory.Put(kNow, "2", record, StoreRevision(10));
  CHECK(InSlowStart(kNow + milliseconds(4999), targets.View(2)));
  CHECK_FALSE(InSlowStart(kNow + milliseconds(5000), targets.View(2)));
}

TEST_CASE("Only a changed slow start in an entry starts it anew") {
  ColdTargets targets;
  schema::TargetRecord record = MakeRecord(1);
  record.slow_start_ms = 5000;
  targets.directory.Put(kNow, "1", record, StoreRevision(10));
  targets.View(1).limit_sent = 7;
  targets.View(1).limit_notices = 5;
  // Written again after a lapse of its lease, with the former value.
  targets.directory.Put(kNow + seconds(4), "1", record, StoreRevision(11));
  CHECK_FALSE(InSlowStart(kNow + seconds(5), targets.View(1)));
  CHECK(targets.View(1).limit_notices == 5);
  // The agent's process may have restarted and not know the limit.
  CHECK(targets.View(1).limit_sent == 0);
  // Another number of slots, later in the slow start.
  record.slow_start_ms = 500;
  targets.directory.Put(kNow + seconds(4), "1", record, StoreRevision(12));
  CHECK(InSlowStart(kNow + milliseconds(4499), targets.View(1)));
  CHECK(targets.View(1).limit_notices == 0);
}

}  // namespace
}  // namespace sesamesaddle
