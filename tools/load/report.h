#ifndef SESAMESADDLE_TOOLS_LOAD_REPORT_H_
#define SESAMESADDLE_TOOLS_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace sesamesaddle {

/** How an order ended for its caller. */
enum class OrderEnd { kAnswered, kNotRun, kUnknown };

/** What a target stand-in says of itself. */
struct TargetStats {
  std::string name;
  std::string service;
  int64_t slots = 1;
  int64_t completed = 0;
  int64_t wrong_service = 0;
  int64_t over_slots = 0;
};

/** Everything a load run counts. */
struct Report {
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t refused = 0;
  int64_t unknown = 0;
  int64_t errors = 0;         // Other error codes.
  int64_t unanswered = 0;     // No final answer at all.
  int64_t skipped = 0;        // No caller was idle.
  int64_t wrong_answers = 0;  // Of another request.
  int64_t wrong_service = 0;
  int64_t incomplete = 0;
  int64_t pieces = 0;  // Blocks that the CoAP library handed over alone.
  int64_t notifications = 0;
  int64_t feed_regressions = 0;  // An older version after a newer one.
  int64_t feed_restarts = 0;
  double longest_feed_gap_ms = 0;
  int64_t broken_flows = 0;
  std::map<std::string, int64_t> broken_reasons;
  std::vector<double> latencies_ms;
  std::map<std::string, std::vector<double>> latencies_by_service;
  std::map<int64_t, OrderEnd> orders;

  // From the targets, after the run:
  std::vector<TargetStats> targets;
  std::map<int64_t, int64_t> runs;
  int64_t duplicate_runs = 0;
  int64_t lost_orders = 0;     // Answered as done, but never run.
  int64_t false_refusals = 0;  // Refused as not run, but run.
  double imbalance = 0;        // Max over mean of work per slot.

  /** Compares what callers were told with what targets recorded. */
  void Settle();
  /** Whether the promises held. */
  bool Held() const;
  /** The line that scripts/demo ends with, without its name. */
  std::string Line() const;
  std::string Json() const;
};

/** @return the percentile (0 to 100) of the values; 0 if there are none. */
double Percentile(std::vector<double> values, double percent);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_LOAD_REPORT_H_
