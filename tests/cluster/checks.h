#ifndef SESAMESADDLE_TESTS_CLUSTER_CHECKS_H_
#define SESAMESADDLE_TESTS_CLUSTER_CHECKS_H_

#include <catch2/catch.hpp>

#include "scenario.h"

namespace sesamesaddle {

/** Checks what must hold under any failure. */
inline void CheckInvariants(const Scenario& scenario) {
  CHECK(scenario.DuplicateRuns() == 0);
  CHECK(scenario.MisreportedOutcomes() == 0);
  CHECK(scenario.MismatchedResponses() == 0);
  CHECK(scenario.DisallowedOutcomes() == 0);
  CHECK(scenario.FeedRegressions() == 0);
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_CLUSTER_CHECKS_H_
