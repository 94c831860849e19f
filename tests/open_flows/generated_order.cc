#include "generated_order.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "flow_location/flow_locator.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kBalancers = 4;
constexpr size_t kTargets = 6;
constexpr size_t kKeptFlows = 24;
constexpr size_t kShortFlows = 8;
/** Clients in mixes with target events, whose new flows FAILBACK counts. */
constexpr size_t kFrequentShortFlows = 16;
/** Flows that may pause for nearly the idle timeout, of three. */
constexpr uint64_t kMaxPauseMs = 14000;
/** As on the users' pages: a batch of the watch of the store. */
constexpr Duration kMaxListDelay = milliseconds(800);
constexpr SlowStart kLimit{seconds(2), 4};
/** One of this many events follows the one before at once. */
constexpr uint64_t kImmediateEvents = 4;
constexpr uint32_t kMaxRoutes = 4;
constexpr size_t kMaxDeadMachines = 2;
constexpr int kEvents = 50;
constexpr uint64_t kOrders = 30;
constexpr uint64_t kMaxEventGapMs = 400;
/** Time for all processes to start and for flows to open. */
constexpr Duration kWarmUp = seconds(1);
constexpr Duration kStep = milliseconds(50);
/** Targets announce themselves at least this often. */
constexpr uint64_t kMaxAnnounceMs = 1200;
/** From the beginning of an agent's planned stop to its end. */
constexpr Duration kMaxAgentStop = milliseconds(1100);
/**
 * Datagrams that one poll reads: less than a real process does, as few agents
 * send few of them.
 */
constexpr size_t kDatagramsPerPoll = 4;
/** Longer than an order, so that only a reset ends a kept flow. */
constexpr Duration kKeptDeadline = seconds(120);
constexpr Duration kMaxRetransmissionInterval = milliseconds(1600);
/**
 * The entry of a machine without power lapses with its lease, and balancers
 * drop it later; one that does not know the flow then searches it in answer to
 * the client's next retransmission.
 */
constexpr Duration kTellBound =
    SteeringWorld::kEntryLease + TargetDirectory::kUnlistedGracePeriod +
    kMaxRetransmissionInterval + FlowLocator::kSearchTimeout;
/** Time without faults at the end of an order. */
constexpr Duration kTail = kTellBound + seconds(6);
/** Maximum of that time while clients of dead targets still wait. */
constexpr Duration kMaxTail = seconds(60);

/** Returns a number from the environment. */
uint64_t NumberFrom(const char* variable, uint64_t otherwise) {
  const char* value = std::getenv(variable);
  return value == nullptr ? otherwise : std::stoull(value);
}

void PrintCounts(const OrderMix& mix, const EventCounts& counts) {
  std::cout << mix.name << ":";
  for (const auto& [event, count] : counts) {
    std::cout << " " << NameOf(event) << " " << count.applied;
    if (count.applied != count.drawn) std::cout << " of " << count.drawn;
    std::cout << ";";
  }
  std::cout << "\n";
}

Endpoint RouteAddress(uint32_t number) {
  return Endpoint(SteeringWorld::RouteAddress().ip() + number, 443);
}

}  // namespace

GeneratedOrder::GeneratedOrder(uint64_t seed, const OrderMix& mix)
    : mix_(mix),
      random_(seed),
      world_(kBalancers, kTargets, seed),
      watch_(world_, kTellBound) {
  world_.datagrams_per_poll = kDatagramsPerPoll;
  const bool has_target_events =
      std::any_of(mix.events.begin(), mix.events.end(), IsTargetEvent);
  if (has_target_events) BeginTargets();
  const size_t short_flows =
      has_target_events ? kFrequentShortFlows : kShortFlows;
  for (uint32_t i = 0; i < kKeptFlows + short_flows; ++i) {
    const bool kept = i < kKeptFlows;
    // Half of the flows are of the first route, the others of later ones.
    const uint32_t route = i % 2 == 0 ? 0 : i / 2 % kMaxRoutes;
    VirtualFlowClient& client = world_.AddClient(kept, RouteAddress(route));
    client.deadline = kept ? kKeptDeadline : Duration(milliseconds(1500));
  }
  next_request_.resize(world_.clients.size());
}

void GeneratedOrder::BeginTargets() {
  targets_ = std::make_unique<Targets>(world_, random_, watch_);
  world_.max_list_delay = kMaxListDelay;
  world_.closed_ports_show = true;
  RouteTable table = world_.routes;
  ++table.version;
  table.slow_starts[SteeringWorld::kService] = kLimit;
  world_.Configure(std::move(table));
  targets_->judge.OnRouteAllowed(RouteAddress(0), SteeringWorld::kService);
  targets_->events.Begin();
}

void GeneratedOrder::DrawEvent() {
  const OrderEvent event = mix_.events[random_.Below(mix_.events.size())];
  EventCount& count = counts_[event];
  ++count.drawn;
  const bool applied =
      IsTargetEvent(event) ? targets_->events.Apply(event) : Apply(event);
  if (applied) ++count.applied;
}

std::vector<std::string> GeneratedOrder::Play() {
  SendRequests();
  world_.RunFor(kWarmUp);
  for (int i = 0; i < kEvents; ++i) {
    DrawEvent();
    const bool immediate =
        targets_ != nullptr && random_.Below(kImmediateEvents) == 0;
    if (!immediate) world_.RunFor(milliseconds(random_.Below(kMaxEventGapMs)));
    watch_.Check();
  }
  EndFaults();
  for (Duration passed{};
       passed < kTail || (watch_.pending() > 0 && passed < kMaxTail);
       passed += kStep) {
    world_.RunFor(kStep);
    watch_.Check();
  }
  return BrokenInvariants();
}

void GeneratedOrder::SendRequests() {
  const TimePoint now = world_.scheduler.Now();
  for (size_t i = 0; i < world_.clients.size(); ++i) {
    VirtualFlowClient& client = *world_.clients[i];
    if (client.busy() || now < std::max(next_request_[i], paused_until_)) {
      continue;
    }
    const Endpoint service = client.flow().service;
    if (world_.routes.Find(service) == nullptr) continue;
    client.Request("r" + std::to_string(++requests_));
    next_request_[i] = now + PauseOf(i);
  }
  world_.scheduler.After(milliseconds(30), [this] { SendRequests(); });
}

Duration GeneratedOrder::PauseOf(size_t client) {
  // Some flows are busy, others pause for longer than agents report.
  if (client % 3 == 0) return RandomMs(30, 60);
  if (targets_ == nullptr) return RandomMs(30, 6000);
  if (client >= kKeptFlows) return RandomMs(30, 200);
  return RandomMs(30, client % 3 == 1 ? kMaxPauseMs : 6000);
}

bool GeneratedOrder::Apply(OrderEvent event) {
  const size_t balancer = random_.Below(kBalancers);
  const size_t target = random_.Below(kTargets);
  const bool agent_runs = world_.agent(target) != nullptr;
  switch (event) {
    case OrderEvent::kAgentRestarts:
      return RestartAgent(target, true);
    case OrderEvent::kAgentCrashes:
      return RestartAgent(target, false);
    case OrderEvent::kBalancerRestarts:
      return RestartBalancer(balancer, true);
    case OrderEvent::kBalancerCrashes:
      return RestartBalancer(balancer, false);
    case OrderEvent::kEntryTakenAway:
      return LoseEntry(target, false);
    case OrderEvent::kEntryLapses:
      return LoseEntry(target, true);
    case OrderEvent::kEntryWrittenAgain:
      if (!agent_runs || !world_.listed(target)) return false;
      world_.List(target);
      return true;
    case OrderEvent::kRouteAdded:
      return AddRoute();
    case OrderEvent::kRouteDropped:
      return DropRoute();
    case OrderEvent::kBalancerReadsCopy:
      return ReadCopy(balancer);
    case OrderEvent::kBalancerHeldUp:
      if (world_.balancer(balancer) == nullptr) return false;
      HoldUp(world_.balancer_process(balancer), RandomMs(100, 3000));
      return true;
    case OrderEvent::kBalancerHeldUpOften:
      return HoldUpOften(balancer, 3 + static_cast<int>(random_.Below(6)));
    case OrderEvent::kAgentHeldUp:
      if (!agent_runs) return false;
      HoldUp(world_.agent_process(target), RandomMs(100, 3000));
      return true;
    case OrderEvent::kTargetDies:
      return KillTarget(target);
    case OrderEvent::kMachineDies:
      return PowerOff(target);
    case OrderEvent::kSynCopyArrivesLate: {
      VirtualFlowClient& client = *world_.clients[random_.Below(kKeptFlows)];
      client.RetransmitSyn();
      return client.has_flow();
    }
    default:
      ApplyToLoad(event);
      return true;
  }
}

void GeneratedOrder::ApplyToLoad(OrderEvent event) {
  switch (event) {
    case OrderEvent::kLinksFail:
      Tell([](OrderJudge& judge) { judge.OnLinksFail(); });
      world_.links = {0.05, 0.05, RandomMs(1, 100)};
      break;
    case OrderEvent::kLinksRecover:
      Tell([](OrderJudge& judge) { judge.OnLinksRecover(); });
      world_.links = LinkFaults();
      break;
    case OrderEvent::kClientLinksFail:
      world_.loss = 0.05;
      break;
    case OrderEvent::kClientLinksRecover:
      world_.loss = 0;
      break;
    case OrderEvent::kClientsPause:
      paused_until_ = world_.scheduler.Now() + RandomMs(6000, kMaxPauseMs);
      break;
    case OrderEvent::kReportsDelayed:
      Tell([](OrderJudge& judge) { judge.OnLinksFail(); });
      world_.report_delay = RandomMs(0, 150);
      break;
    case OrderEvent::kTargetsSlow:
      for (auto& slow : world_.targets) slow->work = milliseconds(300);
      break;
    case OrderEvent::kTargetsFast:
      for (auto& fast : world_.targets) fast->work = milliseconds(20);
      break;
    default:
      break;
  }
}

bool GeneratedOrder::RestartBalancer(size_t i, bool planned) {
  if (world_.balancer(i) == nullptr || world_.out_of_rotation.count(i) != 0) {
    return false;
  }
  // The routers always have another one.
  if (world_.out_of_rotation.size() + 2 > kBalancers) return false;
  // The new process starts with a peer's configuration, which may be old.
  world_.routes_at_start[i] = world_.routes;
  const Duration gap = RandomMs(100, 1000);
  if (planned) {
    world_.RestartBalancer(i, gap);
  } else {
    Tell([=](OrderJudge& judge) { judge.OnBalancerDisrupted(gap); });
    world_.out_of_rotation.insert(i);
    world_.KillBalancer(i);
    world_.scheduler.After(gap, [this, i] {
      if (world_.balancer(i) == nullptr) world_.StartBalancer(i);
      world_.out_of_rotation.erase(i);
    });
  }
  world_.scheduler.After(
      seconds(4), [this, i] { world_.ConfigureBalancer(i, world_.routes); });
  return true;
}

bool GeneratedOrder::LoseEntry(size_t i, bool returns_soon) {
  if (world_.agent(i) == nullptr) return false;
  world_.TakeEntryAway(i);
  Tell([](OrderJudge& judge) { judge.OnStoreDisrupted(Duration::zero()); });
  if (!returns_soon) return true;
  world_.scheduler.After(RandomMs(0, 2000),
                         [this, i] { world_.TellOfMissingEntry(i); });
  return true;
}

bool GeneratedOrder::AddRoute() {
  if (routes_ == kMaxRoutes) return false;
  RouteTable table = world_.routes;
  ++table.version;
  Route route;
  route.name = "r" + std::to_string(routes_);
  route.services = {{SteeringWorld::kService, 1}};
  route.timeout = milliseconds(1500);
  route.target_latency = milliseconds(100);
  route.kind =
      routes_ % 2 == 0 ? RequestKind::kRepeatable : RequestKind::kRunsOnce;
  Tell([this](OrderJudge& judge) {
    judge.OnRouteAllowed(RouteAddress(routes_), SteeringWorld::kService);
  });
  table.routes[RouteAddress(routes_++)] = route;
  world_.routes = std::move(table);
  DeliverRoutes();
  return true;
}

bool GeneratedOrder::DropRoute() {
  const Endpoint address = RouteAddress(1 + random_.Below(kMaxRoutes - 1));
  if (world_.routes.routes.count(address) == 0) return false;
  ++world_.routes.version;
  world_.routes.routes.erase(address);
  dropped_.insert(address);
  Tell([=](OrderJudge& judge) { judge.OnRouteDropped(address); });
  DeliverRoutes();
  return true;
}

void GeneratedOrder::DeliverRoutes() {
  for (size_t i = 0; i < kBalancers; ++i) {
    world_.scheduler.After(RandomMs(0, 2000), [this, i, table = world_.routes] {
      world_.ConfigureBalancer(i, table);
    });
  }
}

bool GeneratedOrder::ReadCopy(size_t balancer) {
  if (!world_.stale_balancers.empty()) return false;
  world_.peer_copy = world_.CopyStore();
  world_.stale_balancers.insert(balancer);
  world_.scheduler.After(RandomMs(200, 2000), [this, balancer] {
    world_.stale_balancers.erase(balancer);
    world_.peer_copy.reset();
    world_.Synchronize(balancer);
  });
  return true;
}

void GeneratedOrder::HoldUp(VirtualProcess& process, Duration duration) {
  process.HoldUp(duration, random_.Below(2) == 0 ? HoldUpPlace::kBeforeTimers
                                                 : HoldUpPlace::kBeforePoll);
  watch_.OnSilence(duration);
  // Whichever process it is, its machine is frozen.
  Tell([=](OrderJudge& judge) { judge.OnBalancerDisrupted(duration); });
}

bool GeneratedOrder::HoldUpOften(size_t balancer, int times) {
  if (times == 0 || world_.balancer(balancer) == nullptr) return false;
  const Duration duration = RandomMs(100, 480);
  HoldUp(world_.balancer_process(balancer), duration);
  world_.scheduler.After(duration, [=] { HoldUpOften(balancer, times - 1); });
  return true;
}

bool GeneratedOrder::RestartAgent(size_t i, bool planned) {
  if (world_.agent(i) == nullptr) return false;
  const Duration gap = planned ? RandomMs(500, 1000) : RandomMs(100, 1000);
  const Duration announcement = RandomMs(0, kMaxAnnounceMs);
  if (planned) {
    world_.RestartAgent(i, gap, announcement);
    watch_.OnSilence(kMaxAgentStop + gap);
  } else {
    world_.CrashAgent(i, gap, announcement);
    watch_.OnSilence(gap);
    Tell([=](OrderJudge& judge) { judge.OnTargetDisrupted(i, gap); });
  }
  return true;
}

bool GeneratedOrder::KillTarget(size_t i) {
  if (world_.agent(i) == nullptr || !world_.targets[i]->alive) return false;
  watch_.OnDeath(i);
  world_.targets[i]->Crash();
  starting_.insert(i);
  world_.scheduler.After(RandomMs(300, 2000), [this, i] {
    if (IsDead(i)) return;
    world_.targets[i]->Start();
    world_.scheduler.After(RandomMs(0, kMaxAnnounceMs),
                           [this, i] { AnnounceNewTarget(i); });
  });
  return true;
}

void GeneratedOrder::AnnounceNewTarget(size_t i) {
  if (IsDead(i)) return;
  if (world_.agent(i) == nullptr) {
    world_.scheduler.After(milliseconds(kMaxAnnounceMs),
                           [this, i] { AnnounceNewTarget(i); });
    return;
  }
  starting_.erase(i);
  world_.AnnounceStart(i);
  watch_.OnDeathShown(i);
}

bool GeneratedOrder::PowerOff(size_t i) {
  if (IsDead(i) || Away(i)) return false;
  if (dead_.size() == kMaxDeadMachines) return false;
  watch_.OnDeath(i);
  dead_.insert(i);
  watch_.OnSilence(kTellBound, i);
  if (targets_ != nullptr) targets_->events.OnMachineLost(i);
  Tell([=](OrderJudge& judge) { judge.OnTargetDisrupted(i, kTellBound); });
  world_.PowerOff(i);
  return true;
}

void GeneratedOrder::EndFaults() {
  Tell([](OrderJudge& judge) { judge.OnLinksRecover(); });
  world_.links = LinkFaults();
  world_.loss = 0;
  world_.report_delay = Duration::zero();
  for (auto& target : world_.targets) target->work = milliseconds(20);
}

bool GeneratedOrder::IsExcused(const WrongReset& reset) const {
  return dropped_.count(reset.flow.service) != 0;
}

std::vector<std::string> GeneratedOrder::BrokenInvariants() const {
  std::vector<std::string> broken;
  if (targets_ != nullptr) {
    broken = targets_->judge.Broken();
  } else {
    for (const WrongReset& reset : world_.wrong_resets) {
      if (IsExcused(reset)) continue;
      broken.push_back(reset.sender + ": " + reset.log_line);
    }
  }
  if (watch_.pending() > 0) {
    broken.push_back("clients of dead targets still wait at the end");
  }
  broken.insert(broken.end(), watch_.overdue().begin(), watch_.overdue().end());
  return broken;
}

std::vector<std::string> PlayOrders(const OrderMix& mix) {
  const uint64_t first = NumberFrom("SESAMESADDLE_FIRST_ORDER", 1);
  const uint64_t count = NumberFrom("SESAMESADDLE_ORDERS", kOrders);
  std::vector<std::string> failures;
  EventCounts counts;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    std::string lines;
    GeneratedOrder order(seed, mix);
    for (const std::string& line : order.Play()) lines += "\n  " + line;
    for (const auto& [event, count] : order.counts()) {
      counts[event].drawn += count.drawn;
      counts[event].applied += count.applied;
    }
    if (lines.empty()) continue;
    failures.push_back(mix.name + ", seed " + std::to_string(seed) + ":" +
                       lines);
  }
  PrintCounts(mix, counts);
  return failures;
}

}  // namespace sesamesaddle
