#include "placement/placement.h"

#include <algorithm>

#include "routing/rendezvous.h"

namespace sesamesaddle {
namespace {

// Choosing the better of two random targets removes most of the imbalance of a
// single choice (Mitzenmacher 1996).
constexpr size_t kCandidatesPerScope = 2;
// Extra work per slot at which another zone is preferred: a hop between zones
// takes well under a millisecond, a queued request tens of milliseconds.
constexpr double kOtherZoneCost = 0.34;
// Extra work per slot at which another region is preferred: opening a flow and
// sending a request take two round trips of 24 to 40 ms there, as long as two
// or three queued requests.
constexpr double kOtherRegionCost = 3.0;
// At most one in this many ready targets is excluded for failing.
constexpr size_t kMinReadyPerFailing = 3;
// With more work per slot at the best candidate, all targets of the service are
// compared.
constexpr double kOverloadCost = 1.0;
// Bounds of a target's response time relative to the median of its service.
constexpr double kMinSlowness = 0.8;
constexpr double kMaxSlowness = 8.0;

uint64_t Weight(const Flow& flow, const AgentView& view) {
  return RendezvousWeight(flow, MemberId(view.agent.Pack()));
}

bool Contains(const std::vector<Endpoint>& list, const Endpoint& agent) {
  return std::find(list.begin(), list.end(), agent) != list.end();
}

/** Inserts the view by weight and keeps the `limit` highest, highest first. */
void KeepHighest(std::vector<std::pair<uint64_t, AgentView*>>& best,
                 uint64_t weight, AgentView* view, size_t limit) {
  const auto place = std::find_if(
      best.begin(), best.end(),
      [weight](const auto& entry) { return entry.first < weight; });
  best.insert(place, {weight, view});
  if (best.size() > limit) best.pop_back();
}

double DistanceCost(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return 0;
    case Distance::kSameRegion:
      return kOtherZoneCost;
    case Distance::kOtherRegion:
      break;
  }
  return kOtherRegionCost;
}

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/** Returns the median of the reported response times, or 0 without any. */
double MedianResponseMs(const std::vector<AgentView*>& agents) {
  std::vector<double> times;
  for (const AgentView* view : agents) {
    if (view->response_time > Duration::zero()) {
      times.push_back(ToMilliseconds(view->response_time));
    }
  }
  if (times.empty()) return 0;
  const auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

}  // namespace

std::vector<AgentView*> FlowCandidates(const Flow& flow,
                                       const Topology& topology,
                                       const std::vector<AgentView*>& agents) {
  std::vector<std::pair<uint64_t, AgentView*>> in_zone;
  std::vector<std::pair<uint64_t, AgentView*>> in_region;
  std::vector<std::pair<uint64_t, AgentView*>> all;
  for (AgentView* view : agents) {
    const uint64_t weight = Weight(flow, *view);
    const Distance distance = topology.DistanceTo(view->record.zone);
    KeepHighest(all, weight, view, kCandidatesPerScope);
    if (distance == Distance::kOtherRegion) continue;
    KeepHighest(in_region, weight, view, kCandidatesPerScope);
    if (distance == Distance::kSameRegion) continue;
    KeepHighest(in_zone, weight, view, kCandidatesPerScope);
  }
  std::vector<AgentView*> candidates;
  for (const auto& [weight, view] : in_zone) candidates.push_back(view);
  for (const auto& [weight, view] : in_region.empty() ? all : in_region) {
    if (std::find(candidates.begin(), candidates.end(), view) ==
        candidates.end()) {
      candidates.push_back(view);
    }
  }
  return candidates;
}

std::unique_ptr<PlacementPolicy> MakePlacement(
    PlacementKind kind, Topology topology, const TargetDirectory& directory) {
  if (kind == PlacementKind::kHash) {
    return std::make_unique<HashPlacement>(directory);
  }
  return std::make_unique<LeastWaitPlacement>(std::move(topology), directory);
}

AgentView* HashPlacement::Choose(TimePoint /*now*/,
                                 const PlacementRequest& request,
                                 const std::vector<AgentView*>& agents) {
  AgentView* best = nullptr;
  uint64_t best_weight = 0;
  for (AgentView* view : agents) {
    const uint64_t weight = Weight(request.flow, *view);
    if (!view->listed || Contains(request.excluded, view->agent)) continue;
    if (directory_.InEvacuatedZone(*view)) continue;
    if (best != nullptr && weight < best_weight) continue;
    best = view;
    best_weight = weight;
  }
  return best;
}

AgentView* LeastWaitPlacement::Choose(TimePoint now,
                                      const PlacementRequest& request,
                                      const std::vector<AgentView*>& agents) {
  std::vector<AgentView*> usable;
  for (AgentView* view : agents) {
    if (Contains(request.excluded, view->agent)) continue;
    if (directory_.Usable(now, *view)) usable.push_back(view);
  }
  if (ShouldExcludeFailing(agents)) ExcludeFailing(now, request, usable);
  ExcludeWithoutRoom(now, usable);
  const double median_ms = MedianResponseMs(usable);
  AgentView* best = LowestCost(now, request, median_ms,
                               FlowCandidates(request.flow, topology_, usable));
  if (best == nullptr) return nullptr;
  if (Cost(now, *best, median_ms) > kOverloadCost) {
    best = LowestCost(now, request, median_ms, usable);
  }
  if (best->failing) best->next_trial = now + TargetDirectory::kTrialPeriod;
  return best;
}

bool LeastWaitPlacement::ShouldExcludeFailing(
    const std::vector<AgentView*>& agents) {
  size_t failing = 0;
  size_t ready = 0;
  for (const AgentView* view : agents) {
    if (view->record.state != schema::TargetState::kReady) continue;
    ++ready;
    failing += static_cast<size_t>(view->failing);
  }
  return failing > 0 && failing * kMinReadyPerFailing <= ready;
}

void LeastWaitPlacement::ExcludeFailing(TimePoint now,
                                        const PlacementRequest& request,
                                        std::vector<AgentView*>& usable) {
  const auto excluded = [now, &request](const AgentView* view) {
    return view->failing && (request.runs_once || now < view->next_trial);
  };
  usable.erase(std::remove_if(usable.begin(), usable.end(), excluded),
               usable.end());
}

void LeastWaitPlacement::ExcludeWithoutRoom(TimePoint now,
                                            std::vector<AgentView*>& usable) {
  const auto first_without = std::stable_partition(
      usable.begin(), usable.end(),
      [now](const AgentView* view) { return HasSlowStartRoom(now, *view); });
  if (first_without != usable.begin()) {
    usable.erase(first_without, usable.end());
  }
}

AgentView* LeastWaitPlacement::LowestCost(
    TimePoint now, const PlacementRequest& request, double median_ms,
    const std::vector<AgentView*>& agents) const {
  AgentView* best = nullptr;
  double best_cost = 0;
  for (AgentView* view : agents) {
    const double cost = Cost(now, *view, median_ms);
    const bool worse = best != nullptr &&
                       (cost > best_cost ||
                        (cost == best_cost && Weight(request.flow, *view) <
                                                  Weight(request.flow, *best)));
    if (worse) continue;
    best = view;
    best_cost = cost;
  }
  return best;
}

double LeastWaitPlacement::Cost(TimePoint now, const AgentView& view,
                                double median_ms) const {
  double slowness = 1;
  if (median_ms > 0 && view.response_time > Duration::zero()) {
    slowness = std::clamp(ToMilliseconds(view.response_time) / median_ms,
                          kMinSlowness, kMaxSlowness);
  }
  return WorkPerSlot(now, view) * slowness +
         DistanceCost(topology_.DistanceTo(view.record.zone));
}

}  // namespace sesamesaddle
