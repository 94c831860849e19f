#include "flow_location/directory_trust.h"

#include <catch2/catch.hpp>

#include "core/endpoint.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));

constexpr Duration kLong = seconds(30);

// Guards against resets by a balancer that starts while the entry of a living
// target is missing.
TEST_CASE("A directory is trusted once a lost entry would be back") {
  DirectoryTrust trust;
  CHECK_FALSE(trust.Trusted(kNow));
  trust.OnDirectoryRead(kNow);
  trust.OnReport(kNow, Duration::zero());
  for (int i = 0; i < 4; ++i) trust.OnReport(kNow, kLong);
  CHECK_FALSE(trust.Trusted(kNow + milliseconds(2499)));
  trust.OnDirectoryRead(kNow + milliseconds(2000));
  CHECK(trust.Trusted(kNow + DirectoryTrust::kEntryReturnTime));
  // A read that began before may have missed an entry that came back since.
  CHECK_FALSE(trust.Covers(kNow + milliseconds(2000)));
}

// Guards against taking restarts of some agents for a restart of the fleet.
TEST_CASE("A directory is trusted at once only while all agents are new") {
  DirectoryTrust trust;
  trust.OnReport(kNow, milliseconds(100));
  CHECK_FALSE(trust.Trusted(kNow));  // Nothing was read yet.
  trust.OnDirectoryRead(kNow);
  CHECK(trust.Trusted(kNow));
  trust.OnReport(kNow, Duration::zero());
  CHECK(trust.Trusted(kNow));
  trust.OnReport(kNow, kLong);
  CHECK_FALSE(trust.Trusted(kNow));
}

TEST_CASE("An agent that reports late is as new as one that reports at once") {
  DirectoryTrust trust;
  trust.OnDirectoryRead(kNow);
  trust.OnReport(kNow + seconds(2), seconds(4));
  CHECK(trust.Trusted(kNow + seconds(2)));
  trust.OnReport(kNow + seconds(2), seconds(5));
  CHECK_FALSE(trust.Trusted(kNow + seconds(2)));
}

// Guards against taking a directory for complete that lacks a living agent.
TEST_CASE("A directory without a reporting agent is not trusted") {
  const Endpoint agent(0x0a010001, 8172);
  const Endpoint other(0x0a010002, 8172);
  DirectoryTrust trust;
  trust.OnDirectoryRead(kNow);
  trust.OnReport(kNow, Duration::zero());
  REQUIRE(trust.Trusted(kNow));
  trust.OnUnlistedReport(kNow, agent);
  CHECK(trust.LacksAgent(kNow, agent));
  CHECK_FALSE(trust.LacksAgent(kNow, other));
  CHECK_FALSE(trust.Trusted(kNow));
  trust.OnResolved(agent);
  CHECK_FALSE(trust.LacksAgent(kNow, agent));
  CHECK(trust.Trusted(kNow));
  trust.OnUnlistedReport(kNow + seconds(5), agent);
  CHECK_FALSE(trust.Trusted(kNow + milliseconds(7499)));
  // It has reported nothing since, so it may have ended.
  CHECK(trust.Trusted(kNow + milliseconds(7500)));
  CHECK_FALSE(trust.LacksAgent(kNow + milliseconds(7500), agent));
}

}  // namespace
}  // namespace sesamesaddle
