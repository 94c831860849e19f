#ifndef SESAMESADDLE_TOOLS_EXPERIMENT_COMPARISON_H_
#define SESAMESADDLE_TOOLS_EXPERIMENT_COMPARISON_H_

#include <string>
#include <vector>

#include "play_store.h"

namespace sesamesaddle {

/** A way's results on the plays that every way has finished. */
struct WaySummary {
  std::string way;
  int plays = 0;
  /** Sums over the plays. */
  int requests = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int unserved = 0;
  double mean_worth = 0;
  double mean_store_price = 0;
  /** Mean and standard error of the worth less that of the first way, paired
   * by play. */
  double mean_gain = 0;
  double gain_error = 0;
  /** Plays with a broken rule or a fault; such a way is not to be kept. */
  int broken_plays = 0;
};

/** Compares the ways on the plays that have a result for all of them. */
std::vector<WaySummary> Compare(const ExperimentPlan& plan,
                                const PlayStore& store);

/** Returns a Markdown table of the plays and one of the sums. */
std::string FormatComparison(const ExperimentPlan& plan,
                             const PlayStore& store);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_EXPERIMENT_COMPARISON_H_
