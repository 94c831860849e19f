// The part of FlowBalancer that handles queries, probes and reports.

#include <algorithm>
#include <utility>

#include "schema/flow_key.h"
#include "steering/flow_balancer.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";
// The report period depends on the number of agents that were sent packets
// within this time.
constexpr Duration kActiveAgentWindow = std::chrono::seconds(1);

}  // namespace

void FlowBalancer::DetectRetransmission(TimePoint now,
                                        const PacketHeader& header,
                                        FlowEntry& entry, AgentView& agent) {
  if (header.payload_bytes == 0) return;
  const uint32_t end = header.sequence + header.payload_bytes;
  if (end != entry.client_sequence_end) {
    entry.client_sequence_end = end;
    entry.last_progress = now;
    entry.retransmitting = false;
  } else if (now - entry.last_progress >= kMinRetransmissionDelay) {
    entry.retransmitting = true;
    if (suspects_.insert(agent.agent).second) Probe(now, agent);
  }
}

void FlowBalancer::Probe(TimePoint now, AgentView& agent) {
  ++counters_.probes;
  RequestReport(now, agent);
  AgentView* reference_agent = directory_.NextAfter(last_reference_);
  if (reference_agent == &agent) {
    reference_agent = directory_.NextAfter(agent.agent);
  }
  last_reference_ = reference_agent->agent;
  if (reference_agent != &agent) RequestReport(now, *reference_agent);
}

void FlowBalancer::RequestReport(TimePoint now, AgentView& agent) {
  directory_.RecordReportRequest(now, agent);
  queries_[agent.agent];  // A query without flows only requests a report.
}

void FlowBalancer::ProbeSuspects(TimePoint now) {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    AgentView* agent = directory_.Find(*it);
    if (agent == nullptr || agent->contact.unanswered() == 0) {
      it = suspects_.erase(it);
      continue;
    }
    if (directory_.Unreachable(now, *agent)) {
      ResetRetransmittingFlows(now, *agent);
      it = suspects_.erase(it);
      continue;
    }
    if (directory_.RequestDue(*agent)) Probe(now, *agent);
    ++it;
  }
}

void FlowBalancer::ResetRetransmittingFlows(TimePoint now,
                                            const AgentView& agent) {
  for (auto it = flows_.begin(); it != flows_.end();) {
    const bool reset = it->second.agent == agent.agent &&
                       ResetIfSilent(now, it->first, it->second, agent);
    it = reset ? flows_.erase(it) : std::next(it);
  }
}

bool FlowBalancer::ResetIfSilent(TimePoint now, const Flow& flow,
                                 const FlowEntry& entry,
                                 const AgentView& agent) {
  if (!entry.retransmitting) return false;
  const auto evidence = InstanceSilent::Check(
      agent.agent,
      {directory_.Unreachable(now, agent), directory_.Restarting(now, agent),
       entry.holder.Confirmed(), entry.retransmitting, entry.runs_once});
  if (!evidence) return false;
  ++counters_.resets_target_silent;
  resetter_.Reset(flow, entry.acknowledged, *evidence, routes_.version);
  return true;
}

void FlowBalancer::AskUnlisted(TimePoint now) {
  for (AgentView* agent : directory_.UnlistedToAsk(now)) {
    RequestReport(now, *agent);
  }
}

void FlowBalancer::ProbeInstances(TimePoint now) {
  for (const Endpoint& agent : directory_.DueInstanceProbes(now)) {
    if (!output_.ProbeInstance(agent)) continue;
    ++counters_.instance_probes;
    directory_.OnInstanceProbe(agent);
  }
}

void FlowBalancer::OnInstanceAnswer(const Endpoint& agent,
                                    InstanceAnswer answer) {
  ++counters_.instance_answers;
  directory_.OnInstanceAnswer(agent, answer);
}

void FlowBalancer::UpdateReportPeriod(TimePoint now) {
  size_t active = 0;
  for (const AgentView* agent : directory_.All()) {
    if (now - agent->last_packet < kActiveAgentWindow) ++active;
  }
  const int64_t solicited =
      counters_.placed + counters_.placed_again + counters_.queries;
  report_rate_.Update(active, solicited - solicited_before_);
  solicited_before_ = solicited;
}

void FlowBalancer::QueryAgent(TimePoint now, AgentView& agent,
                              const Flow& flow) {
  directory_.RecordReportRequest(now, agent);
  queries_[agent.agent].flows.push_back(ToKey(flow));
}

void FlowBalancer::QueryDigest(TimePoint now, AgentView& agent,
                               const Flow& flow, int32_t number) {
  QueryAgent(now, agent, flow);
  queries_[agent.agent].__set_digest_query(number);
}

void FlowBalancer::OnDigestRoundOver(const DigestRoundSummary& round) {
  LogLine(log_, EventKind::kDigestRound, kLogComponent, "digest-round")
      .Add("round", round.round)
      .Add("flows", round.searches)
      .Add("agents", round.agents)
      .Add("digests", round.digests)
      .Add("without_digest", round.without_digest)
      .Add("took", round.took);
}

void FlowBalancer::FlushQueries(TimePoint now) {
  if (queries_.empty() || now - last_queries_ < kQueryPeriod) return;
  last_queries_ = now;
  for (const auto& [agent, pending] : queries_) {
    const std::vector<schema::FlowKey>& keys = pending.flows;
    size_t sent = 0;
    do {
      schema::FlowQuery query;
      if (sent == 0 && pending.__isset.digest_query) {
        query.__set_digest_query(pending.digest_query);
      }
      const size_t end = std::min(keys.size(), sent + kMaxFlowsPerQuery);
      query.flows.assign(keys.begin() + static_cast<ptrdiff_t>(sent),
                         keys.begin() + static_cast<ptrdiff_t>(end));
      ++counters_.queries;
      output_.Query(agent, query);
      sent = end;
    } while (sent < keys.size());
  }
  queries_.clear();
}

void FlowBalancer::OnReport(TimePoint now, const schema::AgentReport& report) {
  ++counters_.reports;
  AgentView* agent = directory_.Find(Endpoint::Unpack(report.agent));
  directory_.OnReport(now, report);
  if (agent == nullptr) {
    OnUnlistedReport(now, report);
    return;
  }
  OnZoneReported(now, *agent, report);
  if (report.state == schema::TargetState::kGone) ForgetFlowsOf(*agent);
  for (const auto& key : report.accepted) {
    const Flow flow = FromKey(key);
    const auto it = flows_.find(flow);
    if (it == flows_.end()) continue;
    pending_syns_.erase(flow);
    if (it->second.tried.size() == 1) it->second.holder.accepted = true;
  }
  for (const auto& key : report.held) OnHolderFound(now, FromKey(key), *agent);
  for (const auto& key : report.unsure) {
    locator_.OnUnsure(now, FromKey(key), agent->agent);
  }
  for (const auto& key : report.not_held) {
    locator_.OnNotHeld(now, FromKey(key), agent->agent);
  }
  locator_.OnReport(now, agent->agent, report);
}

void FlowBalancer::ForgetFlowsOf(const AgentView& agent) {
  for (auto& [flow, entry] : flows_) {
    if (entry.agent == agent.agent) entry.ended = true;
  }
}

void FlowBalancer::OnTargetsDropped(const std::vector<DroppedTarget>& targets) {
  std::map<Endpoint, TargetEnded> ended;
  for (const DroppedTarget& target : targets) {
    LogLine line(log_, EventKind::kStateChange, kLogComponent, "target-gone");
    const TargetEnded evidence(target.agent, target.end, target.unlisted);
    evidence.Describe(line);
    ended.emplace(target.agent, evidence);
  }
  for (auto it = flows_.begin(); it != flows_.end();) {
    const auto evidence = ended.find(it->second.agent);
    if (evidence == ended.end()) {
      ++it;
      continue;
    }
    // If the flow may be open at another target, its next packet is searched.
    if (!it->second.ended && it->second.holder.Confirmed()) {
      ++counters_.resets_target_gone;
      resetter_.Reset(it->first, it->second.acknowledged, evidence->second,
                      routes_.version);
    }
    it = flows_.erase(it);
  }
}

std::vector<BalancerFlow> FlowBalancer::Flows(TimePoint now) const {
  std::vector<BalancerFlow> flows;
  flows.reserve(flows_.size());
  for (const auto& [flow, entry] : flows_) {
    flows.push_back(
        {flow, entry.agent, entry.holder.accepted, now - entry.last_packet});
  }
  return flows;
}

}  // namespace sesamesaddle
