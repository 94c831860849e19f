#include "load_model.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>

namespace sesamesaddle {
namespace {

// Time for a fleet to start before the load begins.
constexpr Duration kLeadTime = std::chrono::seconds(1);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double RateFactor(const LoadScenario& scenario, Duration at) {
  double factor = 1;
  for (const Burst& burst : scenario.bursts) {
    if (at >= burst.at && at < burst.at + burst.length) factor *= burst.factor;
  }
  return factor;
}

Duration EndOfOutage(const LoadScenario& scenario) {
  return scenario.outage_at + scenario.outage_length;
}

bool HasOutage(const LoadScenario& scenario) {
  return scenario.outage_length > Duration::zero();
}

Endpoint RouteOfClass(size_t kind) {
  const Endpoint first = SteeringWorld::RouteAddress();
  return Endpoint(first.ip(), static_cast<uint16_t>(first.port() + kind));
}

/** Plays one load in a SteeringWorld. */
class LoadPlayer {
 public:
  LoadPlayer(const LoadScenario& scenario, const AdmissionOptions& options,
             uint64_t seed)
      : scenario_(scenario),
        requests_(GenerateLoad(scenario, seed)),
        world_(scenario.balancers, scenario.targets, seed,
               PlacementKind::kLeastWait, options),
        idle_(scenario.classes.size()) {}

  LoadResult Play() {
    PrepareFleet();
    world_.RunFor(kLeadTime);
    began_ = world_.scheduler.Now();
    for (size_t i = 0; i < requests_.size(); ++i) {
      world_.scheduler.After(requests_[i].sent, [this, i] { Send(i); });
    }
    if (HasOutage(scenario_)) {
      world_.scheduler.After(scenario_.outage_at, [this] { LosePower(); });
      world_.scheduler.After(EndOfOutage(scenario_),
                             [this] { RestorePower(); });
    }
    Duration longest{};
    for (const RequestClass& kind : scenario_.classes) {
      longest = std::max(longest, kind.deadline);
    }
    world_.RunFor(scenario_.length + longest);
    return Collect();
  }

 private:
  void PrepareFleet() {
    RouteTable table;
    table.version = 2;
    const Route base = world_.routes.routes.begin()->second;
    for (size_t kind = 0; kind < scenario_.classes.size(); ++kind) {
      const RequestClass& requests = scenario_.classes[kind];
      Route route = base;
      route.name = requests.name;
      route.priority = requests.priority;
      route.timeout = requests.deadline;
      route.target_latency = requests.target_latency;
      route.kind = requests.runs_once ? RequestKind::kRunsOnce
                                      : RequestKind::kRepeatable;
      table.routes[RouteOfClass(kind)] = route;
    }
    world_.Configure(std::move(table));
    for (auto& target : world_.targets) {
      target->slots = scenario_.slots;
      target->queue_limit = scenario_.target_queue;
    }
    for (size_t i = 0; i < scenario_.targets; ++i) world_.Announce(i);
    world_.service_time = [this](size_t target, const std::string& request) {
      const Duration at = world_.scheduler.Now() - began_;
      const double factor = SlownessAt(scenario_, target, at);
      return FromSeconds(
          factor * ToSeconds(requests_[std::stoul(request)].service_time));
    };
  }

  void Send(size_t i) {
    const LoadRequest& request = requests_[i];
    const RequestClass& kind = scenario_.classes[request.kind];
    VirtualFlowClient& client = ClientFor(request.kind);
    client.deadline = kind.deadline;
    client.repeatable = !kind.runs_once;
    client_of_request_[i] = &client;
    client.Request(std::to_string(i));
  }

  /** Returns a client of that kind that has no request, mostly one of few. */
  VirtualFlowClient& ClientFor(size_t kind) {
    auto& known = idle_[kind];
    for (size_t tries = 0; tries < known.size() && tries < kClientChoices;
         ++tries) {
      VirtualFlowClient* client = known[world_.random.Below(known.size())];
      if (!client->busy()) return *client;
    }
    VirtualFlowClient& client = world_.AddClient(
        scenario_.classes[kind].keeps_flow, RouteOfClass(kind));
    known.push_back(&client);
    return client;
  }

  void LosePower() {
    for (size_t i = 0; i < scenario_.targets; ++i) {
      world_.KillAgent(i);
      world_.targets[i]->Crash();
    }
    for (size_t i = 0; i < scenario_.balancers; ++i) world_.KillBalancer(i);
  }

  void RestorePower() {
    for (size_t i = 0; i < scenario_.targets; ++i) {
      world_.targets[i]->Start();
      world_.StartAgent(i);
      world_.AnnounceStart(i);
    }
    for (size_t i = 0; i < scenario_.balancers; ++i) world_.StartBalancer(i);
  }

  LoadResult Collect() {
    LoadResult result;
    for (size_t i = 0; i < requests_.size(); ++i) {
      const ClientResult& got =
          client_of_request_.at(i)->results[std::to_string(i)];
      result.Add(scenario_, requests_[i], got.answered, got.took);
    }
    return result;
  }

  // Clients that are looked at for an idle one before another one is added.
  static constexpr size_t kClientChoices = 8;

  const LoadScenario& scenario_;
  std::vector<LoadRequest> requests_;
  SteeringWorld world_;
  TimePoint began_{};
  /** Clients by kind of request. */
  std::vector<std::vector<VirtualFlowClient*>> idle_;
  std::map<size_t, VirtualFlowClient*> client_of_request_;
};

}  // namespace

void LoadResult::Add(const LoadScenario& scenario, const LoadRequest& request,
                     bool answered, Duration took) {
  const RequestClass& kind = scenario.classes[request.kind];
  const bool in_time = answered && took <= kind.target_latency;
  const bool late = answered && !in_time && took <= kind.deadline;
  by_class.resize(scenario.classes.size());
  const auto window = static_cast<size_t>(request.sent / kWindow);
  if (by_window.size() <= window) by_window.resize(window + 1);
  for (Outcome* outcome : {&all, &by_class[request.kind], &by_window[window]}) {
    ++outcome->sent;
    outcome->in_time += in_time ? 1 : 0;
    outcome->late += late ? 1 : 0;
    outcome->value_sent += kind.value;
    outcome->value_earned += in_time ? kind.value
                             : late  ? kLateValue * kind.value
                                     : 0;
  }
}

std::vector<LoadRequest> GenerateLoad(const LoadScenario& scenario,
                                      uint64_t seed) {
  std::mt19937_64 engine(seed);
  std::vector<LoadRequest> requests;
  for (size_t kind = 0; kind < scenario.classes.size(); ++kind) {
    const RequestClass& load = scenario.classes[kind];
    if (load.per_second <= 0) continue;
    // A log-normal distribution with the mean of the class.
    std::lognormal_distribution<double> service(
        std::log(ToSeconds(load.service_time)) - load.spread * load.spread / 2,
        load.spread);
    std::exponential_distribution<double> gap(load.per_second);
    for (double at = 0;;) {
      at += gap(engine) / RateFactor(scenario, FromSeconds(at));
      if (at >= ToSeconds(scenario.length)) break;
      requests.push_back({kind, FromSeconds(at), FromSeconds(service(engine))});
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const auto& a, const auto& b) { return a.sent < b.sent; });
  return requests;
}

double SlownessAt(const LoadScenario& scenario, size_t target, Duration at) {
  double factor = 1;
  for (const SlowPeriod& period : scenario.slow_periods) {
    const bool affected = static_cast<double>(target) <
                          period.share * static_cast<double>(scenario.targets);
    if (affected && at >= period.at && at < period.at + period.length) {
      factor *= period.factor;
    }
  }
  const Duration since_return = at - EndOfOutage(scenario);
  const bool cold = HasOutage(scenario) && since_return >= Duration::zero() &&
                    since_return < scenario.cold_time;
  return cold ? factor * scenario.cold_factor : factor;
}

LoadResult PlayLoad(const LoadScenario& scenario,
                    const AdmissionOptions& options, uint64_t seed) {
  return LoadPlayer(scenario, options, seed).Play();
}

}  // namespace sesamesaddle
