// What a balancer asks agents and hears of them: queries, probes, reports.

#include <algorithm>
#include <utility>

#include "schema/flow_key.h"
#include "steering/flow_balancer.h"

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "balancer";
// The pace of reports follows the agents that got packets within this time.
constexpr Duration kPaceWindow = std::chrono::seconds(1);

}  // namespace

void FlowBalancer::NoteClientPacket(TimePoint now, const PacketHeader& head,
                                    FlowEntry& entry, AgentView& agent) {
  if (head.payload_bytes == 0) return;
  const uint32_t end = head.sequence + head.payload_bytes;
  if (end != entry.client_sequence) {
    entry.client_sequence = end;
    entry.client_went_on = now;
    entry.repeats = false;
  } else if (now - entry.client_went_on >= kRepeated) {
    entry.repeats = true;
    if (suspects_.insert(agent.agent).second) Probe(now, agent);
  }
}

void FlowBalancer::Probe(TimePoint now, AgentView& agent) {
  ++counters_.probes;
  AskForReport(now, agent);
  AgentView* witness = directory_.After(last_witness_);
  if (witness == &agent) witness = directory_.After(agent.agent);
  last_witness_ = witness->agent;
  if (witness != &agent) AskForReport(now, *witness);
}

void FlowBalancer::AskForReport(TimePoint now, AgentView& agent) {
  TargetDirectory::NoteAsked(now, agent);
  queries_[agent.agent];  // A query that names no flow.
}

void FlowBalancer::ProbeSuspects(TimePoint now) {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    AgentView* agent = directory_.Find(*it);
    if (agent == nullptr || agent->unanswered_probes == 0) {
      it = suspects_.erase(it);
      continue;
    }
    if (directory_.Unreachable(now, *agent)) {
      GiveUpFlowsOf(*agent);
      it = suspects_.erase(it);
      continue;
    }
    if (now - agent->last_probe >= TargetDirectory::kAnswerTime) {
      Probe(now, *agent);
    }
    ++it;
  }
}

void FlowBalancer::GiveUpFlowsOf(const AgentView& agent) {
  if (agent.restarting) return;
  for (auto it = flows_.begin(); it != flows_.end();) {
    const FlowEntry& entry = it->second;
    if (entry.agent != agent.agent || !entry.repeats || entry.runs_once) {
      ++it;
      continue;
    }
    ResetSilent(it->first, entry);
    it = flows_.erase(it);
  }
}

void FlowBalancer::ResetSilent(const Flow& flow, const FlowEntry& entry) {
  ++counters_.resets_target_silent;
  Reset(flow, entry.acknowledged, "target-silent");
}

void FlowBalancer::UpdatePace(TimePoint now) {
  size_t active = 0;
  for (const AgentView* agent : directory_.All()) {
    if (now - agent->last_packet < kPaceWindow) ++active;
  }
  const int64_t asked =
      counters_.placed + counters_.placed_again + counters_.queries;
  pace_.Update(active, asked - asked_before_);
  asked_before_ = asked;
}

void FlowBalancer::Ask(TimePoint now, AgentView& agent, const Flow& flow) {
  TargetDirectory::NoteAsked(now, agent);
  queries_[agent.agent].push_back(ToKey(flow));
}

void FlowBalancer::FlushQueries(TimePoint now) {
  if (queries_.empty() || now - last_queries_ < kQueryPeriod) return;
  last_queries_ = now;
  for (const auto& [agent, keys] : queries_) {
    size_t sent = 0;
    do {
      schema::FlowQuery query;
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
  for (const auto& key : report.accepted) {
    const Flow flow = FromKey(key);
    const auto it = flows_.find(flow);
    if (it == flows_.end()) continue;
    placing_.erase(flow);
    if (it->second.tried.size() == 1) it->second.accepted = true;
  }
  for (const auto& key : report.held) OnHolderFound(now, FromKey(key), *agent);
  for (const auto& key : report.unsure) {
    prober_.OnUnsure(now, FromKey(key), agent->agent);
  }
  for (const auto& key : report.not_held) {
    prober_.OnNotHeld(now, FromKey(key), agent->agent);
  }
}

void FlowBalancer::OnAgentsRemoved(TimePoint /*now*/,
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
