#ifndef SESAMESADDLE_TOOLS_EXPERIMENT_EXPERIMENT_PLAN_H_
#define SESAMESADDLE_TOOLS_EXPERIMENT_EXPERIMENT_PLAN_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bench_report.h"

namespace sesamesaddle {

/** A set of options of the system's own processes. */
struct Way {
  std::string name;
  /** Further arguments of the processes of each role. */
  std::string balancer_arguments;
  std::string agent_arguments;
};

/** Ways to compare, and the plays to compare them on. */
struct ExperimentPlan {
  std::string name;
  /** The first one is what the others are compared with. */
  std::vector<Way> ways;
  std::vector<Play> plays;
};

/**
 * Parses a plan in TOML: `name`, `seeds`, `processor_time`, tables `way` (name,
 * balancer, agent) and `deployment` (site, days). Each day is played with each
 * seed; seed 0 is the day as it is written.
 * @return the plan, or what is wrong with the document
 */
tl::expected<ExperimentPlan, std::string> ParseExperimentPlan(
    std::string_view document);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_EXPERIMENT_EXPERIMENT_PLAN_H_
