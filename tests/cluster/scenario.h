#ifndef SESAMESADDLE_TESTS_CLUSTER_SCENARIO_H_
#define SESAMESADDLE_TESTS_CLUSTER_SCENARIO_H_

#include <map>
#include <memory>
#include <string>

#include "virtual_cluster.h"

namespace sesamesaddle {

/** A cluster with one service, as the brief's users run it. */
class Scenario {
 public:
  static constexpr Endpoint kService = Endpoint(0x7f000101, 5683);
  static constexpr size_t kSlots = 3;

  explicit Scenario(const ClusterOptions& options, size_t agents = 7,
                    size_t balancers = 3);

  VirtualCluster& cluster() { return *cluster_; }
  /** Adds callers that send reads and orders at random moments. */
  void AddCallers(size_t count, size_t feeds);
  /** Share of requests that go to a tenth of the callers. */
  double hot_share = 0;
  /** Sends about `rate` requests a second for a while. */
  void Load(Duration duration, double rate, double write_share);
  /** Ends the load and waits for the last answers. */
  void Finish();

  // What the naive model with full knowledge says must hold.

  /** Orders that ran twice. */
  int DuplicateRuns() const;
  /** Orders whose caller was told something else than what happened. */
  int MisreportedOutcomes() const;
  /** Requests that ended in none of the ways the promises allow. */
  int DisallowedOutcomes() const;
  /** Answers that belong to another request. */
  int MismatchedResponses() const;
  int Count(RequestOutcome outcome) const;
  /**
   * Flows that two running agents own, with a request that got no certain
   * answer, or with a feed that began again or was silent for longer than this.
   */
  int BrokenFlows(Duration feed_bound = std::chrono::seconds(30)) const;
  int64_t FeedRegressions() const;
  Duration LongestSilence() const;
  /** Most work of a target over the mean, since the last ResetWorkBaseline. */
  double Imbalance() const;
  void ResetWorkBaseline();
  /** Time to the answer that this share of the answered requests kept. */
  Duration Percentile(double percent) const;

 private:
  std::unique_ptr<VirtualCluster> cluster_;
  int64_t next_order_ = 1;
  std::map<size_t, int64_t> work_before_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_CLUSTER_SCENARIO_H_
