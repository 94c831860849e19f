#ifndef SESAMESADDLE_TOOLS_LOAD_REPORT_H_
#define SESAMESADDLE_TOOLS_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace sesamesaddle {

/** Outcome of an order as its caller received it. */
enum class OrderOutcome { kAnswered, kNotRun, kUnknown };

/** Statistics that a target stand-in reports. */
struct TargetStats {
  std::string name;
  std::string service;
  int64_t slots = 1;
  int64_t completed = 0;
  int64_t wrong_service = 0;
  int64_t over_slots = 0;
};

/** Counts and results of a load run. */
struct Report {
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t refused = 0;
  int64_t unknown = 0;
  int64_t errors = 0;         // Other error codes.
  int64_t unanswered = 0;     // No final response.
  int64_t skipped = 0;        // No caller was idle.
  int64_t wrong_answers = 0;  // Response of another request.
  int64_t wrong_service = 0;
  int64_t incomplete = 0;
  int64_t pieces = 0;  // Single blocks that the CoAP library delivered.
  int64_t notifications = 0;
  int64_t feed_regressions = 0;  // Older version after a newer.
  int64_t feed_restarts = 0;
  double longest_feed_gap_ms = 0;
  int64_t broken_flows = 0;
  std::map<std::string, int64_t> broken_reasons;
  std::vector<double> latencies_ms;
  std::map<std::string, std::vector<double>> latencies_by_service;
  std::map<int64_t, OrderOutcome> orders;

  // Collected from the targets after the run:
  std::vector<TargetStats> targets;
  std::map<int64_t, int64_t> runs;
  int64_t duplicate_runs = 0;
  int64_t lost_orders = 0;     // Answered, but never run.
  int64_t false_refusals = 0;  // Refused as not run, but run.
  double imbalance = 0;        // Maximum / mean of work per slot.

  /** Compares the callers' outcomes with the runs that targets recorded. */
  void CompareWithTargets();
  /** Returns whether the run met every guarantee. */
  bool Passed() const;
  /** Returns the summary line that scripts/demo ends with, without its name. */
  std::string SummaryLine() const;
  std::string Json() const;
};

/** Returns the percentile (0 to 100) of the values; 0 if there are none. */
double Percentile(std::vector<double> values, double percent);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_LOAD_REPORT_H_
