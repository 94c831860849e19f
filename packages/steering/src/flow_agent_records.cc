// The part of FlowAgent that handles flows whose target has been replaced:
// those that this process saw, and those that an earlier incarnation recorded.

#include <algorithm>
#include <utility>

#include "schema/flow_key.h"
#include "steering/flow_agent.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "agent";

}  // namespace

schema::FlowRecord FlowAgent::MakeRecord() const {
  schema::FlowRecord record;
  record.target_id = target_monitor_.announcement().id;
  record.born_ms = target_monitor_.announcement().born_ms;
  return record;
}

schema::RecordedFlow FlowAgent::MakeRecordedFlow(const Flow& flow,
                                                 const FlowEntry& entry) {
  schema::RecordedFlow recorded;
  recorded.flow = ToKey(flow);
  recorded.acknowledged = static_cast<int32_t>(entry.client_acknowledged);
  recorded.__set_runs_once(entry.runs_once);
  if (entry.client_sequence_end) {
    recorded.__set_client_sequence_end(
        static_cast<int32_t>(*entry.client_sequence_end));
  }
  return recorded;
}

schema::FlowRecord FlowAgent::RecordFlows(TimePoint now) const {
  schema::FlowRecord record = MakeRecord();
  // Later flows may be of a new target that has not announced itself yet.
  const TimePoint held_before = ExtendByPackets(target_monitor_.ran_until());
  for (const auto& [flow, entry] : flows_) {
    if (entry.state != FlowState::kOpen || entry.client_ended ||
        entry.target_ended || now - entry.opened < kMinRecordedAge) {
      continue;
    }
    if (record.flows.size() >= kMaxRecordedFlows) break;
    record.flows.push_back(MakeRecordedFlow(flow, entry));
    record.flows.back().__set_undecided(entry.opened >= held_before);
  }
  return record;
}

std::optional<schema::FlowRecord> FlowAgent::RecordAllFlows(
    TimePoint now, int64_t now_ms, int64_t entry_revision) const {
  // The queue is empty and stays so, as a stopping process refuses SYNs.
  if (!stopping_ || !queue_.empty() || !TracksAllFlows(now)) {
    return std::nullopt;
  }
  if (!target_monitor_.known() || target_monitor_.gone()) return std::nullopt;
  schema::FlowRecord record = MakeRecord();
  record.__set_complete_at_ms(now_ms);
  record.__set_entry_revision(entry_revision);
  // Later flows may be of a new target that has not announced itself yet.
  const TimePoint held_before = ExtendByPackets(target_monitor_.ran_until());
  for (const auto& [flow, entry] : flows_) {
    if (entry.state == FlowState::kEnded) continue;
    if (record.flows.size() >= kMaxRecordedFlows) return std::nullopt;
    record.flows.push_back(MakeRecordedFlow(flow, entry));
    record.flows.back().__set_undecided(entry.state == FlowState::kOpening ||
                                        entry.opened >= held_before);
  }
  return record;
}

size_t FlowAgent::EstimateAgentCount() const {
  Duration longest = kReportPeriod;
  for (const auto& [endpoint, balancer_state] : balancers_) {
    longest = std::max(longest, balancer_state.report_period);
  }
  const std::chrono::duration<double> period = longest;
  return static_cast<size_t>(period.count() *
                             ReportRateController::kMaxReportsPerSecond) +
         1;
}

void FlowAgent::Recall(TimePoint now, schema::FlowRecord record,
                       bool complete) {
  target_monitor_.Recall(record.target_id, record.born_ms);
  recalled_ = std::move(record);
  recalled_at_ = now;
  recalled_completely_ = complete;
  ResolveRecall(now);
}

void FlowAgent::ResolveRecall(TimePoint now) {
  if (!recalled_ || !target_monitor_.known()) return;
  const TargetAnnouncement& current = target_monitor_.announcement();
  const bool living = current.id == recalled_->target_id &&
                      current.born_ms == recalled_->born_ms;
  // The announcement may be a delayed one of an even earlier target.
  const bool confirmed =
      current.born_ms > recalled_->born_ms ||
      now - recalled_at_ >= TargetMonitor::kReplacementConfirmTime;
  if (!living && !confirmed) return;
  LogLine(log_, EventKind::kStateChange, kLogComponent, "record-resolved")
      .Add("recorded_target", recalled_->target_id)
      .Add("target", current.id)
      .Add("flows", recalled_->flows.size())
      .Add("complete", recalled_completely_ ? 1 : 0)
      .Add("age", now - recalled_at_)
      .Add("reset", living ? 0 : 1);
  if (living) {
    AdoptRecalledFlows(now);
  } else if (now - recalled_at_ < options_.flow_lifetime) {
    ResetRecalledFlows();
  }
  recalled_.reset();
}

void FlowAgent::AdoptRecalledFlows(TimePoint now) {
  for (const schema::RecordedFlow& recorded : recalled_->flows) {
    const auto [it, added] = flows_.try_emplace(FromKey(recorded.flow));
    if (!added) continue;
    FlowEntry& entry = it->second;
    // A record that is not complete has open flows only.
    const bool may_be_opening =
        recorded.undecided && recalled_->__isset.complete_at_ms;
    entry.state = may_be_opening ? FlowState::kOpening : FlowState::kOpen;
    entry.may_be_open = may_be_opening;
    if (recorded.__isset.client_sequence_end) {
      entry.client_sequence_end =
          static_cast<uint32_t>(recorded.client_sequence_end);
    }
    entry.runs_once = recorded.runs_once;
    entry.client_acknowledged = static_cast<uint32_t>(recorded.acknowledged);
    entry.opened = now;
    entry.last_packet = now;
  }
  inherited_all_flows_ = recalled_completely_;
}

void FlowAgent::AnswerOffer(TimePoint now, const Flow& flow) {
  const auto offer = offers_.find(flow);
  if (offer == offers_.end()) return;
  RecordUrgentContact(now, offer->second.balancer).held.push_back(flow);
  offers_.erase(offer);
}

void FlowAgent::ResetRecalledFlows() {
  for (const schema::RecordedFlow& recorded : recalled_->flows) {
    const Flow flow = FromKey(recorded.flow);
    // A flow that this process has seen is one that the client opened since.
    if (recorded.undecided || flows_.count(flow) != 0) continue;
    ++counters_.resets_recalled;
    FlowEntry entry;
    entry.client_acknowledged = static_cast<uint32_t>(recorded.acknowledged);
    ResetFlow(flow, entry, "recorded-target-ended");
  }
}

void FlowAgent::EndFlow(TimePoint now, const Flow& flow, FlowEntry& entry) {
  if (entry.state == FlowState::kOpen) {
    ResetFlow(flow, entry, "target-ended");
    // A balancer that was idle for a while gets no other reports.
    if (entry.balancer != Endpoint()) RecordUrgentContact(now, entry.balancer);
  }
  ReleaseWork(entry);
  // Kept for packets from clients that are still on their way.
  entry.state = FlowState::kEnded;
}

void FlowAgent::ResetFlowsOfEndedTarget(TimePoint now) {
  for (auto& [flow, entry] : flows_) {
    if (entry.state == FlowState::kOpen && entry.request_in_flight) {
      reset_unanswered_at_ = now + kLastAnswerTime;
      if (entry.balancer != Endpoint()) {
        RecordUrgentContact(now, entry.balancer);
      }
    } else {
      EndFlow(now, flow, entry);
    }
  }
}

void FlowAgent::ResetUnansweredFlows(TimePoint now) {
  if (!reset_unanswered_at_ || now < *reset_unanswered_at_) return;
  reset_unanswered_at_.reset();
  // A new target may have announced itself meanwhile; see ResetFormerFlows.
  if (!target_monitor_.gone()) return;
  for (auto& [flow, entry] : flows_) EndFlow(now, flow, entry);
}

TimePoint FlowAgent::ExtendByPackets(TimePoint ran_until) const {
  for (bool extended = true; extended;) {
    extended = false;
    for (const auto& [flow, entry] : flows_) {
      // A copy of the SYN of a flow that is not open may reach a later target.
      if (entry.state != FlowState::kOpen || entry.opened >= ran_until ||
          entry.last_target_packet <= ran_until) {
        continue;
      }
      ran_until = entry.last_target_packet;
      extended = true;
    }
  }
  return ran_until;
}

void FlowAgent::ResetFormerFlows() {
  const TimePoint held_before =
      ExtendByPackets(target_monitor_.former_ran_until());
  for (auto it = flows_.begin(); it != flows_.end();) {
    const auto next = std::next(it);
    const FlowEntry& entry = it->second;
    // A later flow may be one of the new target, which may have taken flows
    // before its announcement; its next packet will show.
    if (entry.state == FlowState::kOpen && entry.opened < held_before) {
      ResetFlow(it->first, entry, "target-replaced");
      Erase(it);
    }
    it = next;
  }
}

}  // namespace sesamesaddle
