#ifndef SESAMESADDLE_TESTS_OPEN_FLOWS_TARGET_EVENTS_H_
#define SESAMESADDLE_TESTS_OPEN_FLOWS_TARGET_EVENTS_H_

#include <cstddef>
#include <set>

#include "core/random.h"
#include "dead_flow_watch.h"
#include "order_event.h"
#include "order_judge.h"
#include "steering_world.h"
#include "target_announcements.h"

namespace sesamesaddle {

/**
 * The events of a generated order that concern targets, their announcements and
 * entries, and whole parts of a fleet.
 */
class TargetEvents {
 public:
  /** All arguments must outlive it. */
  TargetEvents(SteeringWorld& world, RandomSource& random, DeadFlowWatch& watch,
               OrderJudge& judge);

  /** Sets the fleet up; called before the first event. */
  void Begin() { announcements_.Begin(); }
  /**
   * Applies an event.
   * @return whether it could take effect
   */
  bool Apply(OrderEvent event);
  /** Called when a machine is lost for good. */
  void OnMachineLost(size_t i) { away_.insert(i); }
  /** Whether the target is about to start or its machine is lost. */
  bool Away(size_t i) const { return away_.count(i) != 0; }

 private:
  /** Applies an event that concerns the announcements of one target. */
  bool ApplyToAnnouncements(OrderEvent event, size_t i);
  /** Applies an event of the store's entries. */
  bool ApplyToEntry(OrderEvent event, size_t i);
  bool StartAgain(size_t i, NextTarget next);
  /** Starts the next target on a machine that has power. */
  void Start(size_t i, NextTarget next);
  /** A zone loses power and returns; its agents or its targets start first. */
  bool LoseZone();
  void ReturnMachine(size_t i, bool agent_first, Duration gap);
  bool DeregisterLate(size_t i);
  bool ReuseAddress(size_t i);
  bool CrashBalancers(size_t share);
  bool CrashAgents(size_t share);
  bool OverwriteEntry(size_t i, OrderEvent event);
  Duration RandomMs(uint64_t from, uint64_t to) {
    return std::chrono::milliseconds(from + random_.Below(to - from));
  }

  SteeringWorld& world_;
  RandomSource& random_;
  DeadFlowWatch& watch_;
  OrderJudge& judge_;
  TargetAnnouncements announcements_;
  /** Targets that are about to start, or whose machines are lost. */
  std::set<size_t> away_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_OPEN_FLOWS_TARGET_EVENTS_H_
