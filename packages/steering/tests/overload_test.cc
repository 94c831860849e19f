#include <catch2/catch.hpp>
#include <string>

#include "steering_world.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kBalancers = 4;
constexpr size_t kTargets = 5;
constexpr Duration kTargetLatency = milliseconds(250);

/** What the clients of one kind of request got. */
struct Served {
  int requests = 0;
  int answered = 0;
  int in_time = 0;

  double in_time_share() const {
    return static_cast<double>(in_time) / requests;
  }
};

/** Requests that were sent after the outage. */
struct Outcome {
  Served urgent;
  Served others;
  /** Of all requests, those sent during the outage included. */
  int answered = 0;
};

/**
 * All processes lose power for a second while 200 requests a second arrive, a
 * third of them of a higher priority. The targets can serve 227 a second.
 */
Outcome SimulatePowerLoss(QueueOrder order) {
  SteeringWorld world(kBalancers, kTargets, 29);
  world.queue_order = order;
  const Endpoint urgent_route(0xc6120001, 444);
  Route& route = world.routes.routes.begin()->second;
  route.priority = 2;
  route.target_latency = kTargetLatency;
  route.timeout = seconds(3);
  Route urgent = route;
  urgent.priority = 1;
  world.routes.routes[urgent_route] = urgent;
  world.routes.version = 2;
  for (size_t i = 0; i < kTargets; ++i) {
    world.targets[i]->work = milliseconds(44);
    world.KillAgent(i);
    world.targets[i]->Crash();
  }
  for (size_t i = 0; i < kBalancers; ++i) world.KillBalancer(i);
  constexpr int kRequests = 600;
  for (int i = 0; i < kRequests; ++i) {
    const bool is_urgent = i % 3 != 0;
    VirtualFlowClient& client = world.AddClient(
        false, is_urgent ? urgent_route : SteeringWorld::RouteAddress());
    client.deadline = seconds(3);
    world.scheduler.After(milliseconds(5 * i), [&client, i] {
      client.Request("r" + std::to_string(i));
    });
  }
  constexpr Duration kOutage = milliseconds(1000);
  world.scheduler.After(kOutage, [&world] {
    for (size_t i = 0; i < kTargets; ++i) {
      world.targets[i]->Start();
      world.StartAgent(i);
      world.AnnounceStart(i);
    }
    for (size_t i = 0; i < kBalancers; ++i) world.StartBalancer(i);
  });
  world.RunFor(seconds(7));
  Outcome outcome;
  for (int i = 0; i < kRequests; ++i) {
    const ClientResult& result =
        world.clients[i]->results["r" + std::to_string(i)];
    outcome.answered += result.answered ? 1 : 0;
    if (milliseconds(5 * i) < kOutage + milliseconds(20)) continue;
    Served& served = i % 3 != 0 ? outcome.urgent : outcome.others;
    ++served.requests;
    served.answered += result.answered ? 1 : 0;
    served.in_time += result.answered && result.took <= kTargetLatency ? 1 : 0;
  }
  return outcome;
}

// Guards against requests that are late already delaying those of a lower
// priority that could be in time.
TEST_CASE("After a loss of power the order by deadline serves more in time") {
  const Outcome by_priority = SimulatePowerLoss(QueueOrder::kPriority);
  const Outcome by_deadline = SimulatePowerLoss(QueueOrder::kDeadline);
  INFO("others in time: by priority "
       << by_priority.others.in_time << ", by deadline "
       << by_deadline.others.in_time << " of " << by_deadline.others.requests);
  INFO("urgent in time: by priority "
       << by_priority.urgent.in_time << ", by deadline "
       << by_deadline.urgent.in_time << " of " << by_deadline.urgent.requests);
  INFO("answered: " << by_priority.answered << ", " << by_deadline.answered);
  CHECK(by_deadline.others.in_time_share() >
        by_priority.others.in_time_share());
  // The higher priority still goes first among those in time.
  CHECK(by_deadline.urgent.in_time_share() >=
        by_priority.urgent.in_time_share());
  CHECK(by_deadline.urgent.in_time_share() >=
        by_deadline.others.in_time_share());
  // No request is lost for the order.
  CHECK(by_deadline.answered >= by_priority.answered);
}

}  // namespace
}  // namespace sesamesaddle
