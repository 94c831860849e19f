#ifndef SESAMESADDLE_STEERING_PLACEMENT_H_
#define SESAMESADDLE_STEERING_PLACEMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "steering/target_directory.h"
#include "steering/topology.h"

namespace sesamesaddle {

/** What a choice of a target starts from. */
struct PlacementRequest {
  Flow flow;
  /** Agents that refused this flow or did not answer for it. */
  std::vector<Endpoint> excluded;
  /** Its requests may run once at most, so they are not for trying targets. */
  bool runs_once = false;
};

/** Chooses the target of a new flow. */
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /** @return the chosen agent, or null if none of them can take the flow. */
  virtual AgentView* Choose(TimePoint now, const PlacementRequest& request,
                            const std::vector<AgentView*>& agents) = 0;
};

/** Hash of the flow over the listed targets; the baseline to compare with. */
class HashPlacement : public PlacementPolicy {
 public:
  AgentView* Choose(TimePoint now, const PlacementRequest& request,
                    const std::vector<AgentView*>& agents) override;
};

/**
 * The target with the shortest expected wait among the flow's candidates: those
 * that hash highest for the flow, so that a balancer that did not place the
 * flow knows where to look for it. All targets are compared only if every
 * candidate has more work than slots.
 */
class LeastWaitPlacement : public PlacementPolicy {
 public:
  /** @param topology  where the balancer is; near targets are preferred */
  LeastWaitPlacement(Topology topology, const TargetDirectory& directory)
      : topology_(std::move(topology)), directory_(directory) {}

  AgentView* Choose(TimePoint now, const PlacementRequest& request,
                    const std::vector<AgentView*>& agents) override;

 private:
  /**
   * Whether targets of the service fail requests, and they are few enough: if
   * they are more than a third, the fault may be elsewhere, and the rest could
   * not carry the load.
   */
  static bool ShouldExcludeFailing(const std::vector<AgentView*>& agents);
  /** Takes out targets that fail requests, but for a trial now and then. */
  static void ExcludeFailing(TimePoint now, const PlacementRequest& request,
                             std::vector<AgentView*>& usable);
  /** @param median_ms  response time of the service's targets, 0 if unknown */
  AgentView* LowestCost(TimePoint now, const PlacementRequest& request,
                        double median_ms,
                        const std::vector<AgentView*>& agents) const;
  double Cost(TimePoint now, const AgentView& view, double median_ms) const;

  Topology topology_;
  const TargetDirectory& directory_;
};

enum class PlacementKind { kLeastWait, kHash };

/** @param directory  outlives the policy */
std::unique_ptr<PlacementPolicy> MakePlacement(
    PlacementKind kind, Topology topology, const TargetDirectory& directory);

/**
 * The agents most likely to hold the flow, best first: the two highest hashes
 * of the own zone and the two highest of the own region, or of all if none of
 * them is in the region.
 */
std::vector<AgentView*> FlowCandidates(const Flow& flow,
                                       const Topology& topology,
                                       const std::vector<AgentView*>& agents);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_PLACEMENT_H_
