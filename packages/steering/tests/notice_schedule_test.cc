#include "steering/notice_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));
const Endpoint kAgent(0x0a010001, 8172);

std::vector<Endpoint> Balancers(uint32_t count) {
  std::vector<Endpoint> balancers;
  for (uint32_t i = 0; i < count; ++i) {
    balancers.emplace_back(0x0a020000 + i, 7720);
  }
  return balancers;
}

/** Returns a schedule of a balancer that is no notifier of kAgent. */
NoticeSchedule OtherBalancer() {
  const std::vector<Endpoint> balancers = Balancers(10);
  for (const Endpoint& self : balancers) {
    NoticeSchedule schedule;
    schedule.SetBalancers(self, balancers);
    if (!schedule.IsNotifierOf(kAgent)) return schedule;
  }
  FAIL("each of ten balancers is a notifier");
  return {};
}

/** Counts the notices of one agent up to `until`, checked each 10 ms. */
int CountDue(NoticeSchedule& schedule, TimePoint from, TimePoint until) {
  int due = 0;
  for (TimePoint now = from; now < until; now += milliseconds(10)) {
    due += static_cast<int>(schedule.TakeDue(now).size());
  }
  return due;
}

TEST_CASE("Three balancers of any number notify an agent") {
  // With more, the datagrams of a change grow with agents times balancers.
  for (const uint32_t count : {1U, 2U, 3U, 5U, 50U}) {
    const std::vector<Endpoint> balancers = Balancers(count);
    for (uint32_t i = 0; i < 40; ++i) {
      const Endpoint agent(0x0a010000 + i, 8172);
      uint32_t notifiers = 0;
      for (const Endpoint& self : balancers) {
        NoticeSchedule schedule;
        // A balancer's own entry may be listed or not.
        std::vector<Endpoint> peers = balancers;
        if (i % 2 == 0) {
          peers.erase(peers.begin() + (self.ip() - balancers[0].ip()));
        }
        schedule.SetBalancers(self, peers);
        if (schedule.IsNotifierOf(agent)) ++notifiers;
      }
      CHECK(notifiers == std::min(count, 3U));
    }
  }
}

TEST_CASE("The notices to many agents are spread over the balancers") {
  const std::vector<Endpoint> balancers = Balancers(10);
  for (const Endpoint& self : balancers) {
    NoticeSchedule schedule;
    schedule.SetBalancers(self, balancers);
    int agents = 0;
    for (uint32_t i = 0; i < 1000; ++i) {
      agents += schedule.IsNotifierOf(Endpoint(0x0a010000 + i, 8172)) ? 1 : 0;
    }
    CHECK(agents > 200);
    CHECK(agents < 400);
  }
}

TEST_CASE("A notice is repeated every 500 ms until the agent confirms it") {
  NoticeSchedule schedule;
  CHECK(schedule.idle());
  schedule.Begin(kNow, kAgent);
  CHECK(schedule.TakeDue(kNow) == std::vector<Endpoint>{kAgent});
  CHECK(schedule.TakeDue(kNow + milliseconds(490)).empty());
  CHECK(schedule.TakeDue(kNow + milliseconds(500)).size() == 1);
  schedule.OnConfirmed(kAgent);
  CHECK(CountDue(schedule, kNow + milliseconds(510), kNow + seconds(10)) == 0);
  CHECK(schedule.idle());
}

TEST_CASE("An agent that never confirms gets five notices") {
  NoticeSchedule schedule;
  schedule.Begin(kNow, kAgent);
  CHECK(CountDue(schedule, kNow, kNow + seconds(60)) == 5);
  CHECK(schedule.idle());
}

TEST_CASE("Outdated reports cause at most one notice per agent in 200 ms") {
  // A report comes with each refused SYN.
  NoticeSchedule schedule;
  int due = 0;
  for (TimePoint now = kNow; now < kNow + seconds(1); now += milliseconds(5)) {
    schedule.OnOutdated(now, kAgent, kNow - seconds(5));
    due += static_cast<int>(schedule.TakeDue(now).size());
  }
  CHECK(due == 5);
  schedule.OnSent(kNow + seconds(2), kAgent);
  schedule.OnOutdated(kNow + seconds(2), kAgent, kNow);
  CHECK(schedule.TakeDue(kNow + milliseconds(2190)).empty());
  CHECK(schedule.TakeDue(kNow + milliseconds(2200)).size() == 1);
}

TEST_CASE("A balancer that is no notifier answers reports after a second") {
  // Notifiers tell the agent first; otherwise each balancer would.
  NoticeSchedule schedule = OtherBalancer();
  schedule.Begin(kNow, kAgent);
  CHECK(schedule.idle());
  schedule.OnOutdated(kNow + milliseconds(990), kAgent, kNow);
  CHECK(schedule.idle());
  schedule.OnOutdated(kNow + seconds(1), kAgent, kNow);
  CHECK(CountDue(schedule, kNow + seconds(1), kNow + seconds(10)) == 1);
}

TEST_CASE("An outdated report does not end the series of a notifier") {
  NoticeSchedule schedule;
  schedule.Begin(kNow, kAgent);
  CHECK(schedule.TakeDue(kNow).size() == 1);
  schedule.OnOutdated(kNow + milliseconds(1), kAgent, kNow);
  CHECK(schedule.TakeDue(kNow + milliseconds(200)).size() == 1);
  CHECK(CountDue(schedule, kNow + milliseconds(210), kNow + seconds(9)) == 3);
}

TEST_CASE("A change during a series gets a full series of its own") {
  NoticeSchedule schedule;
  schedule.Begin(kNow, kAgent);
  CHECK(CountDue(schedule, kNow, kNow + milliseconds(1600)) == 4);
  schedule.Begin(kNow + milliseconds(1600), kAgent);
  CHECK(CountDue(schedule, kNow + milliseconds(1600), kNow + seconds(60)) == 5);
}

}  // namespace
}  // namespace sesamesaddle
