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
  TargetDirectory::RecordReportRequest(now, agent);
  queries_[agent.agent];  // A query without flows only requests a report.
}

void FlowBalancer::ProbeSuspects(TimePoint now) {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    AgentView* agent = directory_.Find(*it);
    if (agent == nullptr || agent->unanswered_probes == 0) {
      it = suspects_.erase(it);
      continue;
    }
    if (directory_.Unreachable(now, *agent)) {
      ResetRetransmittingFlows(*agent);
      it = suspects_.erase(it);
      continue;
    }
    if (now - agent->last_probe >= TargetDirectory::kReplyTimeout) {
      Probe(now, *agent);
    }
    ++it;
  }
}

void FlowBalancer::ResetRetransmittingFlows(const AgentView& agent) {
  if (agent.restarting) return;
  for (auto it = flows_.begin(); it != flows_.end();) {
    const FlowEntry& entry = it->second;
    if (entry.agent != agent.agent || !entry.retransmitting ||
        entry.runs_once) {
      ++it;
      continue;
    }
    ResetForSilentTarget(it->first, entry);
    it = flows_.erase(it);
  }
}

void FlowBalancer::ResetForSilentTarget(const Flow& flow,
                                        const FlowEntry& entry) {
  ++counters_.resets_target_silent;
  Reset(flow, entry.acknowledged, "target-silent");
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
  TargetDirectory::RecordReportRequest(now, agent);
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
  if (agent == nullptr) return;
  OnZoneReported(now, *agent, report);
  if (report.state == schema::TargetState::kGone) ForgetFlowsOf(*agent);
  for (const auto& key : report.accepted) {
    const Flow flow = FromKey(key);
    const auto it = flows_.find(flow);
    if (it == flows_.end()) continue;
    pending_syns_.erase(flow);
    if (it->second.tried.size() == 1) it->second.accepted = true;
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

void FlowBalancer::OnAgentsRemoved(TimePoint /*now*/,
                                   const std::vector<Endpoint>& agents) {
  for (const Endpoint& agent : agents) {
    LogLine(log_, EventKind::kStateChange, kLogComponent, "target-gone")
        .Add("agent", agent);
  }
  for (auto it = flows_.begin(); it != flows_.end();) {
    const bool gone = std::find(agents.begin(), agents.end(),
                                it->second.agent) != agents.end();
    if (!gone) {
      ++it;
      continue;
    }
    if (!it->second.ended) {
      ++counters_.resets_target_gone;
      Reset(it->first, it->second.acknowledged, "target-gone");
    }
    it = flows_.erase(it);
  }
}

std::vector<BalancerFlow> FlowBalancer::Flows(TimePoint now) const {
  std::vector<BalancerFlow> flows;
  flows.reserve(flows_.size());
  for (const auto& [flow, entry] : flows_) {
    flows.push_back(
        {flow, entry.agent, entry.accepted, now - entry.last_packet});
  }
  return flows;
}

}  // namespace sesamesaddle
