#include "admission/slow_start_limiter.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace sesamesaddle {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));

TEST_CASE("A warm target and one without a limit have unlimited room") {
  SlowStartLimiter limiter;
  CHECK_FALSE(limiter.Room(kNow).has_value());
  limiter.SetColdUntil(kNow + seconds(5));
  CHECK(limiter.Cold(kNow));
  CHECK_FALSE(limiter.Room(kNow).has_value());
  limiter.SetLimit(3);
  CHECK(limiter.Room(kNow) == 3);
  limiter.ClearLimit();
  CHECK(limiter.HasRoom(kNow));
  limiter.SetLimit(3);
  CHECK_FALSE(limiter.Cold(kNow + seconds(5)));
  CHECK_FALSE(limiter.Room(kNow + seconds(5)).has_value());
}

TEST_CASE("A limit is rounded down and allows at least one flow a second") {
  SlowStartLimiter limiter;
  limiter.SetColdUntil(kNow + seconds(5));
  for (const auto& [limit, room] : std::vector<std::pair<double, size_t>>{
           {0.2, 1}, {1, 1}, {2.9, 2}, {1e300, SlowStartLimiter::kMaxLimit}}) {
    limiter.SetLimit(limit);
    CHECK(limiter.Room(kNow) == room);
  }
}

TEST_CASE("Room returns when a flow has left the sliding second") {
  SlowStartLimiter limiter;
  limiter.SetColdUntil(kNow + seconds(5));
  limiter.SetLimit(2);
  limiter.Record(kNow);
  limiter.Record(kNow + milliseconds(400));
  CHECK(limiter.Room(kNow + milliseconds(400)) == 0);
  CHECK_FALSE(limiter.HasRoom(kNow + seconds(1)));
  CHECK(limiter.Room(kNow + seconds(1) + microseconds(1)) == 1);
  CHECK(limiter.Room(kNow + milliseconds(1401)) == 2);
}

// A notice may arrive after the first flows; they load the target all the same.
TEST_CASE("Flows delivered before the limit was known count") {
  SlowStartLimiter limiter;
  limiter.SetColdUntil(kNow + seconds(5));
  for (int i = 0; i < 3; ++i) limiter.Record(kNow);
  limiter.SetLimit(4);
  CHECK(limiter.Room(kNow) == 1);
  limiter.SetLimit(2);
  CHECK(limiter.Room(kNow) == 0);
}

// A former process may have used up the limit just before it ended.
TEST_CASE("A limiter without a whole second of records has no room") {
  SlowStartLimiter limiter;
  limiter.SetColdUntil(kNow + seconds(5));
  limiter.SetLimit(4);
  limiter.SetRecordedSince(kNow);
  CHECK(limiter.Room(kNow + milliseconds(1)) == 0);
  CHECK(limiter.Room(kNow + seconds(1)) == 0);
  CHECK(limiter.Room(kNow + seconds(1) + microseconds(1)) == 4);
}

TEST_CASE("No sliding second has more flows than the limit") {
  CHECK(rc::check([] {
    const auto limit = *rc::gen::inRange(1, 12);
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
    SlowStartLimiter limiter;
    limiter.SetColdUntil(kNow + std::chrono::hours(1));
    limiter.SetLimit(limit);
    TimePoint now = kNow;
    std::vector<TimePoint> delivered;
    size_t refused = 0;
    for (const int step : steps) {
      now += milliseconds(step);
      const size_t room = *limiter.Room(now);
      RC_ASSERT(limiter.HasRoom(now) == (room > 0));
      const auto in_second =
          std::count_if(delivered.begin(), delivered.end(),
                        [now](TimePoint at) { return at >= now - seconds(1); });
      // Exact: no room is withheld either.
      RC_ASSERT(room == static_cast<size_t>(limit - in_second));
      if (room == 0) {
        ++refused;
        continue;
      }
      limiter.Record(now);
      delivered.push_back(now);
    }
    RC_TAG(refused > 0 ? "limit reached" : "limit not reached");
  }));
}

TEST_CASE("The limiter's memory is bounded and keeps the highest limit") {
  SlowStartLimiter limiter;
  limiter.SetColdUntil(kNow + seconds(5));
  limiter.SetLimit(1e9);
  for (size_t i = 0; i < 3 * SlowStartLimiter::kMaxLimit; ++i) {
    limiter.Record(kNow);
  }
  CHECK(limiter.Room(kNow) == 0);
  CHECK(limiter.Room(kNow + milliseconds(1001)) == SlowStartLimiter::kMaxLimit);
}

}  // namespace
}  // namespace sesamesaddle
