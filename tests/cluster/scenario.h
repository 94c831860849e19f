#ifndef SESAMESADDLE_TESTS_CLUSTER_SCENARIO_H_
#define SESAMESADDLE_TESTS_CLUSTER_SCENARIO_H_

#include <map>
#include <memory>
#include <string>

#include "virtual_cluster.h"

namespace sesamesaddle {

/** A virtual cluster with one service, a load of requests and its results. */
class Scenario {
 public:
  static constexpr Endpoint kService = Endpoint(0x7f000101, 5683);
  static constexpr size_t kSlots = 3;

  explicit Scenario(const ClusterOptions& options, size_t agents = 7,
                    size_t balancers = 3);

  VirtualCluster& cluster() { return *cluster_; }
  /** Adds `count` callers; the first `feeds` of them observe a feed. */
  void AddCallers(size_t count, size_t feeds);
  /** Share of the requests that are sent by the first tenth of the callers. */
  double hot_share = 0;
  /** Sends about `rate` requests per second from random callers. */
  void Load(Duration duration, double rate, double order_share);
  /** Runs until no request is open, at most 400 s. */
  void Finish();

  // Results, from a reference model that sees the state of all processes.

  /** Returns the number of orders that ran more than once. */
  int DuplicateRuns() const;
  /** Returns the number of orders whose response contradicts what happened:
   * answered but not run, or reported as not run but run. */
  int MisreportedOutcomes() const;
  /** Returns the number of requests that are pending, got no response or got
   * an error; none of these may happen. */
  int DisallowedOutcomes() const;
  /** Returns the number of responses that belong to another request. */
  int MismatchedResponses() const;
  int Count(RequestOutcome outcome) const;
  /**
   * Returns the number of flows that several running agents own, that have a
   * request without a response or with an unknown outcome, or whose feed was
   * registered again or was silent for longer than `feed_bound`.
   */
  int BrokenFlows(Duration feed_bound = std::chrono::seconds(30)) const;
  /** Returns the number of notifications with an older version than the one
   * before. */
  int64_t FeedRegressions() const;
  Duration LongestSilence() const;
  /** Returns the most requests completed by one target since the last
   * ResetWorkBaseline, divided by the mean of all targets. */
  double Imbalance() const;
  void ResetWorkBaseline();
  /** Returns the response time that `percent` of the answered requests do not
   * exceed. */
  Duration Percentile(double percent) const;

 private:
  std::unique_ptr<VirtualCluster> cluster_;
  int64_t next_order_ = 1;
  std::map<size_t, int64_t> work_before_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_CLUSTER_SCENARIO_H_
