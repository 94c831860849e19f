#include "virtual_cluster.h"

#include <algorithm>

#include "configuration/zone_mode.h"

namespace sesamesaddle {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kCallerTick = std::chrono::milliseconds(50);
constexpr Duration kFeedPeriod = std::chrono::seconds(1);
constexpr Duration kBalancerStopDelay = std::chrono::seconds(1);
constexpr uint64_t kPercent = 100;

std::string OrderIdOf(const std::string& path) {
  const size_t equals = path.rfind("id=");
  return equals == std::string::npos ? "" : path.substr(equals + 3);
}

}  // namespace

VirtualCluster::VirtualCluster(const ClusterOptions& options)
    : options_(options), random_(options.seed) {}

VirtualCluster::~VirtualCluster() = default;

// ---- Setup.

size_t VirtualCluster::AddNode(const std::string& name, size_t rank) {
  auto node = std::make_unique<Node>();
  node->name = name;
  node->zone = options_.zones[rank % options_.zones.size()];
  node->endpoint =
      Endpoint(INADDR_LOOPBACK, static_cast<uint16_t>(10000 + nodes_.size()));
  node->next_tick = now_ + Duration(random_.Below(kTick.count()));
  by_endpoint_[node->endpoint] = nodes_.size();
  nodes_.push_back(std::move(node));
  return nodes_.size() - 1;
}

schema::MemberRecord VirtualCluster::MakeRecord(const Node& node,
                                                schema::Role::type role,
                                                size_t slots) {
  schema::MemberRecord record;
  record.name = node.name;
  record.role = role;
  record.endpoint = node.endpoint.Pack();
  record.zone = node.zone;
  record.incarnation = 0;
  record.state = schema::MemberState::kAlive;
  record.slots = static_cast<int32_t>(slots);
  record.draining = false;
  record.born_ms = now_.time_since_epoch().count() / 1000;
  record.id = MakeMemberId(record.name, record.born_ms).value();
  record.admin = 0;
  return record;
}

void VirtualCluster::AddSeedsTo(ControlPlane& control) {
  std::vector<Endpoint> seeds;
  for (const auto& node : nodes_) {
    if (node->running && seeds.size() < 3) seeds.push_back(node->endpoint);
  }
  control.membership().AddSeeds(seeds);
}

size_t VirtualCluster::AddBalancer() {
  const size_t index = AddNode("balancer-" + std::to_string(balancers_.size()),
                               balancers_.size());
  Node& node = *nodes_[index];
  node.balancer = std::make_unique<Balancer>(
      MakeRecord(node, schema::Role::kBalancer, 0), options_.balancer, random_);
  AddSeedsTo(node.balancer->control());
  balancers_.push_back(index);
  return balancers_.size() - 1;
}

size_t VirtualCluster::AddAgent(const std::string& name, size_t slots) {
  const size_t index = AddNode(name, agents_.size());
  Node& node = *nodes_[index];
  AgentOptions options = options_.agent;
  options.runner.slots = slots;
  node.agent = std::make_unique<Agent>(
      MakeRecord(node, schema::Role::kAgent, slots), options, random_);
  AddSeedsTo(node.agent->control());
  agents_.push_back(index);
  return agents_.size() - 1;
}

VirtualCaller& VirtualCluster::AddCaller(const Endpoint& service) {
  const Flow flow{
      Endpoint(0x0a000000 + static_cast<uint32_t>(callers_.size()), 40000),
      service};
  callers_.push_back(std::make_unique<VirtualCaller>(
      flow, random_, [this](const Flow& from, std::string datagram) {
        SendFromCaller(from, datagram);
      }));
  by_flow_[flow] = callers_.back().get();
  return *callers_.back();
}

void VirtualCluster::Configure(const schema::Change& change) {
  schema::ChangeRecord record;
  record.revision = ++revision_;
  record.change_id = std::to_string(revision_);
  record.change = change;
  for (const size_t index : balancers_) {
    Node& node = *nodes_[index];
    if (!node.running || node.paused) continue;
    Outbox out;
    node.balancer->control().OnRecord(record, out);
    ExecuteActions(index, out);
    return;
  }
}

void VirtualCluster::AddService(const std::string& name,
                                const Endpoint& address,
                                const std::string& pattern,
                                schema::Priority::type priority,
                                int deadline_ms) {
  schema::CreateService create;
  create.name = name;
  create.address = address.Pack();
  create.__set_priority(priority);
  create.__set_deadline_ms(deadline_ms);
  schema::Change change;
  change.__set_create_service(create);
  Configure(change);
  schema::AllowTargets allow;
  allow.service_name = name;
  allow.rule.pattern = pattern;
  schema::Change rule;
  rule.__set_allow_targets(allow);
  Configure(rule);
}

void VirtualCluster::SetMode(const std::string& instance,
                             schema::InstanceMode::type mode) {
  schema::SetInstanceMode set;
  set.name = instance;
  set.mode = mode;
  schema::Change change;
  change.__set_set_instance_mode(set);
  Configure(change);
}

void VirtualCluster::SetZoneMode(const std::string& zone, bool evacuated) {
  schema::SetZoneMode set;
  set.zone = zone;
  set.evacuated = evacuated;
  schema::Change change;
  change.__set_set_zone_mode(set);
  AddInstanceForm(change);
  Configure(change);
}

// ---- Failures.

void VirtualCluster::KillAgent(size_t i) {
  nodes_[agents_[i]]->running = false;
}

void VirtualCluster::KillBalancer(size_t i) {
  nodes_[balancers_[i]]->running = false;
}

void VirtualCluster::PauseAgent(size_t i, bool paused) {
  PauseNode(agents_[i], paused);
}

void VirtualCluster::PauseBalancer(size_t i, bool paused) {
  PauseNode(balancers_[i], paused);
}

void VirtualCluster::PauseNode(size_t index, bool paused) {
  Node& node = *nodes_[index];
  node.paused = paused;
  const auto deferred = std::exchange(node.deferred, {});
  for (const auto& deliver : deferred) DeliverTo(index, deliver);
}

void VirtualCluster::StopAgent(size_t i) {
  Node& node = *nodes_[agents_[i]];
  node.stopping = true;
  node.agent->BeginStop(now_);
}

void VirtualCluster::StopBalancer(size_t i) {
  Node& node = *nodes_[balancers_[i]];
  node.stopping = true;
  node.stop_began = now_;
  node.balancer->control().BeginStop();
}

void VirtualCluster::CutFabric(size_t balancer, bool to, bool from) {
  nodes_[balancers_[balancer]]->cut_to = to;
  nodes_[balancers_[balancer]]->cut_from = from;
}

// ---- Time.

void VirtualCluster::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += kStep;
    while (!events_.empty() && events_.begin()->first <= now_) {
      auto event = events_.extract(events_.begin());
      event.mapped()();
    }
    for (size_t i = 0; i < nodes_.size(); ++i) Tick(i);
    if (now_ < next_caller_tick_) continue;
    next_caller_tick_ = now_ + kCallerTick;
    for (const auto& caller : callers_) caller->OnTick(now_);
  }
}

void VirtualCluster::RunUntilIdle(Duration limit) {
  const TimePoint end = now_ + limit;
  const auto busy = [this] {
    return std::any_of(callers_.begin(), callers_.end(),
                       [](const auto& caller) { return !caller->idle(); });
  };
  while (busy() && now_ < end) RunFor(std::chrono::milliseconds(100));
}

void VirtualCluster::Tick(size_t index) {
  Node& node = *nodes_[index];
  if (!node.running || node.paused || now_ < node.next_tick) return;
  node.next_tick = now_ + kTick;
  Outbox out;
  if (node.agent) {
    node.agent->OnTick(now_, out);
  } else {
    node.balancer->OnTick(now_, out);
  }
  ExecuteActions(index, out);
  if (node.stopping) AdvanceStop(index);
}

void VirtualCluster::AdvanceStop(size_t index) {
  Node& node = *nodes_[index];
  const bool done = node.agent ? node.agent->Stopped(now_)
                               : now_ - node.stop_began >= kBalancerStopDelay;
  if (!done) return;
  Outbox out;
  if (node.agent) {
    node.agent->Leave(now_, out);
  } else {
    node.balancer->Leave(now_, out);
  }
  ExecuteActions(index, out);
  node.running = false;
}

// ---- Network.

void VirtualCluster::After(Duration delay, std::function<void()> event) {
  events_.emplace(now_ + delay, std::move(event));
}

Duration VirtualCluster::RandomDelay() {
  const Duration range = options_.longest_delay - options_.shortest_delay;
  return options_.shortest_delay +
         Duration(random_.Below(static_cast<uint64_t>(range.count()) + 1));
}

void VirtualCluster::Transmit(const std::function<void()>& deliver) {
  if (random_.Below(kPercent) >= options_.loss_percent) {
    After(RandomDelay(), deliver);
  }
  if (random_.Below(kPercent) < options_.duplicate_percent) {
    After(RandomDelay() * 20, deliver);
  }
}

void VirtualCluster::DeliverTo(size_t index, std::function<void()> deliver) {
  Node& node = *nodes_[index];
  if (!node.running) return;
  if (node.paused) {
    node.deferred.push_back(std::move(deliver));
    return;
  }
  deliver();
}

void VirtualCluster::ExecuteActions(size_t index, Outbox& out) {
  for (const Action& action : out.Take()) {
    if (const auto* send = std::get_if<SendToPeer>(&action)) {
      SendPeerMessage(index, *send);
    } else if (const auto* caller = std::get_if<SendToCaller>(&action)) {
      SendToCallerFlow(index, *caller);
    } else if (const auto* start = std::get_if<StartCall>(&action)) {
      StartTargetCall(index, *start);
    } else if (const auto* cancel = std::get_if<CancelCall>(&action)) {
      nodes_[index]->calls.erase(cancel->id);
    }
  }
}

void VirtualCluster::SendPeerMessage(size_t from, const SendToPeer& send) {
  const auto to = by_endpoint_.find(send.to);
  if (to == by_endpoint_.end()) return;
  const Endpoint sender = nodes_[from]->endpoint;
  Transmit([this, index = to->second, sender, message = send.message] {
    DeliverTo(index, [this, index, sender, message] {
      Node& node = *nodes_[index];
      Outbox out;
      if (node.agent) {
        node.agent->OnMessage(now_, sender, message, out);
      } else {
        node.balancer->OnMessage(now_, sender, message, out);
      }
      ExecuteActions(index, out);
    });
  });
}

void VirtualCluster::SendToCallerFlow(size_t index, const SendToCaller& send) {
  if (nodes_[index]->cut_from) return;
  Transmit([this, send] {
    const auto caller = by_flow_.find(send.flow);
    if (caller != by_flow_.end()) {
      caller->second->OnDatagram(now_, send.payload);
    }
  });
}

void VirtualCluster::SendFromCaller(const Flow& flow,
                                    const std::string& datagram) {
  std::vector<size_t> ready;
  for (const size_t index : balancers_) {
    // The fabric detects a dead balancer, but not a paused or cut-off one.
    const Node& node = *nodes_[index];
    if (node.running && !node.stopping) ready.push_back(index);
  }
  if (ready.empty()) return;
  const size_t index = ready[random_.Below(ready.size())];
  if (nodes_[index]->cut_to) return;
  Transmit([this, index, flow, datagram] {
    DeliverTo(index, [this, index, flow, datagram] {
      Outbox out;
      nodes_[index]->balancer->OnCallerDatagram(now_, flow, datagram, out);
      ExecuteActions(index, out);
    });
  });
}

// ---- Targets.

void VirtualCluster::StartTargetCall(size_t index, const StartCall& start) {
  Node& node = *nodes_[index];
  node.calls[start.id] = true;
  if (start.request.wait > Duration::zero()) {
    PollFeed(index, start);
    return;
  }
  FakeTarget& target = node.target;
  TargetResponse response;
  if (target.mode == TargetMode::kDown) {
    response.kind = TargetResponse::Kind::kNotSent;
    After(kStep, [this, index, id = start.id, response] {
      FinishCall(index, id, response);
    });
    return;
  }
  response.kind = TargetResponse::Kind::kComplete;
  response.status = start.request.method == "POST" ? 201 : 200;
  response.body =
      "target=" + node.name + " id=" + OrderIdOf(start.request.path);
  if (start.request.path == "/feed") {
    response.entity_tag = std::to_string(FeedVersion());
    response.body = response.entity_tag;
  }
  if (target.mode == TargetMode::kShed) {
    response.status = 503;
    response.shed = true;
  } else {
    if (start.request.method == "POST") {
      ++target.runs[OrderIdOf(start.request.path)];
    }
    target.starts.push_back(now_);
  }
  if (target.mode == TargetMode::kFail) response.status = 500;
  if (target.mode == TargetMode::kTruncated) {
    response.kind = TargetResponse::Kind::kTruncated;
  }
  target.most_in_flight = std::max(target.most_in_flight, ++target.in_flight);
  const bool silent = target.mode == TargetMode::kSilent;
  const auto mean = static_cast<uint64_t>(target.work.count());
  const Duration work(static_cast<int64_t>(mean / 2 + random_.Below(mean + 1)));
  After(work, [this, index, id = start.id, response, silent] {
    FakeTarget& done = nodes_[index]->target;
    --done.in_flight;
    ++done.completed;
    if (!silent) FinishCall(index, id, response);
  });
}

void VirtualCluster::PollFeed(size_t index, const StartCall& start) {
  const TimePoint until = now_ + start.request.wait;
  const auto poll = [this, index, start, until](const auto& self) -> void {
    Node& node = *nodes_[index];
    if (node.calls.count(start.id) == 0 || !node.running) return;
    const bool dead = node.target.mode == TargetMode::kDown;
    const std::string version = std::to_string(FeedVersion());
    TargetResponse response;
    response.kind =
        dead ? TargetResponse::Kind::kNotSent : TargetResponse::Kind::kComplete;
    const bool changed = version != start.request.entity_tag;
    if (!dead && !changed && now_ < until) {
      After(std::chrono::milliseconds(20), [self] { self(self); });
      return;
    }
    response.status = changed ? 200 : 304;
    response.entity_tag = version;
    response.body = version;
    FinishCall(index, start.id, response);
  };
  After(kStep, [poll] { poll(poll); });
}

void VirtualCluster::FinishCall(size_t index, CallId id,
                                TargetResponse response) {
  if (nodes_[index]->calls.erase(id) == 0) return;
  DeliverTo(index, [this, index, id, response] {
    Outbox out;
    nodes_[index]->agent->OnTargetResponse(now_, id, response, out);
    ExecuteActions(index, out);
  });
}

// ---- Queries.

std::map<std::string, int> VirtualCluster::Runs() const {
  std::map<std::string, int> runs;
  for (const size_t index : agents_) {
    for (const auto& [id, count] : nodes_[index]->target.runs) {
      runs[id] += count;
    }
  }
  return runs;
}

std::vector<size_t> VirtualCluster::OwnersOf(const Flow& flow) const {
  std::vector<size_t> owners;
  for (size_t i = 0; i < agents_.size(); ++i) {
    const Node& node = *nodes_[agents_[i]];
    if (!node.running) continue;
    const auto& owned = node.agent->flows().owned();
    const auto it = owned.find(flow);
    if (it != owned.end() && !it->second.handing_over) owners.push_back(i);
  }
  return owners;
}

int64_t VirtualCluster::FeedVersion() const {
  return now_.time_since_epoch() / kFeedPeriod;
}

}  // namespace sesamesaddle
