#ifndef SESAMESADDLE_TESTS_CLUSTER_CHECKS_H_
#define SESAMESADDLE_TESTS_CLUSTER_CHECKS_H_

#include <catch2/catch.hpp>

#include "scenario.h"

namespace sesamesaddle {

/** What must hold whatever fails, against the naive model. */
inline void CheckAlways(const Scenario& scenario) {
  CHECK(scenario.DuplicateRuns() == 0);
  CHECK(scenario.FalseOutcomes() == 0);
  CHECK(scenario.WrongAnswers() == 0);
  CHECK(scenario.WithoutAnswer() == 0);
  CHECK(scenario.FeedRegressions() == 0);
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_CLUSTER_CHECKS_H_
