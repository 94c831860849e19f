#ifndef SESAMESADDLE_TESTS_SUPPORT_ZONE_WORLD_H_
#define SESAMESADDLE_TESTS_SUPPORT_ZONE_WORLD_H_

#include <string>

#include "steering_world.h"

namespace sesamesaddle {

/** A world whose first half of targets is in one zone, the rest in another. */
struct ZoneWorld : SteeringWorld {
  static constexpr char kEast[] = "east";
  static constexpr char kWest[] = "west";

  ZoneWorld(size_t balancers, size_t targets_count, uint64_t seed)
      : SteeringWorld(balancers, targets_count, seed), east(targets_count / 2) {
    for (size_t i = 0; i < targets_count; ++i) {
      SetZone(i, i < east ? kEast : kWest);
    }
  }

  /** Flows that targets `from` to before `to` have taken so far. */
  int Accepted(size_t from, size_t to) const {
    int accepted = 0;
    for (size_t i = from; i < to; ++i) accepted += targets[i]->accepted_flows;
    return accepted;
  }
  int AcceptedInEast() const { return Accepted(0, east); }
  int AcceptedInWest() const { return Accepted(east, targets.size()); }
  /** Number of agents of the first zone that know it as evacuated. */
  size_t EvacuatedAgents() {
    size_t evacuated = 0;
    for (size_t i = 0; i < east; ++i) {
      if (agent(i) != nullptr && agent(i)->zone_evacuated()) ++evacuated;
    }
    return evacuated;
  }
  int64_t Refused() {
    int64_t refused = 0;
    for (size_t i = 0; i < targets.size(); ++i) {
      refused += agent(i)->counters().refused_evacuated;
    }
    return refused;
  }
  void AddClients(int count, bool keeps_flow) {
    for (int i = 0; i < count; ++i) AddClient(keeps_flow);
  }
  /** Lets each idle client send a request at each period. */
  void Load(Duration duration, Duration period) {
    for (Duration passed{}; passed < duration; passed += period) {
      for (auto& client : clients) {
        if (client->busy()) continue;
        client->Request("r" + std::to_string(random.Next()));
      }
      RunFor(period);
    }
  }

  size_t east;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_ZONE_WORLD_H_
