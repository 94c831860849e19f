#ifndef SESAMESADDLE_TESTS_OPEN_FLOWS_ORDER_JUDGE_H_
#define SESAMESADDLE_TESTS_OPEN_FLOWS_ORDER_JUDGE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "steering_world.h"

namespace sesamesaddle {

/**
 * Judges a run by what clients and targets see, as the users' rules do:
 *
 * - FLOW (a): a client gets a reset of a flow that its living target holds.
 * - FLOW (b): packets of an open flow reach other targets and not its own.
 * - ROUTE: a service runs a request that no configuration sent to it.
 * - FAILBACK: a cold target gets more new flows in a second than allowed.
 *
 * FLOW does not count within kStableWindow after an unplanned disruption of the
 * store, of the target's machine, or of a machine that took part. Planned work
 * and messages of other writers excuse nothing.
 */
class OrderJudge {
 public:
  /** The users' `stableWindowMs` on their small deployments. */
  static constexpr Duration kStableWindow = std::chrono::seconds(4);
  /** The users' bounds of FAILBACK. */
  static constexpr double kSlowStartOver = 1.5;
  static constexpr double kSlowStartSlack = 5;

  /** Watches the world, which must outlive it. */
  explicit OrderJudge(SteeringWorld& world);

  /**
   * Called for an unplanned disruption that lasts for `duration`: of the
   * target's machine, of any balancer, or of the store.
   */
  void OnTargetDisrupted(size_t target, Duration duration);
  void OnBalancerDisrupted(Duration duration);
  void OnStoreDisrupted(Duration duration);
  /** Called when the links between all machines begin to be disrupted. */
  void OnLinksFail();
  /** Called when they are as before. */
  void OnLinksRecover();
  /** Called when a target starts that is cold for a time. */
  void OnColdStart(size_t target, Duration cold);
  /** Called when a configuration sends a route to a service. */
  void OnRouteAllowed(const Endpoint& route, const std::string& service) {
    allowed_[route].insert(service);
  }
  /** Called when a route is dropped; its flows end. */
  void OnRouteDropped(const Endpoint& route) { dropped_.insert(route); }

  /** Returns a line for each broken rule. */
  std::vector<std::string> Broken() const;

 private:
  struct Span {
    TimePoint begin{};
    TimePoint end{};
  };

  /** Whether a disruption in the list excuses what happens at a time. */
  static bool Excuses(const std::vector<Span>& disruptions, TimePoint at);
  bool IsExcused(const Flow& flow, size_t target, TimePoint at) const;
  /** Returns the most new flows of a cold target in any sliding second. */
  int MostInSecond(size_t target) const;
  void JudgeFailback(std::vector<std::string>& broken) const;

  SteeringWorld& world_;
  std::map<size_t, std::vector<Span>> targets_;
  std::vector<Span> balancers_;
  std::vector<Span> store_;
  std::vector<Span> links_;
  bool links_failing_ = false;
  std::map<size_t, std::vector<Span>> cold_;
  std::map<Endpoint, std::set<std::string>> allowed_;
  std::set<Endpoint> dropped_;
  std::vector<std::string> routed_wrongly_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_OPEN_FLOWS_ORDER_JUDGE_H_
