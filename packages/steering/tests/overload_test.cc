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

constexpr int kRequests = 600;
constexpr Duration kRequestInterval = milliseconds(5);
constexpr Duration kOutage = seconds(1);

const Endpoint kUrgentRoute(0xc6120001, 444);

bool IsUrgent(int request) { return request % 3 != 0; }

std::string RequestId(int request) { return "r" + std::to_string(request); }

/** Adds a route of a higher priority and ends all processes. */
void LosePower(SteeringWorld& world) {
  Route& route = world.routes.routes.begin()->second;
  route.priority = 2;
  route.target_latency = kTargetLatency;
  route.timeout = seconds(3);
  Route urgent = route;
  urgent.priority = 1;
  world.routes.routes[kUrgentRoute] = urgent;
  world.routes.version = 2;
  for (size_t i = 0; i < kTargets; ++i) {
    world.targets[i]->work = milliseconds(44);
    world.KillAgent(i);
    world.targets[i]->Crash();
  }
  for (size_t i = 0; i < kBalancers; ++i) world.KillBalancer(i);
}

void RestorePower(SteeringWorld& world) {
  for (size_t i = 0; i < kTargets; ++i) {
    world.targets[i]->Start();
    world.StartAgent(i);
    world.AnnounceStart(i);
  }
  for (size_t i = 0; i < kBalancers; ++i) world.StartBalancer(i);
}

/**
 * All processes lose power for a second while 200 requests a second arrive,
 * two thirds of them of a higher priority. The targets can serve 227 a second.
 */
Outcome SimulatePowerLoss(QueueOrder order) {
  SteeringWorld world(kBalancers, kTargets, 29);
  world.admission.order = order;
  LosePower(world);
  for (int i = 0; i < kRequests; ++i) {
    VirtualFlowClient& client = world.AddClient(
        false, IsUrgent(i) ? kUrgentRoute : SteeringWorld::RouteAddress());
    client.deadline = seconds(3);
    world.scheduler.After(i * kRequestInterval,
                          [&client, i] { client.Request(RequestId(i)); });
  }
  world.scheduler.After(kOutage, [&world] { RestorePower(world); });
  world.RunFor(seconds(7));
  Outcome outcome;
  for (int i = 0; i < kRequests; ++i) {
    const ClientResult& result = world.clients[i]->results[RequestId(i)];
    outcome.answered += result.answered ? 1 : 0;
    if (i * kRequestInterval < kOutage + milliseconds(20)) continue;
    Served& served = IsUrgent(i) ? outcome.urgent : outcome.others;
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
