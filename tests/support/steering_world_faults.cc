// The part of SteeringWorld that handles faults and planned work: machines,
// links, restarts, entries, configurations.

#include <utility>

#include "flow_location/flow_record_policy.h"
#include "steering_world_processes.h"

namespace sesamesaddle {
namespace {

// As in steering_daemon's agent process.
constexpr Duration kMinAgentStopTime = std::chrono::milliseconds(300);
constexpr Duration kMaxAgentStopTime = std::chrono::seconds(1);
constexpr Duration kStopCheckPeriod = std::chrono::milliseconds(10);
// Time in which the routers stop using a balancer, and in which it is quiet.
constexpr Duration kRotationExitTime = std::chrono::milliseconds(1700);
constexpr Duration kStoreRoundTrip = std::chrono::milliseconds(5);
constexpr uint64_t kFaultScale = 1000;
// As the housekeeping of an agent process.
constexpr Duration kSilentCheckPeriod = std::chrono::milliseconds(100);

}  // namespace

bool SteeringWorld::FaultOccurs(double share) {
  return share > 0 && static_cast<double>(fault_random_.Below(kFaultScale)) <
                          share * kFaultScale;
}

void SteeringWorld::Transmit(size_t agent, Duration delay,
                             const std::function<void()>& action) {
  if (!Connected(agent) || FaultOccurs(links.loss)) return;
  const int copies = FaultOccurs(links.duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Duration late{};
    if (links.max_delay > Duration::zero()) {
      late = Duration(fault_random_.Below(links.max_delay.count()));
    }
    Deliver(delay + late, action);
  }
}

MachineState SteeringWorld::StateOfMachine(size_t agent) const {
  if (!Connected(agent)) return MachineState::kNoAnswer;
  return agents_[agent] == nullptr ? MachineState::kRefuses
                                   : MachineState::kAccepts;
}

VirtualProcess& SteeringWorld::balancer_process(size_t i) {
  return balancers_[i]->process;
}

VirtualProcess& SteeringWorld::agent_process(size_t i) {
  return agents_[i]->process;
}

void SteeringWorld::PowerOff(size_t i) {
  machines_[i].powered = false;
  targets[i]->Crash();
  if (agents_[i] != nullptr) KillAgent(i);
  scheduler.After(kEntryLease, [this, i, entry = EntryRevision(i)] {
    // The next process may have written another one.
    if (entry && EntryRevision(i) == entry) RemoveEntry(i);
  });
}

void SteeringWorld::PublishTarget(size_t i) {
  const TargetMonitor& monitor = agent(i)->target_monitor();
  published_[i] = monitor.announcement();
  List(i, monitor.state() == schema::TargetState::kDraining);
}

void SteeringWorld::OverwriteEntry(
    size_t i, const std::optional<schema::TargetRecord>& record) {
  if (!listed(i)) return;
  if (!record) {
    TakeEntryAway(i);
    unusable_entries_.insert(i);
    return;
  }
  overwritten_entries_[i] = *record;
  listed_[i] = ++revision_;
  for (auto& balancer : balancers_) {
    if (balancer != nullptr && stale_balancers.count(balancer->index) == 0) {
      DeliverEntry(i, *balancer, *record);
    }
  }
  scheduler.After(kVerifyPeriod, [this, i] {
    if (overwritten_entries_.count(i) == 0 || agents_[i] == nullptr) return;
    List(i, draining_.count(i) != 0);
  });
}

void SteeringWorld::RestartAgent(size_t i, Duration gap,
                                 Duration announcement) {
  Agent* agent = agents_[i].get();
  agent->process.Receive(VirtualSocket::kStore, [this, i, agent] {
    if (agents_[i].get() == agent) StopAgent(i);
  });
  AdvanceAgentStop(i, agent, scheduler.Now(), gap, announcement);
}

void SteeringWorld::AdvanceAgentStop(size_t i, const Agent* stopping,
                                     TimePoint began, Duration gap,
                                     Duration announcement) {
  if (agents_[i].get() != stopping) return;  // Killed meanwhile.
  const Duration since = scheduler.Now() - began;
  const bool idle = stopping->flows.in_flight() == 0;
  const bool over =
      since >= kMinAgentStopTime && (idle || since > kMaxAgentStopTime);
  if (!over || stopping->process.held_up()) {
    scheduler.After(kStopCheckPeriod, [=] {
      AdvanceAgentStop(i, stopping, began, gap, announcement);
    });
    return;
  }
  std::optional<schema::FlowRecord> record;
  if (const auto revision = EntryRevision(i)) {
    record = stopping->flows.RecordAllFlows(scheduler.Now(), WallClockMs(),
                                            *revision);
  }
  KillAgent(i);
  scheduler.After(gap,
                  [=] { StartAgentBesideTarget(i, announcement, record); });
}

void SteeringWorld::CrashAgent(size_t i, Duration gap, Duration announcement) {
  KillAgent(i);
  scheduler.After(gap, [=] { StartAgentBesideTarget(i, announcement); });
}

void SteeringWorld::StartAgentBesideTarget(
    size_t i, Duration announcement,
    const std::optional<schema::FlowRecord>& record) {
  if (agents_[i] != nullptr || !machines_[i].powered) return;
  StartAgent(i);
  if (record) {
    const bool complete = HasAllFlows(*record, WallClockMs(), EntryRevision(i));
    Agent* agent = agents_[i].get();
    // It reads the record and removes it.
    scheduler.After(2 * kStoreRoundTrip, [=, record = *record] {
      if (agents_[i].get() != agent) return;
      agent->flows.Recall(scheduler.Now(), record, complete);
    });
  }
  if (!announces_to_restarted_agents) return;
  scheduler.After(announcement, [this, i] {
    if (agents_[i] != nullptr && targets[i]->alive) Announce(i);
  });
}

void SteeringWorld::RestartBalancer(size_t i, Duration gap) {
  out_of_rotation.insert(i);
  const Balancer* stopping = balancers_[i].get();
  scheduler.After(kRotationExitTime, [this, i, gap, stopping] {
    if (balancers_[i].get() == stopping) KillBalancer(i);
    scheduler.After(gap, [this, i] {
      if (balancers_[i] == nullptr) StartBalancer(i);
      out_of_rotation.erase(i);
    });
  });
}

void SteeringWorld::TakeEntryAway(size_t i) {
  if (!listed(i)) return;
  taken_away_.insert(i);
  RemoveEntry(i);
  scheduler.After(kVerifyPeriod, [this, i] { TellOfMissingEntry(i); });
  scheduler.After(kSilentVerifyPeriod, [this, i] { VerifyAtSilence(i); });
}

void SteeringWorld::VerifyAtSilence(size_t i) {
  if (taken_away_.count(i) == 0 || agents_[i] == nullptr) return;
  if (agents_[i]->flows.AtSilence(scheduler.Now())) {
    TellOfMissingEntry(i);
  } else {
    scheduler.After(kSilentCheckPeriod, [this, i] { VerifyAtSilence(i); });
  }
}

void SteeringWorld::TellOfMissingEntry(size_t i) {
  scheduler.After(kStoreRoundTrip, [this, i] {
    if (agents_[i] == nullptr || listed(i)) return;
    taken_away_.erase(i);
    List(i, draining_.count(i) != 0);
  });
}

void SteeringWorld::Synchronize(size_t i) {
  Balancer* balancer = balancers_[i].get();
  if (balancer == nullptr) return;
  balancer->process.Receive(VirtualSocket::kStore, [this, balancer] {
    balancer->ReadCopy(CopyStore());
  });
}

void SteeringWorld::ConfigureBalancer(size_t i, const RouteTable& table) {
  if (newest_routes_.version < table.version) newest_routes_ = table;
  Balancer* balancer = balancers_[i].get();
  if (balancer == nullptr) return;
  balancer->process.Receive(VirtualSocket::kStore, [this, balancer, table] {
    balancer->flows.Apply(scheduler.Now(), table);
  });
}

const RouteTable& SteeringWorld::RoutesAtStart(size_t balancer) const {
  const auto it = routes_at_start.find(balancer);
  return it == routes_at_start.end() ? routes : it->second;
}

void SteeringWorld::OnPacketAtTarget(size_t target, const Flow& flow,
                                     bool held) {
  if (held) {
    detours_.erase(flow);
    return;
  }
  size_t holder = 0;
  while (holder < targets.size() && !targets[holder]->HoldsOpen(flow)) ++holder;
  if (holder == targets.size() || holder == target) return;
  Detour& detour = detours_[flow];
  if (detour.packets++ == 0) detour.since = scheduler.Now();
  if (detour.recorded || detour.packets < kMisdirectedPackets ||
      scheduler.Now() - detour.since < kMisdirectedTime) {
    return;
  }
  detour.recorded = true;
  misdirected.push_back({flow, holder, detour.packets, detour.since});
}

}  // namespace sesamesaddle
