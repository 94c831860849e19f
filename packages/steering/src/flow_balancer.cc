#include "steering/flow_balancer.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "balancer";
constexpr Duration kSweepPeriod = std::chrono::seconds(1);
// Time for the last packets of a flow that the limit on idleness has closed.
constexpr Duration kIdleMargin = std::chrono::seconds(2);
// An agent that refused comes last until its next reports.
constexpr Duration kRefusalPause = std::chrono::milliseconds(50);
// Longer than an end repeats its last packet.
constexpr Duration kEndedLinger = std::chrono::seconds(4);
// A SYN that was sent to targets is repeated for so long.
constexpr Duration kPlacingLimit = std::chrono::milliseconds(400);

}  // namespace

FlowBalancer::FlowBalancer(FlowBalancerOptions options,
                           const PacketCodec& codec, TargetDirectory& directory,
                           PlacementPolicy& placement,
                           FlowBalancerOutput& output, EventLog& log)
    : codec_(codec),
      directory_(directory),
      placement_(placement),
      output_(output),
      log_(log),
      prober_(std::move(options.topology), directory, *this),
      history_(options.flow_lifetime) {}

void FlowBalancer::OnClientPacket(TimePoint now, char* packet, size_t size) {
  ++counters_.packets;
  const auto head = codec_.Decode(std::string_view(packet, size));
  if (!head) {
    ++counters_.malformed;
    return;
  }
  const Flow flow{head->source, head->destination};
  if (routes_.Find(flow.service) == nullptr) {
    // A configuration that is not followed may lack the newest routes.
    if (!store_current_ || head->reset) return;
    ++counters_.resets_no_route;
    Reset(flow, head->syn ? 0 : head->acknowledged, "no-route");
    return;
  }
  if (head->syn) {
    OnSyn(now, flow, *head, std::string_view(packet, size));
  } else {
    OnData(now, flow, *head, packet, size);
  }
}

void FlowBalancer::OnSyn(TimePoint now, const Flow& flow,
                         const PacketHeader& head, std::string_view packet) {
  ++counters_.syns;
  const auto known = flows_.find(flow);
  if (known != flows_.end() && known->second.syn_sequence == head.sequence) {
    AgentView* agent = directory_.Find(known->second.agent);
    if (known->second.accepted && agent != nullptr &&
        !directory_.Silent(now, *agent)) {
      // The answer to the first copy was lost.
      ForwardSyn(now, *agent, std::string(packet), 0, {});
      return;
    }
  } else if (known != flows_.end()) {
    flows_.erase(known);
  }
  Placing& placing = placing_[flow];
  if (placing.packet.empty()) placing.arrived = now;
  placing.packet = std::string(packet);
  placing.sequence = head.sequence;
  Place(now, flow, *routes_.Find(flow.service), placing);
}

bool FlowBalancer::Place(TimePoint now, const Flow& flow, const Route& route,
                         Placing& placing) {
  placing.retry_at = now + kAcceptTime;
  PlacementRequest request{flow, placing.refused,
                           route.kind == RequestKind::kRunsOnce};
  const auto known = flows_.find(flow);
  size_t tries = 0;
  if (known != flows_.end()) {
    const std::vector<Endpoint>& tried = known->second.tried;
    tries = tried.size();
    request.excluded.insert(request.excluded.end(), tried.begin(), tried.end());
  }
  if (tries >= kMaxTargetsPerSyn) return true;
  AgentView* chosen = placement_.Choose(
      now, request, directory_.OfService(PickService(route, flow)));
  if (chosen == nullptr) {
    if (tries > 0) return true;
    placing.retry_at = now + kWaitStep;
    if (now - placing.arrived <= Admission::WaitLimit(route)) return true;
    ++counters_.resets_no_target;
    Reset(flow, 0, "no-target");
    placing_.erase(flow);
    return false;
  }
  if (tries == 0 && !Admit(now, flow, route, *chosen, placing)) return false;
  if (!placing.waiting_for_room) Send(now, flow, route, *chosen, placing);
  return true;
}

/** @return false if the flow was refused. */
bool FlowBalancer::Admit(TimePoint now, const Flow& flow, const Route& route,
                         const AgentView& chosen, Placing& placing) {
  const double work = WorkPerSlot(now, chosen);
  const Duration waited = now - placing.arrived;
  switch (Admission::Decide(route, work, waited)) {
    case AdmissionDecision::kPlace:
      placing.waiting_for_room = false;
      return true;
    case AdmissionDecision::kWait:
      if (!placing.waiting_for_room) ++counters_.waited_for_room;
      placing.waiting_for_room = true;
      placing.retry_at = now + kWaitStep;
      return true;
    case AdmissionDecision::kRefuse:
      break;
  }
  ++counters_.resets_overload;
  LogLine(log_, EventKind::kRefused, kPart, "flow-refused")
      .Add("flow", flow)
      .Add("route", route.name)
      .Add("work_per_slot", work)
      .Add("waited", waited)
      .Add("report_age", now - chosen.last_report);
  Reset(flow, 0, "overload");
  placing_.erase(flow);
  return false;
}

void FlowBalancer::Send(TimePoint now, const Flow& flow, const Route& route,
                        AgentView& chosen, Placing& placing) {
  FlowEntry& entry = flows_[flow];
  ++(entry.tried.empty() ? counters_.placed : counters_.placed_again);
  entry.agent = chosen.agent;
  entry.tried.push_back(chosen.agent);
  entry.accepted = false;
  entry.runs_once = route.kind == RequestKind::kRunsOnce;
  entry.syn_sequence = placing.sequence;
  entry.last_packet = now;
  ++chosen.placed_since_report;
  LogLine(log_, EventKind::kPlaced, kPart, "flow-placed")
      .Add("flow", flow)
      .Add("route", route.name)
      .Add("service", chosen.record.service_name)
      .Add("target", chosen.record.id)
      .Add("agent", chosen.agent)
      .Add("try", entry.tried.size())
      .Add("waited", now - placing.arrived)
      .Add("waiting", chosen.in_flight)
      .Add("slots", chosen.record.slots)
      .Add("report_age", now - chosen.last_report)
      .Add("config", routes_.version)
      .Add("entry_revision", chosen.revision);
  const int priority =
      std::clamp<int>(route.priority, 0, HopTag::kLowestPriority);
  ForwardSyn(now, chosen, placing.packet, static_cast<uint8_t>(priority),
             {now - placing.arrived, route.target_latency});
}

void FlowBalancer::OnData(TimePoint now, const Flow& flow,
                          const PacketHeader& head, char* packet, size_t size) {
  const auto it = flows_.find(flow);
  if (it == flows_.end()) {
    if (head.reset) return;  // Its client is done with it.
    StartSearch(now, flow, head, std::string_view(packet, size), {}, {});
    return;
  }
  FlowEntry& entry = it->second;
  entry.acknowledged = head.acknowledged;
  entry.last_packet = now;
  entry.ended = entry.ended || head.fin || head.reset;
  placing_.erase(flow);  // The client has got an answer to its SYN.
  if (entry.tried.size() > 1) {
    const std::vector<Endpoint> tried = std::move(entry.tried);
    flows_.erase(it);
    StartSearch(now, flow, head, std::string_view(packet, size), tried, {});
    return;
  }
  AgentView* agent = directory_.Find(entry.agent);
  if (agent == nullptr) {
    flows_.erase(it);
    StartSearch(now, flow, head, std::string_view(packet, size), {}, {});
    return;
  }
  if (directory_.Unreachable(now, *agent) && !agent->restarting &&
      !entry.runs_once && !head.reset) {
    // The client may repeat the request elsewhere while there is time.
    ResetSilent(flow, entry);
    flows_.erase(it);
    return;
  }
  NoteClientPacket(now, head, entry, *agent);
  Forward(now, *agent, packet, size);
}

void FlowBalancer::ForwardSyn(TimePoint now, AgentView& agent,
                              std::string packet, uint8_t priority,
                              SynTimes times) {
  codec_.SetHop(packet.data(),
                {HopKind::kDirect, agent.service_check, priority},
                times.Pack());
  agent.last_packet = now;
  TargetDirectory::NoteAsked(now, agent);
  output_.ToAgent(agent.agent, packet);
}

void FlowBalancer::Forward(TimePoint now, AgentView& agent, char* packet,
                           size_t size) {
  codec_.SetHop(packet, {HopKind::kDirect, agent.service_check}, pace_.Pack());
  agent.last_packet = now;
  output_.ToAgent(agent.agent, std::string_view(packet, size));
}

void FlowBalancer::StartSearch(TimePoint now, const Flow& flow,
                               const PacketHeader& head,
                               std::string_view packet,
                               const std::vector<Endpoint>& likely,
                               const std::vector<Endpoint>& denied) {
  const Route* route = routes_.Find(flow.service);
  if (route == nullptr) return;
  ++counters_.searches;
  LogLine(log_, EventKind::kMoved, kPart, "flow-searched")
      .Add("flow", flow)
      .Add("route", route->name)
      .Add("likely", likely.size())
      .Add("denied", denied.size())
      .Add("targets", directory_.size())
      .Add("config", routes_.version);
  const SearchScope scope{history_.ServicesOf(now, flow.service, *route),
                          !history_.Complete(now)};
  prober_.Search(now, flow, head, std::string(packet), scope, likely, denied);
}

void FlowBalancer::Offer(TimePoint now, AgentView& agent, std::string packet) {
  ++counters_.offers;
  codec_.SetHop(packet.data(), {HopKind::kOffer, agent.service_check}, 0);
  TargetDirectory::NoteAsked(now, agent);
  output_.ToAgent(agent.agent, packet);
}

void FlowBalancer::OnNobodyHolds(TimePoint now, const Flow& flow,
                                 uint32_t acknowledged) {
  flows_.erase(flow);
  // Targets may be missing from a directory that does not follow the store.
  if (!store_current_) return;
  ++counters_.resets_nobody_holds;
  Reset(flow, acknowledged, "nobody-holds-flow");
}

void FlowBalancer::OnHolderFound(TimePoint now, const Flow& flow,
                                 AgentView& agent) {
  LogLine(log_, EventKind::kMoved, kPart, "flow-found")
      .Add("flow", flow)
      .Add("target", agent.record.id)
      .Add("agent", agent.agent);
  for (std::string& packet : prober_.Found(flow, agent.agent)) {
    Forward(now, agent, packet.data(), packet.size());
  }
  placing_.erase(flow);
  FlowEntry& entry = flows_[flow];
  const Route* route = routes_.Find(flow.service);
  entry.agent = agent.agent;
  entry.accepted = true;
  entry.runs_once = route == nullptr || route->kind == RequestKind::kRunsOnce;
  entry.last_packet = now;
  entry.tried.clear();
  entry.tried.push_back(agent.agent);
}

void FlowBalancer::OnAgentPacket(TimePoint now, const Endpoint& agent,
                                 char* packet, size_t size) {
  const auto head = codec_.Decode(std::string_view(packet, size));
  if (!head) {
    ++counters_.malformed;
    return;
  }
  const Flow flow{head->source, head->destination};
  AgentView* view = directory_.Find(agent);
  if (view != nullptr) view->unanswered_probes = 0;
  const Route* route = routes_.Find(flow.service);
  const auto it = flows_.find(flow);
  if (head->tag.kind == HopKind::kNotHeld) {
    if (it != flows_.end() && it->second.agent == agent) flows_.erase(it);
    codec_.SetHop(packet, HopTag(), 0);
    StartSearch(now, flow, *head, std::string_view(packet, size), {}, {agent});
    return;
  }
  if (route == nullptr) return;
  OnSynReturned(now, flow, *route, *head, view, std::string_view(packet, size));
}

void FlowBalancer::OnSynReturned(TimePoint now, const Flow& flow,
                                 const Route& route, const PacketHeader& head,
                                 AgentView* agent, std::string_view packet) {
  const bool refused = head.tag.kind == HopKind::kRefused;
  if ((!refused && head.tag.kind != HopKind::kYielded) || agent == nullptr) {
    return;
  }
  ++(refused ? counters_.refused_by_agents : counters_.yielded_by_agents);
  if (refused && agent->record.state == schema::TargetState::kReady) {
    agent->refuses_until = now + kRefusalPause;
  }
  Placing& placing = placing_[flow];
  if (placing.packet.empty()) {
    // The agent had kept the SYN for a while.
    placing.arrived = now - SynTimes::Unpack(head.echo).waited;
    placing.packet.assign(packet);
    placing.sequence = head.sequence;
    codec_.SetHop(placing.packet.data(), HopTag(), 0);
  }
  if (refused) placing.refused.push_back(agent->agent);
  const auto it = flows_.find(flow);
  if (it != flows_.end()) {
    auto& tried = it->second.tried;
    tried.erase(std::remove(tried.begin(), tried.end(), agent->agent),
                tried.end());
    if (tried.empty()) flows_.erase(it);
  }
  Place(now, flow, route, placing);
}

void FlowBalancer::Reset(const Flow& flow, uint32_t acknowledged,
                         std::string_view reason) {
  LogLine(log_, EventKind::kReset, kPart, "flow-reset")
      .Add("flow", flow)
      .Add("reason", reason)
      .Add("config", routes_.version)
      .Add("targets", directory_.size())
      .Add("current", store_current_);
  output_.ToClient(flow.caller, codec_.EncodeReset(flow, acknowledged));
}

void FlowBalancer::Apply(TimePoint now, RouteTable routes,
                         UpdateContinuity continuity) {
  if (routes.version < routes_.version) return;
  history_.Note(now, routes_, routes, continuity);
  routes_ = std::move(routes);
  for (auto it = flows_.begin(); it != flows_.end();) {
    if (routes_.Find(it->first.service) != nullptr) {
      ++it;
      continue;
    }
    if (!it->second.ended) {
      ++counters_.resets_no_route;
      Reset(it->first, it->second.acknowledged, "route-dropped");
    }
    placing_.erase(it->first);
    it = flows_.erase(it);
  }
}

void FlowBalancer::OnTick(TimePoint now) {
  prober_.OnTick(now);
  RetryPlacements(now);
  ProbeSuspects(now);
  FlushQueries(now);
  if (now < next_sweep_) return;
  next_sweep_ = now + kSweepPeriod;
  UpdatePace(now);
  ForgetOldFlows(now);
}

/** @return flows to place again, the most urgent ones first. */
std::vector<Flow> FlowBalancer::DuePlacements(TimePoint now) const {
  std::vector<std::pair<Urgency, Flow>> due;
  for (const auto& [flow, placing] : placing_) {
    if (now < placing.retry_at) continue;
    Urgency urgency;
    urgency.arrived = placing.arrived;
    if (const Route* route = routes_.Find(flow.service)) {
      urgency.priority = route->priority;
      urgency.late = now - placing.arrived > route->target_latency;
    }
    due.emplace_back(urgency, flow);
  }
  std::sort(due.begin(), due.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Flow> flows;
  for (const auto& [urgency, flow] : due) flows.push_back(flow);
  return flows;
}

void FlowBalancer::RetryPlacements(TimePoint now) {
  for (const Flow& flow : DuePlacements(now)) {
    const auto it = placing_.find(flow);
    const Route* route = routes_.Find(flow.service);
    const bool sent = flows_.count(flow) != 0;
    // From then on the client's own copies of the SYN do.
    const bool over = sent && now - it->second.arrived > kPlacingLimit;
    if (route == nullptr || over) {
      placing_.erase(it);
      continue;
    }
    // An agent that refused may have a free place by now.
    it->second.refused.clear();
    Place(now, flow, *route, it->second);
  }
}

void FlowBalancer::ForgetOldFlows(TimePoint now) {
  const Duration idle_limit = routes_.idle_timeout + kIdleMargin;
  for (auto it = flows_.begin(); it != flows_.end();) {
    const Duration limit = it->second.ended ? kEndedLinger : idle_limit;
    it =
        now - it->second.last_packet > limit ? flows_.erase(it) : std::next(it);
  }
}

}  // namespace sesamesaddle
