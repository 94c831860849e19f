#include "steering/flow_balancer.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "balancer";
constexpr Duration kSweepPeriod = std::chrono::seconds(1);
// Time for the last packets of a flow that the limit on idleness has closed.
constexpr Duration kIdleMargin = std::chrono::seconds(2);

Flow ToFlow(const schema::FlowKey& key) {
  return {Endpoint::Unpack(key.caller), Endpoint::Unpack(key.service_address)};
}

std::vector<std::string> ServicesOf(const Route& route) {
  std::vector<std::string> services;
  for (const auto& share : route.services) services.push_back(share.service);
  return services;
}

}  // namespace

FlowBalancer::FlowBalancer(std::string zone, const PacketCodec& codec,
                           TargetDirectory& directory,
                           PlacementPolicy& placement,
                           FlowBalancerOutput& output, EventLog& log)
    : zone_(std::move(zone)),
      codec_(codec),
      directory_(directory),
      placement_(placement),
      output_(output),
      log_(log),
      prober_(zone_, directory, *this) {}

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
    if (!current_ || head->reset) return;
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
                         const PacketHead& head, std::string_view packet) {
  ++counters_.syns;
  const auto known = flows_.find(flow);
  if (known != flows_.end() && known->second.syn_sequence == head.sequence) {
    AgentView* agent = directory_.Find(known->second.agent);
    if (known->second.accepted && agent != nullptr &&
        !TargetDirectory::Silent(now, *agent)) {
      // The answer to the first copy was lost.
      std::string copy(packet);
      Forward(now, *agent, copy.data(), copy.size());
      return;
    }
  } else if (known != flows_.end()) {
    flows_.erase(known);
  }
  Placing& placing = placing_[flow];
  if (placing.packet.empty()) placing.arrived = now;
  placing.packet = std::string(packet);
  Place(now, flow, *routes_.Find(flow.service), placing);
}

void FlowBalancer::Place(TimePoint now, const Flow& flow, const Route& route,
                         Placing& placing) {
  placing.retry_at = now + kAcceptTime;
  FlowEntry& entry = flows_[flow];
  PlacementRequest request{flow, placing.refused};
  for (const Endpoint& agent : entry.tried) request.excluded.push_back(agent);
  const std::string& service = PickService(route, flow);
  const auto& agents = directory_.OfService(service);
  AgentView* chosen = nullptr;
  if (entry.tried.size() < kMaxTargetsPerSyn) {
    chosen = placement_.Choose(now, request, agents);
  }
  if (chosen == nullptr) {
    if (entry.tried.empty()) flows_.erase(flow);
    return;
  }
  ++(entry.tried.empty() ? counters_.placed : counters_.placed_again);
  const auto head = codec_.Decode(placing.packet);
  entry.agent = chosen->agent;
  entry.tried.push_back(chosen->agent);
  entry.accepted = false;
  entry.runs_once = route.kind == RequestKind::kRunsOnce;
  entry.syn_sequence = head->sequence;
  entry.last_packet = now;
  ++chosen->placed_since_report;
  LogLine(log_, EventKind::kPlaced, kPart, "flow-placed")
      .Add("flow", flow)
      .Add("route", route.name)
      .Add("service", service)
      .Add("target", chosen->record.id)
      .Add("agent", chosen->agent)
      .Add("try", entry.tried.size())
      .Add("waiting", chosen->waiting)
      .Add("slots", chosen->record.slots)
      .Add("report_age", now - chosen->last_report)
      .Add("config", routes_.version)
      .Add("entry_revision", chosen->revision);
  std::string packet = placing.packet;
  Forward(now, *chosen, packet.data(), packet.size());
}

void FlowBalancer::OnData(TimePoint now, const Flow& flow,
                          const PacketHead& head, char* packet, size_t size) {
  const auto it = flows_.find(flow);
  if (it == flows_.end()) {
    StartSearch(now, flow, head, std::string_view(packet, size), {}, {});
    return;
  }
  FlowEntry& entry = it->second;
  entry.acknowledged = head.acknowledged;
  entry.last_packet = now;
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
  if (TargetDirectory::Silent(now, *agent) && !agent->restarting &&
      !entry.runs_once && !head.reset) {
    // The client may repeat the request elsewhere while there is time.
    ++counters_.resets_target_silent;
    Reset(flow, head.acknowledged, "target-silent");
    flows_.erase(it);
    return;
  }
  Forward(now, *agent, packet, size);
}

void FlowBalancer::Forward(TimePoint now, AgentView& agent, char* packet,
                           size_t size) {
  codec_.SetHop(packet, {HopKind::kDirect, agent.service_check}, 0);
  TargetDirectory::NoteSent(now, agent);
  output_.ToAgent(agent.agent, std::string_view(packet, size));
}

void FlowBalancer::StartSearch(TimePoint now, const Flow& flow,
                               const PacketHead& head, std::string_view packet,
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
  prober_.Search(now, flow, head, std::string(packet), ServicesOf(*route),
                 likely, denied);
}

void FlowBalancer::Offer(TimePoint now, AgentView& agent, const Flow& /*flow*/,
                         std::string packet) {
  ++counters_.offers;
  codec_.SetHop(packet.data(), {HopKind::kOffer, agent.service_check}, 0);
  TargetDirectory::NoteSent(now, agent);
  output_.ToAgent(agent.agent, packet);
}

void FlowBalancer::OnNobodyHolds(TimePoint now, const Flow& flow,
                                 uint32_t acknowledged) {
  flows_.erase(flow);
  // Targets may be missing from a directory that does not follow the store.
  if (!current_) return;
  ++counters_.resets_nobody_holds;
  Reset(flow, acknowledged, "nobody-holds-flow");
}

void FlowBalancer::OnHolderFound(TimePoint now, const Flow& flow,
                                 AgentView& agent) {
  // The packets that waited were offered to the holder already.
  prober_.Found(flow);
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
  if (view != nullptr) view->unanswered = false;
  const Route* route = routes_.Find(flow.service);
  const auto it = flows_.find(flow);
  if (head->tag.kind == HopKind::kNotHeld) {
    std::vector<Endpoint> likely;
    if (it != flows_.end() && it->second.agent == agent) flows_.erase(it);
    codec_.SetHop(packet, HopTag(), 0);
    StartSearch(now, flow, *head, std::string_view(packet, size), {}, {agent});
    return;
  }
  if (head->tag.kind != HopKind::kRefused || route == nullptr) return;
  ++counters_.refused_by_agents;
  if (view != nullptr && view->record.state == schema::TargetState::kReady) {
    // Until its next report, or so long that others come first for a while.
    view->refuses_until = now + std::chrono::milliseconds(50);
  }
  const auto placing = placing_.find(flow);
  if (placing == placing_.end()) return;
  placing->second.refused.push_back(agent);
  if (it != flows_.end()) {
    auto& tried = it->second.tried;
    tried.erase(std::remove(tried.begin(), tried.end(), agent), tried.end());
  }
  Place(now, flow, *route, placing->second);
}

void FlowBalancer::OnReport(TimePoint now, const schema::AgentReport& report) {
  AgentView* agent = directory_.Find(Endpoint::Unpack(report.agent));
  directory_.OnReport(now, report);
  if (agent == nullptr) return;
  for (const auto& key : report.accepted) {
    const Flow flow = ToFlow(key);
    const auto it = flows_.find(flow);
    if (it == flows_.end()) continue;
    placing_.erase(flow);
    if (it->second.tried.size() == 1) it->second.accepted = true;
  }
  for (const auto& key : report.held) OnHolderFound(now, ToFlow(key), *agent);
  for (const auto& key : report.not_held) {
    prober_.OnNotHeld(now, ToFlow(key), agent->agent);
  }
}

void FlowBalancer::Reset(const Flow& flow, uint32_t acknowledged,
                         std::string_view reason) {
  LogLine(log_, EventKind::kReset, kPart, "flow-reset")
      .Add("flow", flow)
      .Add("reason", reason)
      .Add("config", routes_.version)
      .Add("targets", directory_.size())
      .Add("current", current_);
  output_.ToClient(flow.caller, codec_.EncodeReset(flow, acknowledged));
}

void FlowBalancer::Apply(TimePoint /*now*/, RouteTable routes) {
  if (routes.version < routes_.version) return;
  routes_ = std::move(routes);
  for (auto it = flows_.begin(); it != flows_.end();) {
    if (routes_.Find(it->first.service) != nullptr) {
      ++it;
      continue;
    }
    ++counters_.resets_no_route;
    Reset(it->first, it->second.acknowledged, "route-dropped");
    placing_.erase(it->first);
    it = flows_.erase(it);
  }
}

void FlowBalancer::OnAgentsGone(TimePoint /*now*/,
                                const std::vector<Endpoint>& agents) {
  for (const Endpoint& agent : agents) {
    LogLine(log_, EventKind::kBelief, kPart, "target-gone").Add("agent", agent);
  }
  for (auto it = flows_.begin(); it != flows_.end();) {
    const bool gone = std::find(agents.begin(), agents.end(),
                                it->second.agent) != agents.end();
    if (!gone) {
      ++it;
      continue;
    }
    ++counters_.resets_target_gone;
    Reset(it->first, it->second.acknowledged, "target-gone");
    it = flows_.erase(it);
  }
}

void FlowBalancer::OnTick(TimePoint now) {
  prober_.OnTick(now);
  RetryPlacements(now);
  if (now < next_sweep_) return;
  next_sweep_ = now + kSweepPeriod;
  ForgetOldFlows(now);
}

void FlowBalancer::RetryPlacements(TimePoint now) {
  for (auto it = placing_.begin(); it != placing_.end();) {
    Placing& placing = it->second;
    const Flow flow = it->first;
    const Route* route = routes_.Find(flow.service);
    if (route == nullptr) {
      it = placing_.erase(it);
      continue;
    }
    if (now >= placing.retry_at) {
      // An agent that refused may have a free place by now.
      placing.refused.clear();
      Place(now, flow, *route, placing);
    }
    const bool waits_long = now - placing.arrived > kTargetWait;
    const bool sent = flows_.count(flow) != 0;
    if (waits_long && !sent) {
      ++counters_.resets_no_target;
      Reset(flow, 0, "no-target");
    }
    it = waits_long ? placing_.erase(it) : std::next(it);
  }
}

void FlowBalancer::ForgetOldFlows(TimePoint now) {
  const Duration limit = routes_.idle_timeout + kIdleMargin;
  for (auto it = flows_.begin(); it != flows_.end();) {
    it =
        now - it->second.last_packet > limit ? flows_.erase(it) : std::next(it);
  }
}

}  // namespace sesamesaddle
