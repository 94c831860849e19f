#include <catch2/catch.hpp>

#include "checks.h"
#include "scenario.h"

namespace sesamesaddle {
namespace {

TEST_CASE(
    "Without failures, requests are answered and each flow has one owner") {
  Scenario scenario((ClusterOptions()));
  scenario.AddCallers(60, 20);
  scenario.Load(std::chrono::seconds(20), 200, 0.3);
  scenario.Finish();
  CheckInvariants(scenario);
  CHECK(scenario.BrokenFlows() == 0);
  CHECK(scenario.Count(RequestOutcome::kAnswered) > 3000);
  for (const auto& caller : scenario.cluster().callers()) {
    CHECK(scenario.cluster().OwnersOf(caller->flow()).size() == 1);
  }
  CHECK(scenario.LongestSilence() < std::chrono::seconds(3));
}

}  // namespace
}  // namespace sesamesaddle
