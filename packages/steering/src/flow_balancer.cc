#include "steering/flow_balancer.h"

#include <algorithm>
#include <utility>

#include "admission/syn_patience.h"
#include "flow_model/agent_hop.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";
constexpr Duration kSweepPeriod = std::chrono::seconds(1);
// Leaves time for the last packets of a flow that the idle timeout has closed.
constexpr Duration kIdleGracePeriod = std::chrono::seconds(2);
// An agent that refused a SYN is not used until about its next report.
constexpr Duration kRefusalBackoff = std::chrono::milliseconds(50);
// Longer than a client or target retransmits its last packet.
constexpr Duration kEndedFlowRetention = std::chrono::seconds(4);
// A late SYN that a full target returned is placed again after the agents'
// next reports.
constexpr Duration kLateRetryPeriod = std::chrono::milliseconds(50);

}  // namespace

FlowBalancer::FlowBalancer(FlowBalancerOptions options,
                           const PacketCodec& codec, TargetDirectory& directory,
                           ZoneEvacuations& zones, PlacementPolicy& placement,
                           FlowBalancerOutput& output, EventLog& log)
    : codec_(codec),
      directory_(directory),
      zones_(zones),
      placement_(placement),
      output_(output),
      log_(log),
      resetter_(codec, output, log),
      locator_(std::move(options.topology), directory, *this,
               options.verification_interval),
      split_(options.split),
      admission_(options.admission),
      history_(options.flow_lifetime) {}

void FlowBalancer::OnClientPacket(TimePoint now, char* packet, size_t size) {
  ++counters_.packets;
  const auto header = codec_.Decode(std::string_view(packet, size));
  if (!header) {
    ++counters_.malformed;
    return;
  }
  const Flow flow{header->source, header->destination};
  if (routes_.Find(flow.service) == nullptr) {
    OnUnrouted(now, flow, *header, std::string_view(packet, size));
    return;
  }
  if (header->syn) {
    OnSyn(now, flow, *header, std::string_view(packet, size));
  } else {
    OnData(now, flow, *header, packet, size);
  }
}

void FlowBalancer::OnSyn(TimePoint now, const Flow& flow,
                         const PacketHeader& header, std::string_view packet) {
  ++counters_.syns;
  if (locator_.SearchesFlowOf(flow, header.sequence)) return;
  // The client uses its port again, and the end of the search must not reset
  // the new flow.
  locator_.Cancel(flow);
  auto known = flows_.find(flow);
  if (known != flows_.end() && known->second.opened &&
      known->second.client_sequence &&
      MayFollowSyn(*known->second.client_sequence, header.sequence)) {
    return;  // A late copy: the flow is open.
  }
  if (known != flows_.end() && known->second.syn_sequence == header.sequence) {
    known->second.copies.OnCopy(header.acknowledged,
                                directory_.all_read_as_of());
    AgentView* agent = directory_.Find(known->second.agent);
    if (known->second.holder.accepted && agent != nullptr &&
        !directory_.Silent(now, *agent)) {
      // The SYN-ACK for the first copy was lost.
      ForwardSyn(now, *agent, std::string(packet), 0, {});
      return;
    }
    if (known->second.opened) return;
  } else if (known != flows_.end()) {
    flows_.erase(known);
    known = flows_.end();
  }
  PendingSyn& pending = pending_syns_[flow];
  if (pending.sequence != header.sequence) pending = PendingSyn();
  if (pending.packet.empty()) {
    pending.arrived = now;
    if (known != flows_.end()) pending.copies = known->second.copies;
    // Without deadlines a wait counts from the arrival at this process.
    pending.sent = admission_.order == QueueOrder::kDeadline
                       ? now - SynPatience::MinWait(header.acknowledged)
                       : now;
  }
  pending.packet = std::string(packet);
  pending.sequence = header.sequence;
  pending.copies.OnCopy(header.acknowledged, directory_.all_read_as_of());
  Place(now, flow, *routes_.Find(flow.service), pending);
}

bool FlowBalancer::Place(TimePoint now, const Flow& flow, const Route& route,
                         PendingSyn& pending) {
  pending.retry_at = now + kAcceptTimeout;
  if (DropIfOver(now, flow, route, pending)) return false;
  PlacementRequest request{flow, pending.refused,
                           route.kind == RequestKind::kRunsOnce};
  const auto known = flows_.find(flow);
  size_t tries = 0;
  if (known != flows_.end()) {
    const std::vector<Endpoint>& tried = known->second.tried;
    tries = tried.size();
    request.excluded.insert(request.excluded.end(), tried.begin(), tried.end());
  }
  if (tries >= kMaxTargetsPerSyn) return true;
  AgentView* chosen = ChooseTarget(now, route, request);
  if (chosen == nullptr) {
    if (tries > 0) return true;
    if (RefuseIfEvacuated(now, flow, route)) return false;
    pending.retry_at = now + kPlacementRetryPeriod;
    if (now - pending.arrived <=
        AdmissionControl::WaitLimit(route, admission_.room_wait)) {
      return true;
    }
    GiveUp(now, flow, Refusal::kNoTarget);
    return false;
  }
  if (tries == 0 && !Admit(now, flow, route, *chosen, pending)) return false;
  if (!pending.waiting_for_room) Send(now, flow, route, *chosen, pending);
  return true;
}

AgentView* FlowBalancer::ChooseTarget(TimePoint now, const Route& route,
                                      const PlacementRequest& request) {
  const std::string& picked = PickService(route, request.flow);
  AgentView* chosen =
      placement_.Choose(now, request, directory_.OfService(picked));
  if (split_ == SplitMode::kStrict || route.services.size() < 2) return chosen;
  std::optional<double> work;
  if (chosen != nullptr) {
    work = HasSlowStartRoom(now, *chosen) ? WorkPerSlot(now, *chosen)
                                          : SplitOverflow::kWorkWithoutRoom;
  }
  if (!SplitOverflow::IsSaturated(work)) return chosen;
  AgentView* other = ChooseOverflowTarget(now, route, request, picked, work);
  return other == nullptr ? chosen : other;
}

AgentView* FlowBalancer::ChooseOverflowTarget(TimePoint now, const Route& route,
                                              const PlacementRequest& request,
                                              const std::string& picked,
                                              std::optional<double> work) {
  for (const WeightedService& share : route.services) {
    if (share.service == picked || share.weight <= 0) continue;
    AgentView* other =
        placement_.Choose(now, request, directory_.OfService(share.service));
    if (other == nullptr || !HasSlowStartRoom(now, *other)) continue;
    if (SplitOverflow::Prefers(work, WorkPerSlot(now, *other))) return other;
  }
  return nullptr;
}

void FlowBalancer::Send(TimePoint now, const Flow& flow, const Route& route,
                        AgentView& chosen, PendingSyn& pending) {
  FlowEntry& entry = flows_[flow];
  ++(entry.tried.empty() ? counters_.placed : counters_.placed_again);
  const bool overflow = chosen.record.service_name != PickService(route, flow);
  if (overflow) ++counters_.placed_by_overflow;
  entry.agent = chosen.agent;
  if (!entry.placed_version) entry.placed_version = routes_.version;
  entry.tried.push_back(chosen.agent);
  entry.holder = Holder();
  entry.holder.syn_sent = now;
  entry.runs_once = route.kind == RequestKind::kRunsOnce;
  entry.syn_sequence = pending.sequence;
  entry.copies = pending.copies;
  entry.last_packet = now;
  NotifyBeforeSyn(now, chosen);
  ++chosen.placed_since_report;
  LogLine(log_, EventKind::kFlowPlaced, kLogComponent, "flow-placed")
      .Add("flow", flow)
      .Add("route", route.name)
      .Add("service", chosen.record.service_name)
      .Add("overflow", overflow ? 1 : 0)
      .Add("target", chosen.record.id)
      .Add("agent", chosen.agent)
      .Add("try", entry.tried.size())
      .Add("waited", now - pending.arrived)
      .Add("waiting", chosen.in_flight)
      .Add("slots", chosen.record.slots)
      .Add("report_age", now - chosen.last_report)
      .Add("config", routes_.version)
      .Add("entry_revision", chosen.revision.number)
      .Add("entry_era", chosen.revision.era.value());
  const int priority =
      std::clamp<int>(route.priority, 0, HopTag::kLowestPriority);
  ForwardSyn(now, chosen, pending.packet, static_cast<uint8_t>(priority),
             {now - pending.sent, route.target_latency, entry.runs_once});
}

void FlowBalancer::OnData(TimePoint now, const Flow& flow,
                          const PacketHeader& header, char* packet,
                          size_t size) {
  // The client has received a SYN-ACK, so the flow must not be refused any
  // more.
  pending_syns_.erase(flow);
  const auto it = flows_.find(flow);
  if (it == flows_.end()) {
    if (header.reset) return;  // The client has ended the flow.
    StartSearch(now, flow, header, std::string_view(packet, size), {}, {});
    return;
  }
  FlowEntry& entry = it->second;
  const bool first = !entry.opened;
  RecordData(now, header, entry);
  if (entry.tried.size() > 1) {
    const std::vector<Endpoint> tried = std::move(entry.tried);
    flows_.erase(it);
    StartSearch(now, flow, header, std::string_view(packet, size), tried, {});
    return;
  }
  AgentView* agent = directory_.Find(entry.agent);
  if (agent == nullptr) {
    flows_.erase(it);
    StartSearch(now, flow, header, std::string_view(packet, size), {}, {});
    return;
  }
  DetectRetransmission(now, header, entry, *agent);
  if (!header.reset && ResetIfSilent(now, flow, entry, *agent)) {
    flows_.erase(it);
    return;
  }
  if (!entry.holder.Confirmed() && entry.retransmitting &&
      directory_.Unreachable(now, *agent)) {
    flows_.erase(it);
    StartSearch(now, flow, header, std::string_view(packet, size), {}, {});
    return;
  }
  // The agent learns from the first packet that the flow is open.
  if (!first && !entry.ended && entry.holder.QueryDue(now)) {
    entry.holder.asked = true;
    QueryAgent(now, *agent, flow);
  }
  Forward(now, *agent, packet, size);
}

void FlowBalancer::RecordData(TimePoint now, const PacketHeader& header,
                              FlowEntry& entry) {
  if (!entry.opened) {
    entry.holder.sole = AllCopiesSeen::Check(now, entry.copies).has_value();
  }
  entry.opened = true;
  entry.client_sequence = header.sequence;
  entry.acknowledged = header.acknowledged;
  entry.last_packet = now;
  entry.ended = entry.ended || header.fin || header.reset;
}

void FlowBalancer::ForwardSyn(TimePoint now, AgentView& agent,
                              std::string packet, uint8_t priority,
                              SynTimes times) {
  const bool limited =
      routes_.FindSlowStart(agent.record.service_name) != nullptr;
  WriteSynHop(codec_, limited ? HopKind::kOffer : HopKind::kDirect,
              agent.service, priority, times, packet);
  agent.last_packet = now;
  directory_.RecordReportRequest(now, agent);
  output_.ToAgent(agent.agent, packet);
}

void FlowBalancer::Forward(TimePoint now, AgentView& agent, char* packet,
                           size_t size) {
  WriteHop(codec_, HopKind::kDirect, agent.service,
           {report_rate_.Pack(), report_rate_.PackStep()}, packet);
  agent.last_packet = now;
  output_.ToAgent(agent.agent, std::string_view(packet, size));
}

void FlowBalancer::StartSearch(TimePoint now, const Flow& flow,
                               const PacketHeader& header,
                               std::string_view packet,
                               const std::vector<Endpoint>& likely_holders,
                               const std::vector<Endpoint>& ruled_out) {
  const Route* route = routes_.Find(flow.service);
  if (route == nullptr) return;
  ++counters_.searches;
  LogLine(log_, EventKind::kFlowLookup, kLogComponent, "flow-searched")
      .Add("flow", flow)
      .Add("route", route->name)
      .Add("likely", likely_holders.size())
      .Add("denied", ruled_out.size())
      .Add("targets", directory_.size())
      .Add("config", routes_.version);
  locator_.Search(now, flow, header, std::string(packet), likely_holders,
                  ruled_out);
}

SearchScope FlowBalancer::ScopeOf(TimePoint now, const Flow& flow) {
  const Route* route = routes_.Find(flow.service);
  if (route == nullptr) return {};
  return {history_.ServicesOf(now, flow.service, *route),
          !history_.CoversFlowLifetime(now)};
}

void FlowBalancer::OfferPacket(TimePoint now, AgentView& agent,
                               std::string packet) {
  ++counters_.offers;
  WriteHop(codec_, HopKind::kOffer, agent.service, {}, packet.data());
  directory_.RecordReportRequest(now, agent);
  output_.ToAgent(agent.agent, packet);
}

void FlowBalancer::OnFlowDenied(TimePoint /*now*/, const Flow& flow,
                                uint32_t acknowledged,
                                const FlowDenied& evidence) {
  flows_.erase(flow);
  // A directory that may be out of date can lack the holder.
  if (!store_current_) return;
  ++counters_.resets_nobody_holds;
  resetter_.Reset(flow, acknowledged, evidence, routes_.version);
}

void FlowBalancer::OnHolderFound(TimePoint now, const Flow& flow,
                                 AgentView& agent) {
  LogLine(log_, EventKind::kFlowLookup, kLogComponent, "flow-found")
      .Add("flow", flow)
      .Add("target", agent.record.id)
      .Add("agent", agent.agent);
  const auto client_sequence = locator_.ClientSequenceOf(flow);
  for (std::string& packet : locator_.CompleteSearch(flow, agent.agent)) {
    Forward(now, agent, packet.data(), packet.size());
  }
  pending_syns_.erase(flow);
  FlowEntry& entry = flows_[flow];
  if (client_sequence) entry.client_sequence = client_sequence;
  const Route* route = routes_.Find(flow.service);
  entry.agent = agent.agent;
  entry.holder.accepted = true;
  entry.holder.sole = true;
  entry.opened = true;
  entry.runs_once = route == nullptr || route->kind == RequestKind::kRunsOnce;
  entry.last_packet = now;
  entry.tried.clear();
  entry.tried.push_back(agent.agent);
}

void FlowBalancer::OnAgentPacket(TimePoint now, const Endpoint& agent,
                                 char* packet, size_t size) {
  const auto header = codec_.Decode(std::string_view(packet, size));
  if (!header) {
    ++counters_.malformed;
    return;
  }
  const Flow flow{header->source, header->destination};
  AgentView* view = directory_.Find(agent);
  if (view != nullptr) directory_.OnPacket(*view);
  const Route* route = routes_.Find(flow.service);
  const auto it = flows_.find(flow);
  if (header->tag.kind == HopKind::kNotHeld) {
    if (it != flows_.end() && it->second.agent == agent) flows_.erase(it);
    codec_.SetHop(packet, HopTag(), 0);
    StartSearch(now, flow, *header, std::string_view(packet, size), {},
                {agent});
    return;
  }
  if (route == nullptr) return;
  OnSynReturned(now, flow, *route, *header, view,
                std::string_view(packet, size));
}

void FlowBalancer::OnSynReturned(TimePoint now, const Flow& flow,
                                 const Route& route, const PacketHeader& header,
                                 AgentView* agent, std::string_view packet) {
  const bool refused = header.tag.kind == HopKind::kRefused;
  if ((!refused && header.tag.kind != HopKind::kYielded) || agent == nullptr) {
    return;
  }
  ++(refused ? counters_.refused_by_agents : counters_.yielded_by_agents);
  if (refused && agent->record.state == schema::TargetState::kReady) {
    agent->backoff_until = now + kRefusalBackoff;
  }
  const bool open = IsOpen(flow);
  const auto entry = flows_.find(flow);
  SynCopies copies;
  if (entry != flows_.end()) copies = entry->second.copies;
  ForgetTry(flow, agent->agent);
  if (open) return;
  PendingSyn& pending = pending_syns_[flow];
  if (pending.packet.empty()) {
    // The agent had queued the SYN for a while.
    pending.arrived = now - SynTimes::Unpack(header.echo).waited;
    pending.sent = pending.arrived;
    pending.copies = copies;
    pending.packet.assign(packet);
    pending.sequence = header.sequence;
    codec_.SetHop(pending.packet.data(), HopTag(), 0);
  }
  if (refused) pending.refused.push_back(agent->agent);
  if (admission_.order == QueueOrder::kDeadline &&
      now - pending.sent > route.target_latency) {
    // In an overload the other targets are full as well.
    pending.retry_at = now + kLateRetryPeriod;
    return;
  }
  Place(now, flow, route, pending);
}

void FlowBalancer::ForgetTry(const Flow& flow, const Endpoint& agent) {
  const auto it = flows_.find(flow);
  if (it == flows_.end()) return;
  auto& tried = it->second.tried;
  tried.erase(std::remove(tried.begin(), tried.end(), agent), tried.end());
  if (tried.empty()) {
    flows_.erase(it);
  } else {
    it->second.agent = tried.back();
  }
}

bool FlowBalancer::IsOpen(const Flow& flow) const {
  if (locator_.Searches(flow)) return true;
  const auto it = flows_.find(flow);
  return it != flows_.end() && it->second.opened;
}

void FlowBalancer::Apply(TimePoint now, RouteTable routes,
                         UpdateContinuity continuity) {
  if (routes.version < routes_.version) return;
  history_.Record(now, routes_, routes, continuity);
  const auto limits_before = std::move(routes_.slow_starts);
  routes_ = std::move(routes);
  OnLimitsChanged(now, limits_before);
  for (auto it = flows_.begin(); it != flows_.end();) {
    if (routes_.Find(it->first.service) != nullptr) {
      ++it;
      continue;
    }
    // A flow that another process placed may be of a later version, which has
    // the route again; its next packet shows it.
    const auto evidence =
        RouteDropped::Check(it->second.placed_version, routes_.version);
    if (evidence && !it->second.ended) {
      ++counters_.resets_no_route;
      resetter_.Reset(it->first, it->second.acknowledged, *evidence,
                      routes_.version);
    }
    pending_syns_.erase(it->first);
    it = flows_.erase(it);
  }
  ForwardRouted(now);
}

void FlowBalancer::OnTick(TimePoint now) {
  locator_.OnTick(now);
  RetryPlacements(now);
  ProbeSuspects(now);
  AskUnlisted(now);
  ProbeInstances(now);
  unrouted_.Expire(now);
  if (!unrouted_.empty()) output_.RefreshDirectory();
  SendNotices(now);
  ReportMissingEntries(now);
  FlushQueries(now);
  if (now < next_sweep_) return;
  next_sweep_ = now + kSweepPeriod;
  UpdateReportPeriod(now);
  ExpireFlows(now);
}

void FlowBalancer::ExpireFlows(TimePoint now) {
  const Duration idle_limit = routes_.idle_timeout + kIdleGracePeriod;
  for (auto it = flows_.begin(); it != flows_.end();) {
    const Duration limit = it->second.ended ? kEndedFlowRetention : idle_limit;
    it =
        now - it->second.last_packet > limit ? flows_.erase(it) : std::next(it);
  }
}

}  // namespace sesamesaddle
