// Announcements of another writer, well formed, beside those of a target.
#include <catch2/catch.hpp>
#include <string>

#include "steering/target_monitor.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Effect = AnnouncementEffect;

const TimePoint kNow(seconds(1000));
constexpr int64_t kHuge = int64_t{1} << 53;

TargetAnnouncement Make(const std::string& id, int64_t born, int64_t sequence,
                        bool draining = false) {
  TargetAnnouncement announcement;
  announcement.id = id;
  announcement.born_ms = born;
  announcement.service = "orders";
  announcement.slots = 2;
  announcement.sequence = sequence;
  announcement.draining = draining;
  return announcement;
}

/** Delivers an announcement that was sent just before. */
Effect Send(TargetMonitor& monitor, TimePoint now,
            TargetAnnouncement announcement) {
  announcement.sent_after = now;
  return monitor.OnAnnouncement(now, announcement);
}

/** Delivers one that may have been sent at any time after `sent_after`. */
Effect SendLate(TargetMonitor& monitor, TimePoint now, TimePoint sent_after,
                TargetAnnouncement announcement) {
  announcement.sent_after = sent_after;
  return monitor.OnAnnouncement(now, announcement);
}

/** A target that has announced itself once a second, last at kNow. */
TargetMonitor MakeMonitor() {
  TargetMonitor monitor;
  for (int i = 1; i <= 5; ++i) {
    Send(monitor, kNow + seconds(i - 5), Make("a", 5000, i));
  }
  return monitor;
}

TEST_CASE("A target wins back from one announcement of another writer") {
  for (const int64_t born : {int64_t{5000}, int64_t{6000}, kHuge}) {
    TargetMonitor monitor = MakeMonitor();
    CHECK(Send(monitor, kNow + milliseconds(400), Make("odd", born, kHuge)) ==
          Effect::kNewIncarnation);
    CHECK_FALSE(monitor.TakeFormerEnded());
    CHECK(Send(monitor, kNow + seconds(1), Make("a", 5000, 6)) ==
          Effect::kChanged);
    CHECK(Send(monitor, kNow + seconds(2), Make("a", 5000, 7, true)) ==
          Effect::kChanged);
    CHECK(monitor.state() == schema::TargetState::kDraining);
    CHECK(monitor.announcement().id == "a");
    CHECK_FALSE(monitor.TakeFormerEnded());
    CHECK(monitor.OnDeregister(kNow, "a", kNow));
  }
}

TEST_CASE("A forged start under the target's own id does not lock it out") {
  TargetMonitor monitor = MakeMonitor();
  Send(monitor, kNow + milliseconds(400), Make("a", kHuge, 1));
  CHECK(Send(monitor, kNow + seconds(1), Make("a", 5000, 6, true)) ==
        Effect::kChanged);
  CHECK(monitor.announcement().born_ms == 5000);
  CHECK(monitor.state() == schema::TargetState::kDraining);
}

TEST_CASE("A forged sequence number does not lock the target out") {
  TargetMonitor monitor = MakeMonitor();
  Send(monitor, kNow + milliseconds(400), Make("a", 5000, kHuge));
  SECTION("its draining is in force at once") {
    CHECK(Send(monitor, kNow + seconds(1), Make("a", 5000, 6, true)) ==
          Effect::kChanged);
    CHECK_FALSE(monitor.AcceptsFlows(kNow + seconds(1)));
  }
  SECTION("its numbers are in force again after a second") {
    CHECK(Send(monitor, kNow + seconds(1), Make("a", 5000, 6)) ==
          Effect::kStale);
    CHECK(Send(monitor, kNow + seconds(2), Make("a", 5000, 7)) ==
          Effect::kUnchanged);
    CHECK(monitor.announcement().sequence == 7);
  }
}

TEST_CASE("Late announcements do not make a draining target ready") {
  TargetMonitor monitor = MakeMonitor();
  Send(monitor, kNow + seconds(1), Make("a", 5000, 9, true));
  for (int i = 6; i < 9; ++i) {
    CHECK(Send(monitor, kNow + seconds(i - 4), Make("a", 5000, i)) ==
          Effect::kStale);
  }
  CHECK(monitor.state() == schema::TargetState::kDraining);
}

TEST_CASE("A target that stopped announcing itself is replaced at once") {
  TargetMonitor monitor = MakeMonitor();
  SECTION("after one and a half of its intervals") {
    CHECK(Send(monitor, kNow + milliseconds(1501), Make("b", 7000, 1)) ==
          Effect::kNewIncarnation);
  }
  SECTION("when its port is closed") {
    monitor.OnUnreachable(kNow + milliseconds(50));
    CHECK(Send(monitor, kNow + milliseconds(100), Make("b", 7000, 1)) ==
          Effect::kNewIncarnation);
  }
  SECTION("under its own id") {
    CHECK(Send(monitor, kNow, Make("a", 7000, 1)) == Effect::kNewIncarnation);
  }
  CHECK(monitor.TakeFormerEnded());
  CHECK_FALSE(monitor.TakeFormerEnded());
}

TEST_CASE("A target that crashed just after an announcement ends in two") {
  TargetMonitor monitor = MakeMonitor();
  Send(monitor, kNow + milliseconds(600), Make("b", 7000, 1));
  CHECK(monitor.AcceptsFlows(kNow + milliseconds(600)));
  CHECK_FALSE(monitor.TakeFormerEnded());
  Send(monitor, kNow + milliseconds(1600), Make("b", 7000, 2));
  CHECK(monitor.TakeFormerEnded());
  CHECK(monitor.former_ran_until() == kNow);
  CHECK(Send(monitor, kNow + milliseconds(1700), Make("a", 5000, 6)) ==
        Effect::kStale);
  CHECK(monitor.announcement().id == "b");
}

// Guards against a former target that takes the place of its successor by an
// announcement that was held up on its way.
TEST_CASE("A late announcement of an ended target replaces no successor") {
  TargetMonitor monitor = MakeMonitor();
  Send(monitor, kNow + milliseconds(1300), Make("b", 7000, 1));
  CHECK(SendLate(monitor, kNow + milliseconds(1400), kNow,
                 Make("a", 5000, 6)) == Effect::kStale);
  CHECK(monitor.announcement().id == "b");
  Send(monitor, kNow + milliseconds(3000), Make("b", 7000, 2));
  CHECK(monitor.TakeFormerEnded());
  CHECK(monitor.former_ran_until() == kNow);
}

TEST_CASE("A target wins back by its second announcement on a connection") {
  TargetMonitor monitor = MakeMonitor();
  Send(monitor, kNow + milliseconds(400), Make("odd", 6000, 1));
  // The response before it was sent at kNow, so it may be late.
  CHECK(SendLate(monitor, kNow + seconds(1), kNow, Make("a", 5000, 6)) ==
        Effect::kStale);
  CHECK(SendLate(monitor, kNow + seconds(2), kNow + seconds(1),
                 Make("a", 5000, 7)) == Effect::kChanged);
  CHECK(monitor.announcement().id == "a");
}

// Guards against a target that loses its flows, and whose announcements are
// refused for good, by two of another writer between two of its own.
TEST_CASE("A target wins back from announcements of an earlier start") {
  TargetMonitor monitor = MakeMonitor();
  CHECK(Send(monitor, kNow + milliseconds(100), Make("odd", 4000, 1)) ==
        Effect::kStale);
  CHECK(Send(monitor, kNow + milliseconds(1200), Make("odd", 4000, 2)) ==
        Effect::kNewIncarnation);
  CHECK_FALSE(monitor.TakeFormerEnded());
  CHECK(Send(monitor, kNow + milliseconds(1300), Make("a", 5000, 6)) ==
        Effect::kChanged);
  CHECK(monitor.announcement().id == "a");
  CHECK_FALSE(monitor.TakeFormerEnded());
}

TEST_CASE(
    "A target whose clock was set back ends the former one when overdue") {
  TargetMonitor monitor = MakeMonitor();
  Send(monitor, kNow + milliseconds(100), Make("b", 4000, 1));
  Send(monitor, kNow + milliseconds(1200), Make("b", 4000, 2));
  CHECK(monitor.announcement().id == "b");
  Send(monitor, kNow + milliseconds(2200), Make("b", 4000, 3));
  CHECK(monitor.TakeFormerEnded());
}

TEST_CASE("Late announcements of an unknown target replace none") {
  TargetMonitor monitor = MakeMonitor();
  for (int i = 1; i < 9; ++i) {
    CHECK(SendLate(monitor, kNow + milliseconds(300 * i), kNow - seconds(9),
                   Make("former", 4000, i)) == Effect::kStale);
  }
  CHECK(monitor.announcement().id == "a");
}

// Guards against a deregistration that was held up on its way and ends a later
// start of the target under the same id.
TEST_CASE("A late deregistration does not end a later start of the same id") {
  TargetMonitor monitor = MakeMonitor();
  Send(monitor, kNow + seconds(3), Make("a", 9000, 1));
  CHECK_FALSE(monitor.OnDeregister(kNow + seconds(4), "a", kNow));
  CHECK(monitor.AcceptsFlows(kNow + seconds(4)));
  CHECK(monitor.OnDeregister(kNow + seconds(5), "a", kNow + seconds(4)));
  CHECK(monitor.gone());
}

TEST_CASE("A deregistered target that goes on to announce itself runs") {
  TargetMonitor monitor = MakeMonitor();
  REQUIRE(monitor.OnDeregister(kNow, "a", kNow));
  // Sent before the deregistration, as far as is known.
  CHECK(SendLate(monitor, kNow + seconds(1), kNow - seconds(1),
                 Make("a", 5000, 6)) == Effect::kStale);
  CHECK(monitor.gone());
  CHECK(SendLate(monitor, kNow + seconds(2), kNow + seconds(1),
                 Make("a", 5000, 7)) == Effect::kChanged);
  CHECK(monitor.AcceptsFlows(kNow + seconds(2)));
}

TEST_CASE("The arrival of an announcement does not show that its sender runs") {
  TargetMonitor monitor = MakeMonitor();
  SendLate(monitor, kNow + seconds(7), kNow, Make("a", 5000, 6));
  CHECK(monitor.ran_until() == kNow);
}

}  // namespace
}  // namespace sesamesaddle
