#ifndef SESAMESADDLE_TESTS_OPEN_FLOWS_GENERATED_ORDER_H_
#define SESAMESADDLE_TESTS_OPEN_FLOWS_GENERATED_ORDER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "dead_flow_watch.h"
#include "order_event.h"
#include "order_judge.h"
#include "steering_world.h"
#include "target_events.h"

namespace sesamesaddle {

/** How often a kind of events was drawn, and how often it took effect. */
struct EventCount {
  int drawn = 0;
  int applied = 0;
};
using EventCounts = std::map<OrderEvent, EventCount>;

/**
 * A fleet with open and new flows, and a generated order of planned work and
 * faults, after which all faults end.
 */
class GeneratedOrder {
 public:
  GeneratedOrder(uint64_t seed, const OrderMix& mix);

  /** Plays the order and returns a line for each broken invariant. */
  std::vector<std::string> Play();
  const EventCounts& counts() const { return counts_; }

 private:
  /** Judges and target events, in mixes with any of these. */
  struct Targets {
    Targets(SteeringWorld& world, RandomSource& random, DeadFlowWatch& watch)
        : judge(world), events(world, random, watch, judge) {}
    OrderJudge judge;
    TargetEvents events;
  };

  /** Draws an event and applies it. */
  void DrawEvent();
  /**
   * Applies an event.
   * @return whether it could take effect
   */
  bool Apply(OrderEvent event);
  /** Sets up what mixes with target events need. */
  void BeginTargets();
  /** Returns the pause of a client after a request. */
  Duration PauseOf(size_t client);
  /** Calls the judge, if there is one. */
  template <typename Call>
  void Tell(Call call) {
    if (targets_ != nullptr) call(targets_->judge);
  }
  /** Applies an event of the network or of the targets' load. */
  void ApplyToLoad(OrderEvent event);
  bool RestartBalancer(size_t i, bool planned);
  bool LoseEntry(size_t i, bool returns_soon);
  bool AddRoute();
  bool DropRoute();
  /** Delivers the newest configuration to all balancers, late and unordered. */
  void DeliverRoutes();
  bool ReadCopy(size_t balancer);
  void HoldUp(VirtualProcess& process, Duration duration);
  /** Holds a balancer up again and again, each time after one poll. */
  bool HoldUpOften(size_t balancer, int times);
  /** Has an agent away from the beginning of its stop, or from its crash. */
  bool RestartAgent(size_t i, bool planned);
  bool KillTarget(size_t i);
  void AnnounceNewTarget(size_t i);
  bool PowerOff(size_t i);
  void EndFaults();
  void SendRequests();
  bool IsExcused(const WrongReset& reset) const;
  std::vector<std::string> BrokenInvariants() const;
  Duration RandomMs(uint64_t from, uint64_t to) {
    return std::chrono::milliseconds(from + random_.Below(to - from));
  }
  bool IsDead(size_t target) const { return dead_.count(target) != 0; }
  bool Away(size_t target) const {
    return starting_.count(target) != 0 ||
           (targets_ != nullptr && targets_->events.Away(target));
  }

  const OrderMix& mix_;
  SeededRandom random_;
  SteeringWorld world_;
  DeadFlowWatch watch_;
  std::unique_ptr<Targets> targets_;
  EventCounts counts_;
  /** Times before which clients send no further request. */
  std::vector<TimePoint> next_request_;
  /** No client sends a further request before. */
  TimePoint paused_until_{};
  int64_t requests_ = 0;
  /** Number of addresses that have or had a route. */
  uint32_t routes_ = 1;
  std::set<Endpoint> dropped_;
  /** Targets whose machines have no power. */
  std::set<size_t> dead_;
  /** Targets that are about to start again. */
  std::set<size_t> starting_;
};

/**
 * Plays generated orders and prints how often each kind of events took effect;
 * as many as the environment variable
 * SESAMESADDLE_ORDERS says or else a few, from the seed in
 * SESAMESADDLE_FIRST_ORDER or else 1.
 * @return for each order that breaks an invariant its seed and the broken ones
 */
std::vector<std::string> PlayOrders(const OrderMix& mix);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_OPEN_FLOWS_GENERATED_ORDER_H_
