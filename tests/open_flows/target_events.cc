#include "target_events.h"

#include <optional>
#include <string>

#include "schema/codec.h"
#include "steering_daemon/directory_entries.h"
#include "steering_daemon/steering_process.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Targets of the service are cold for this long after a start. */
constexpr Duration kColdTime = seconds(2);
/** Every second machine, and every one. */
constexpr size_t kHalf = 2;
constexpr size_t kAll = 1;
constexpr size_t kMaxZoneTargets = 3;
constexpr int kMaxOddCalls = 10;
constexpr char kUnknownService[] = "nobody";
/** Its name has the same narrow check as SteeringWorld::kService. */
constexpr char kOtherService[] = "archive-232";
constexpr size_t kMaxTargetsOfOtherService = 2;

}  // namespace

TargetEvents::TargetEvents(SteeringWorld& world, RandomSource& random,
                           DeadFlowWatch& watch, OrderJudge& judge)
    : world_(world),
      random_(random),
      watch_(watch),
      judge_(judge),
      announcements_(world, random) {
  world.announces_to_restarted_agents = false;
}

bool TargetEvents::Apply(OrderEvent event) {
  const size_t i = random_.Below(world_.targets.size());
  switch (event) {
    case OrderEvent::kTargetStartsAgain:
      return StartAgain(i, NextTarget::kNewId);
    case OrderEvent::kTargetStartsUnderSameId:
      return StartAgain(i, NextTarget::kSameId);
    case OrderEvent::kTargetStartsWithClockSetBack:
      return StartAgain(i, NextTarget::kClockSetBack);
    case OrderEvent::kZoneLosesPower:
      return LoseZone();
    case OrderEvent::kAddressUsedByOtherService:
      return ReuseAddress(i);
    case OrderEvent::kAllBalancersCrash:
      return CrashBalancers(kAll);
    case OrderEvent::kHalfOfBalancersCrash:
      return CrashBalancers(kHalf);
    case OrderEvent::kAllAgentsCrash:
      return CrashAgents(kAll);
    case OrderEvent::kHalfOfAgentsCrash:
      return CrashAgents(kHalf);
    case OrderEvent::kHalfOfFleetCrashes: {
      const bool agents = CrashAgents(kHalf);
      return CrashBalancers(kHalf) || agents;
    }
    case OrderEvent::kKeyTakenAwayAsBalancersCrash:
      if (!ApplyToEntry(OrderEvent::kKeyTakenAway, i)) return false;
      return CrashBalancers(kAll);
    case OrderEvent::kKeyTakenAway:
    case OrderEvent::kEntryUnreadable:
    case OrderEvent::kEntryOfUnknownService:
    case OrderEvent::kEntryOfUnknownState:
    case OrderEvent::kEntryOfOtherAgent:
      return ApplyToEntry(event, i);
    default:
      return ApplyToAnnouncements(event, i);
  }
}

bool TargetEvents::ApplyToAnnouncements(OrderEvent event, size_t i) {
  if (world_.agent(i) == nullptr || Away(i)) return false;
  switch (event) {
    case OrderEvent::kAnnouncementArrivesLate:
      announcements_.SendLate(i, RandomMs(100, 20000));
      return true;
    case OrderEvent::kAnnouncementsCutOff: {
      const Duration cut = RandomMs(200, 8000);
      announcements_.CutOff(i, cut);
      judge_.OnTargetDisrupted(i, cut);
      return true;
    }
    case OrderEvent::kAnnouncementArrivesTwice:
      announcements_.Repeat(i, RandomMs(1, 20000));
      return true;
    case OrderEvent::kDeregistrationArrivesLate:
      return DeregisterLate(i);
    case OrderEvent::kOddAnnouncements:
      announcements_.SendOdd(i,
                             1 + static_cast<int>(random_.Below(kMaxOddCalls)));
      return true;
    case OrderEvent::kOddAnnouncementComesFirst:
      world_.CrashAgent(i, milliseconds(100), milliseconds(0));
      judge_.OnTargetDisrupted(i, milliseconds(100));
      watch_.OnSilence(milliseconds(100));
      world_.scheduler.After(milliseconds(101),
                             [this, i] { announcements_.SendOdd(i, 2); });
      return true;
    case OrderEvent::kPortUsedAgain: {
      VirtualFlowClient& client =
          *world_.clients[random_.Below(world_.clients.size())];
      if (client.busy() || !client.has_flow()) return false;
      client.CloseAndReusePort();
      return true;
    }
    default:
      return false;
  }
}

bool TargetEvents::ApplyToEntry(OrderEvent event, size_t i) {
  if (world_.agent(i) == nullptr || !world_.listed(i) || Away(i)) return false;
  if (event == OrderEvent::kKeyTakenAway) {
    world_.TakeEntryAway(i);
    judge_.OnStoreDisrupted(Duration::zero());
    return true;
  }
  return OverwriteEntry(i, event);
}

bool TargetEvents::OverwriteEntry(size_t i, OrderEvent event) {
  schema::TargetRecord record = world_.EntryOf(i);
  const Endpoint agent = SteeringWorld::AgentAddress(i);
  if (event == OrderEvent::kEntryOfUnknownService) {
    record.service_name = kUnknownService;
  } else if (event == OrderEvent::kEntryOfUnknownState) {
    record.state = static_cast<schema::TargetState::type>(9);
  } else if (event == OrderEvent::kEntryOfOtherAgent) {
    const size_t other = (i + 1) % world_.targets.size();
    record.agent = SteeringWorld::AgentAddress(other).Pack();
  }
  std::string value = EncodeCompact(record);
  if (event == OrderEvent::kEntryUnreadable) value.resize(value.size() / 2);
  const auto read = DecodeTargetEntry(DirectoryKeys::OfTarget(agent), value);
  world_.OverwriteEntry(i, read ? std::make_optional(*read) : std::nullopt);
  return true;
}

bool TargetEvents::StartAgain(size_t i, NextTarget next) {
  if (Away(i) || !world_.targets[i]->alive) return false;
  watch_.OnDeath(i);
  world_.targets[i]->Crash();
  away_.insert(i);
  const Duration gap = RandomMs(50, 2000);
  judge_.OnTargetDisrupted(i, gap);
  world_.scheduler.After(gap, [this, i, next] {
    away_.erase(i);
    Start(i, next);
  });
  return true;
}

void TargetEvents::Start(size_t i, NextTarget next) {
  world_.targets[i]->Start();
  judge_.OnColdStart(i, kColdTime);
  announcements_.OnStart(i, next, kColdTime, RandomMs(0, 300));
  watch_.OnDeathShown(i);
}

bool TargetEvents::LoseZone() {
  std::set<size_t> zone;
  const size_t first = random_.Below(world_.targets.size());
  const size_t count = 2 + random_.Below(kMaxZoneTargets - 1);
  for (size_t k = 0; k < count; ++k) {
    const size_t i = (first + k) % world_.targets.size();
    if (!Away(i) && world_.agent(i) != nullptr) zone.insert(i);
  }
  if (zone.empty()) return false;
  const Duration lost = RandomMs(300, 3500);
  const bool agent_first = random_.Below(2) == 0;
  Duration stagger{};
  for (const size_t i : zone) {
    watch_.OnDeath(i);
    away_.insert(i);
    world_.PowerOff(i);
    stagger += RandomMs(0, 300);
    const Duration gap = RandomMs(0, 300);
    watch_.OnSilence(lost + stagger + gap);
    judge_.OnTargetDisrupted(i, lost + stagger + gap);
    world_.scheduler.After(lost + stagger, [=] {
      world_.PowerOn(i);
      ReturnMachine(i, agent_first, gap);
    });
  }
  return true;
}

void TargetEvents::ReturnMachine(size_t i, bool agent_first, Duration gap) {
  const auto start_agent = [this, i] {
    if (world_.agent(i) == nullptr) world_.StartAgent(i);
  };
  const auto start_target = [this, i] {
    away_.erase(i);
    Start(i, NextTarget::kNewId);
  };
  if (agent_first) {
    start_agent();
    world_.scheduler.After(gap, start_target);
  } else {
    start_target();
    world_.scheduler.After(gap, start_agent);
  }
}

bool TargetEvents::DeregisterLate(size_t i) {
  if (!world_.targets[i]->alive) return false;
  announcements_.Deregister(i, RandomMs(0, 10000));
  return StartAgain(
      i, random_.Below(2) == 0 ? NextTarget::kSameId : NextTarget::kNewId);
}

bool TargetEvents::ReuseAddress(size_t i) {
  size_t others = 0;
  for (size_t k = 0; k < world_.targets.size(); ++k) {
    if (world_.ServiceOf(k) == kOtherService) ++others;
  }
  if (Away(i) || world_.agent(i) == nullptr || !world_.targets[i]->alive ||
      others >= kMaxTargetsOfOtherService ||
      world_.ServiceOf(i) == kOtherService) {
    return false;
  }
  watch_.OnDeath(i);
  const Duration gap = RandomMs(2000, 3000);
  away_.insert(i);
  world_.PowerOff(i);
  judge_.OnTargetDisrupted(i, gap);
  watch_.OnSilence(gap);
  world_.scheduler.After(gap, [this, i] {
    away_.erase(i);
    world_.PowerOn(i);
    world_.UseForService(i, kOtherService);
    Start(i, NextTarget::kNewId);
  });
  return true;
}

bool TargetEvents::CrashBalancers(size_t share) {
  bool crashed = false;
  for (size_t i = 0; i < world_.balancer_count(); i += share) {
    if (world_.balancer(i) == nullptr) continue;
    const Duration gap = RandomMs(100, 1000);
    world_.KillBalancer(i);
    judge_.OnBalancerDisrupted(gap);
    watch_.OnSilence(gap);
    world_.scheduler.After(gap, [this, i] {
      if (world_.balancer(i) == nullptr) world_.StartBalancer(i);
    });
    crashed = true;
  }
  return crashed;
}

bool TargetEvents::CrashAgents(size_t share) {
  bool crashed = false;
  for (size_t i = 0; i < world_.targets.size(); i += share) {
    if (world_.agent(i) == nullptr || Away(i)) continue;
    const Duration gap = RandomMs(100, 1000);
    world_.CrashAgent(i, gap, Duration::zero());
    judge_.OnTargetDisrupted(i, gap);
    watch_.OnSilence(gap);
    crashed = true;
  }
  return crashed;
}

}  // namespace sesamesaddle
