// The part of FlowBalancer that handles agents whose entries are missing from
// the directory although they may live.

#include <algorithm>
#include <utility>

#include "steering/flow_balancer.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";

}  // namespace

void FlowBalancer::OnAgentUnlisted(TimePoint now, const Endpoint& agent) {
  missing_entries_.OnRemoved(now, agent, notices_.IsNotifierOf(agent));
}

void FlowBalancer::OnUnlistedReport(TimePoint now,
                                    const schema::AgentReport& report) {
  if (directory_revision_ == StoreRevision()) return;  // Nothing was read yet.
  const Endpoint agent = Endpoint::Unpack(report.agent);
  // An agent has no entry before it knows its target, and withdraws that of one
  // which has deregistered.
  if (report.state == schema::TargetState::kUnknown ||
      report.state == schema::TargetState::kGone) {
    locator_.trust().OnResolved(agent);
    return;
  }
  locator_.trust().OnUnlistedReport(now, agent);
  missing_entries_.OnUnlistedReport(now, agent);
}

void FlowBalancer::ReportMissingEntries(TimePoint now) {
  if (missing_entries_.idle()) return;
  for (const Endpoint& agent : missing_entries_.TakeDue(now)) {
    const auto notice = MakeMissingEntryNotice(now, agent);
    if (!notice) {
      missing_entries_.OnResolved(agent);
      continue;
    }
    ++counters_.missing_entries_reported;
    output_.Notify(agent, *notice);
    LogLine line(log_, EventKind::kStateChange, kLogComponent,
                 "missing-entry-reported");
    line.Add("agent", agent)
        .Add("era", notice->entry_missing.era)
        .Add("revision", notice->entry_missing.revision);
    const AgentView* view = directory_.Find(agent);
    if (view == nullptr) continue;
    line.Add("target", view->record.id)
        .Add("report_age", now - view->last_report);
  }
}

std::optional<schema::AgentNotice> FlowBalancer::MakeMissingEntryNotice(
    TimePoint now, const Endpoint& agent) const {
  schema::AgentNotice notice;
  StoreRevision missing_at = directory_revision_;
  if (const AgentView* view = directory_.Find(agent); view != nullptr) {
    // An agent withdraws the entry of a target that has deregistered.
    if (view->listed || view->record.state == schema::TargetState::kGone) {
      return std::nullopt;
    }
    notice = MakeNotice(*view);
    missing_at = view->revision;
  } else if (!locator_.trust().LacksAgent(now, agent)) {
    return std::nullopt;
  }
  schema::EntryRemoval removal;
  removal.era = missing_at.era.value();
  removal.revision = missing_at.number;
  notice.__set_entry_missing(removal);
  return notice;
}

bool FlowBalancer::NeedsUnlistedAgents(TimePoint now) const {
  return directory_revision_ != StoreRevision() &&
         !locator_.trust().KnowsAllAgents(now);
}

std::optional<std::vector<Endpoint>> FlowBalancer::UnlistedAgents(
    TimePoint now, StoreRevision since) const {
  if (!locator_.trust().KnowsAllAgents(now) || directory_revision_ < since) {
    return std::nullopt;
  }
  std::vector<Endpoint> agents = locator_.trust().UnlistedAgents(now);
  const std::vector<Endpoint> removed = directory_.UnlistedAgents();
  agents.insert(agents.end(), removed.begin(), removed.end());
  if (agents.size() > kMaxUnlistedAgents) return std::nullopt;
  return agents;
}

void FlowBalancer::OnUnlistedAgents(TimePoint now, const Endpoint& peer,
                                    StoreRevision revision,
                                    const std::vector<Endpoint>& agents) {
  if (locator_.trust().KnowsAllAgents(now)) return;
  for (const Endpoint& agent : agents) OnUnlistedAgent(now, agent);
  if (!locator_.trust().OnPeerList(now, revision)) return;
  LogLine(log_, EventKind::kStateChange, kLogComponent, "directory-complete")
      .Add("peer", peer)
      .Add("era", revision.era.value())
      .Add("revision", revision.number)
      .Add("unlisted", agents.size());
}

void FlowBalancer::OnUnlistedAgent(TimePoint now, const Endpoint& agent) {
  const AgentView* view = directory_.Find(agent);
  if (view != nullptr) return;  // Its end is known once it is confirmed.
  locator_.trust().OnUnlistedAgent(now, agent);
  missing_entries_.OnUnlistedReport(now, agent);
}

}  // namespace sesamesaddle
