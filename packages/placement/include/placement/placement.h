#ifndef SESAMESADDLE_PLACEMENT_PLACEMENT_H_
#define SESAMESADDLE_PLACEMENT_PLACEMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "placement/target_directory.h"
#include "placement/topology.h"

namespace sesamesaddle {

/** Input of PlacementPolicy::Choose. */
struct PlacementRequest {
  Flow flow;
  /** Agents that refused this flow or did not answer its SYN. */
  std::vector<Endpoint> excluded;
  /**
   * Requests must run at most once, so they are not sent to failing targets as
   * trials.
   */
  bool runs_once = false;
};

/** Chooses the target of a new flow. */
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /** Returns the chosen agent, or null if none of them can take the flow. */
  virtual AgentView* Choose(TimePoint now, const PlacementRequest& request,
                            const std::vector<AgentView*>& agents) = 0;
};

/**
 * Chooses by the flow's rendezvous hash among the listed targets; the baseline
 * for comparisons.
 */
class HashPlacement : public PlacementPolicy {
 public:
  explicit HashPlacement(const TargetDirectory& directory)
      : directory_(directory) {}

  AgentView* Choose(TimePoint now, const PlacementRequest& request,
                    const std::vector<AgentView*>& agents) override;

 private:
  const TargetDirectory& directory_;
};

/**
 * Chooses the target with the shortest expected wait among the flow's
 * candidates. These are the targets with the highest hash for the flow, so that
 * a balancer that did not place the flow can find it. All targets are compared
 * only if each candidate has more work than slots.
 */
class LeastWaitPlacement : public PlacementPolicy {
 public:
  /** @param topology  location of the balancer; near targets are preferred */
  LeastWaitPlacement(Topology topology, const TargetDirectory& directory)
      : topology_(std::move(topology)), directory_(directory) {}

  AgentView* Choose(TimePoint now, const PlacementRequest& request,
                    const std::vector<AgentView*>& agents) override;

 private:
  /**
   * Returns whether failing targets of the service may be excluded: at most a
   * third of the ready ones may be. With more, the fault may be elsewhere, and
   * the others could not carry the load.
   */
  static bool ShouldExcludeFailing(const std::vector<AgentView*>& agents);
  /** Removes failing targets from `usable`, except for occasional trials. */
  static void ExcludeFailing(TimePoint now, const PlacementRequest& request,
                             std::vector<AgentView*>& usable);
  /**
   * Removes targets in slow start that have no room, unless no target has any.
   */
  static void ExcludeWithoutRoom(TimePoint now,
                                 std::vector<AgentView*>& usable);
  /** @param median_ms  median response time of the service, 0 if unknown */
  AgentView* LowestCost(TimePoint now, const PlacementRequest& request,
                        double median_ms,
                        const std::vector<AgentView*>& agents) const;
  double Cost(TimePoint now, const AgentView& view, double median_ms) const;

  Topology topology_;
  const TargetDirectory& directory_;
};

enum class PlacementKind { kLeastWait, kHash };

/** @param directory  must outlive the policy */
std::unique_ptr<PlacementPolicy> MakePlacement(
    PlacementKind kind, Topology topology, const TargetDirectory& directory);

/**
 * Returns the agents most likely to hold the flow, best first: the two with the
 * highest hash in the own zone, then the two highest in the own region, or of
 * all if there are none in the region.
 */
std::vector<AgentView*> FlowCandidates(const Flow& flow,
                                       const Topology& topology,
                                       const std::vector<AgentView*>& agents);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_PLACEMENT_PLACEMENT_H_
