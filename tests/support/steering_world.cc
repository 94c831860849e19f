#include "steering_world.h"

#include <utility>

#include "steering_world_processes.h"

namespace sesamesaddle {
namespace {

// One-way delays as in the users' network.
constexpr Duration kClientDelay = std::chrono::milliseconds(1);
constexpr uint32_t kFirstClientAddress = 0x64400000;
constexpr Duration kTickPeriod = std::chrono::milliseconds(10);

}  // namespace

SteeringWorld::SteeringWorld(size_t balancers, size_t targets_count,
                             uint64_t seed, PlacementKind placement,
                             const AdmissionOptions& admission)
    : random(seed),
      admission(admission),
      placement_(placement),
      fault_random_(~seed) {
  Route route;
  route.name = "r";
  route.kind = RequestKind::kRepeatable;
  route.services = {{kService, 1}};
  route.timeout = std::chrono::milliseconds(1500);
  route.target_latency = std::chrono::milliseconds(100);
  routes.version = 1;
  routes.routes[RouteAddress()] = route;
  machines_.resize(targets_count);
  balancers_.resize(balancers);
  for (size_t i = 0; i < balancers; ++i) StartBalancer(i);
  agents_.resize(targets_count);
  for (size_t i = 0; i < targets_count; ++i) {
    targets.push_back(std::make_unique<VirtualTarget>(*this, i));
    agents_[i] = std::make_unique<Agent>(*this, i);
  }
  for (size_t i = 0; i < targets_count; ++i) Announce(i);
  scheduler.After(kTickPeriod, [this] { Tick(); });
}

SteeringWorld::~SteeringWorld() = default;

FlowBalancer* SteeringWorld::balancer(size_t i) {
  return balancers_[i] == nullptr ? nullptr : &balancers_[i]->flows;
}

FlowAgent* SteeringWorld::agent(size_t i) {
  return agents_[i] == nullptr ? nullptr : &agents_[i]->flows;
}

TargetDirectory& SteeringWorld::directory(size_t i) {
  return balancers_[i]->directory;
}

ZoneEvacuations& SteeringWorld::zones(size_t i) { return balancers_[i]->zones; }

void SteeringWorld::Deliver(Duration delay, std::function<void()> action) {
  scheduler.After(delay, std::move(action));
}

void SteeringWorld::Tick() {
  for (auto& balancer : balancers_) {
    if (balancer == nullptr || balancer->process.held_up()) continue;
    if (!balancer->process.has_unread()) {
      balancer->directory.OnAllRead(scheduler.Now());
    }
    balancer->RunTimers();
  }
  for (auto& agent : agents_) {
    if (agent == nullptr || agent->process.held_up()) continue;
    agent->RunTimers();
  }
  scheduler.After(kTickPeriod, [this] { Tick(); });
}

void SteeringWorld::KillBalancer(size_t i) {
  balancers_[i]->process.Stop();
  // Pending deliveries still refer to it.
  stopped_balancers_.push_back(std::move(balancers_[i]));
}

void SteeringWorld::StartBalancer(size_t i) {
  balancers_[i] = std::make_unique<Balancer>(*this, i);
  listed_balancers_.insert(i);
  ListBalancers();
  balancers_[i]->ReadDirectory();
  balancers_[i]->flows.OnDirectoryRead(scheduler.Now(), scheduler.Now(),
                                       StoreRevision(revision_));
}

void SteeringWorld::KillAgent(size_t i) {
  agents_[i]->process.Stop();
  stopped_agents_.push_back(std::move(agents_[i]));
}

void SteeringWorld::StopAgent(size_t i) {
  agent(i)->BeginStop(scheduler.Now());
  stopping_agents_.insert(i);
  List(i, draining_.count(i) != 0);
}

void SteeringWorld::StartAgent(size_t i) {
  stopping_agents_.erase(i);
  agents_[i] = std::make_unique<Agent>(*this, i);
}

schema::TargetRecord SteeringWorld::Record(size_t i, bool draining) const {
  const auto overwritten = overwritten_entries_.find(i);
  if (overwritten != overwritten_entries_.end()) return overwritten->second;
  schema::TargetRecord record;
  record.id = "t" + std::to_string(i);
  record.born_ms = targets[i]->starts;
  record.service_name = ServiceOf(i);
  record.agent = AgentAddress(i).Pack();
  record.zone = ZoneOf(i);
  record.slots = targets[i]->slots;
  record.state =
      draining ? schema::TargetState::kDraining : schema::TargetState::kReady;
  const auto slow_start = listed_slow_start_ms_.find(i);
  record.slow_start_ms =
      slow_start == listed_slow_start_ms_.end() ? 0 : slow_start->second;
  const auto published = published_.find(i);
  if (published != published_.end()) {
    record.id = published->second.id;
    record.born_ms = published->second.born_ms;
    record.slow_start_ms = published->second.slow_start_ms;
  }
  if (listed_stopping_.count(i) != 0) record.__set_agent_stopping(true);
  if (agents_without_wide_check.count(i) == 0) {
    record.__set_reads_wide_check(true);
  }
  return record;
}

schema::TargetRecord SteeringWorld::RecordFor(size_t balancer, size_t i,
                                              bool draining) const {
  schema::TargetRecord record = Record(i, draining);
  if (balancers_without_wide_check.count(balancer) != 0) {
    record.reads_wide_check = false;
    record.__isset.reads_wide_check = false;
  }
  return record;
}

int SteeringWorld::SlowStartMs(size_t i) const {
  const auto it = cold_until.find(i);
  if (it == cold_until.end() || it->second <= scheduler.Now()) return 0;
  return static_cast<int>((it->second - scheduler.Now()) /
                          std::chrono::milliseconds(1));
}

void SteeringWorld::Configure(RouteTable table) {
  routes = std::move(table);
  for (size_t i = 0; i < balancers_.size(); ++i) ConfigureBalancer(i, routes);
}

std::string SteeringWorld::ServiceOf(size_t i) const {
  const auto it = services_.find(i);
  return it == services_.end() ? kService : it->second;
}

void SteeringWorld::UseForService(size_t i, const std::string& service) {
  services_[i] = service;
  if (agents_[i] == nullptr) StartAgent(i);
}

void SteeringWorld::SetService(size_t i, const std::string& service) {
  services_[i] = service;
  targets[i]->Start();
  KillAgent(i);
  StartAgent(i);
  AnnounceStart(i);
}

void SteeringWorld::Announce(size_t i, bool draining) {
  if (draining) draining_.insert(i);
  TargetAnnouncement announcement;
  announcement.id = "t" + std::to_string(i);
  announcement.born_ms = targets[i]->starts;
  announcement.service = ServiceOf(i);
  announcement.slots = targets[i]->slots;
  announcement.draining = draining;
  announcement.slow_start_ms = SlowStartMs(i);
  announcement.sequence = ++sequences_[i];
  announcement.sent_after = scheduler.Now();
  Agent* agent = agents_[i].get();
  if (agent == nullptr) {
    List(i, draining);
    return;
  }
  agent->process.Receive(VirtualSocket::kStore, [this, agent, announcement] {
    agent->flows.OnAnnouncement(scheduler.Now(), announcement);
    List(agent->index, announcement.draining);
  });
}

void SteeringWorld::List(size_t i, bool draining) {
  unusable_entries_.erase(i);
  overwritten_entries_.erase(i);
  listed_[i] = ++revision_;
  listed_slow_start_ms_[i] = SlowStartMs(i);
  listed_stopping_.erase(i);
  if (stopping_agents_.count(i) != 0) listed_stopping_.insert(i);
  for (auto& balancer : balancers_) {
    if (balancer == nullptr || stale_balancers.count(balancer->index) != 0) {
      continue;
    }
    DeliverEntry(i, *balancer, RecordFor(balancer->index, i, draining));
  }
}

void SteeringWorld::DeliverEntry(size_t i, Balancer& balancer,
                                 const schema::TargetRecord& record) {
  const auto put = [this, i, record, to = &balancer,
                    revision = StoreRevision(revision_)] {
    to->directory.Put(scheduler.Now(), KeyOf(i), record, revision);
    to->flows.OnAgentListed(scheduler.Now(), AgentAddress(i));
  };
  if (max_list_delay == Duration::zero()) {
    balancer.process.Receive(VirtualSocket::kStore, put);
    return;
  }
  Deliver(Duration(random.Below(max_list_delay.count())),
          [to = &balancer, put] {
            to->process.Receive(VirtualSocket::kStore, put);
          });
}

void SteeringWorld::AnnounceStart(size_t i) {
  sequences_[i] = 0;
  Announce(i);
}

void SteeringWorld::RemoveEntry(size_t i) {
  const int64_t revision = ++revision_;
  listed_.erase(i);
  for (auto& balancer : balancers_) {
    if (balancer == nullptr) continue;
    balancer->process.Receive(
        VirtualSocket::kStore, [this, i, revision, to = balancer.get()] {
          const auto agent = to->directory.Remove(scheduler.Now(), KeyOf(i),
                                                  StoreRevision(revision));
          if (agent) to->flows.OnAgentUnlisted(scheduler.Now(), *agent);
        });
  }
}

VirtualFlowClient& SteeringWorld::AddClient(bool keeps_flow,
                                            const Endpoint& route) {
  const auto address =
      static_cast<uint32_t>(kFirstClientAddress + clients.size());
  clients.push_back(
      std::make_unique<VirtualFlowClient>(*this, address, route, keeps_flow));
  return *clients.back();
}

void SteeringWorld::FromClient(std::string packet) {
  if (static_cast<double>(random.Below(1000)) < loss * 1000) return;
  const auto header = codec_.Decode(packet);
  const Flow flow{header->source, header->destination};
  Deliver(kClientDelay, [this, flow, packet] {
    // The routers use consistent hashing over the running balancers.
    Balancer* best = nullptr;
    uint64_t best_weight = 0;
    for (auto& balancer : balancers_) {
      if (balancer == nullptr || out_of_rotation.count(balancer->index) != 0) {
        continue;
      }
      const uint64_t weight =
          HashFlow({flow.caller, BalancerAddress(balancer->index)});
      if (best != nullptr && weight < best_weight) continue;
      best = balancer.get();
      best_weight = weight;
    }
    if (best == nullptr) return;
    best->process.Receive(VirtualSocket::kPackets, [this, best,
                                                    packet]() mutable {
      best->flows.OnClientPacket(scheduler.Now(), packet.data(), packet.size());
    });
  });
}

VirtualFlowClient* SteeringWorld::FindClient(const Endpoint& caller) const {
  const size_t index = caller.ip() - kFirstClientAddress;
  return index < clients.size() ? clients[index].get() : nullptr;
}

TimePoint SteeringWorld::FirstSynOf(const Flow& flow) const {
  const VirtualFlowClient* client = FindClient(flow.caller);
  const bool current = client != nullptr && client->flow() == flow;
  return current ? client->attempt_began() : TimePoint();
}

void SteeringWorld::OnReset(std::string_view packet,
                            const std::string& sender) {
  ++resets;
  const auto header = codec_.Decode(packet);
  const Flow flow{header->destination, header->source};
  const VirtualFlowClient* client = FindClient(flow.caller);
  if (client == nullptr || !client->HasFlow(flow.caller.port()) ||
      !client->AcceptsReset(header->sequence)) {
    return;
  }
  for (size_t index = 0; index < targets.size(); ++index) {
    if (targets[index]->HoldsOpen(flow)) {
      wrong_resets.push_back(
          {flow, index, sender, log_.last_line(), scheduler.Now()});
    }
  }
}

void SteeringWorld::FromTarget(size_t i, std::string packet) {
  Deliver(kLocalDelay, [this, i, packet] {
    Agent* agent = agents_[i].get();
    if (agent == nullptr) return;
    agent->process.Receive(VirtualSocket::kPeerPackets,
                           [this, agent, packet]() mutable {
                             agent->flows.OnTargetPacket(
                                 scheduler.Now(), packet.data(), packet.size());
                           });
  });
}

void SteeringWorld::ToClient(std::string packet) {
  if (static_cast<double>(random.Below(1000)) < loss * 1000) return;
  Deliver(kClientDelay, [this, packet] {
    const auto header = codec_.Decode(packet);
    VirtualFlowClient* client = FindClient(header->destination);
    if (client == nullptr) return;
    client->OnPacket(*header, packet.substr(TestPacketCodec::kHeaderBytes));
  });
}

int RunRounds(SteeringWorld& world, int rounds, Duration period) {
  int before = 0;
  for (auto& client : world.clients) {
    for (const auto& [id, result] : client->results) before += result.answered;
  }
  for (int round = 0; round < rounds; ++round) {
    for (auto& client : world.clients) {
      if (client->busy()) continue;
      client->Request("r" + std::to_string(world.random.Next()));
    }
    world.RunFor(period);
  }
  world.RunFor(std::chrono::seconds(2));
  int answered = -before;
  for (auto& client : world.clients) {
    for (const auto& [id, result] : client->results) {
      answered += result.answered;
    }
  }
  return answered;
}

int Resets(const SteeringWorld& world) {
  int resets = 0;
  for (const auto& client : world.clients) {
    for (const auto& [id, result] : client->results) resets += result.resets;
  }
  return resets;
}

}  // namespace sesamesaddle
