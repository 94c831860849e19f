#include "placement/target_directory.h"

#include <algorithm>

namespace sesamesaddle {
namespace {

// Share of its slots that is assumed for a target during its slow start.
constexpr double kSlowStartShare = 0.6;
// Each answer moves the average delay by 1 / kAnswerDelayDivisor, so that an
// agent that comes back after seconds hardly changes it.
constexpr int kAnswerDelayDivisor = 8;
// The reported room of a slow start is for a sliding second. After that the
// balancer places one flow, which brings a new report.
constexpr Duration kRoomValidity = std::chrono::seconds(1);
constexpr int kRoomWithoutReport = 1;

CheckWidth WidthOf(bool reads_wide_check) {
  return reads_wide_check ? CheckWidth::kWide : CheckWidth::kNarrow;
}

}  // namespace

double WorkPerSlot(TimePoint now, const AgentView& view) {
  double slots = std::max(1, view.record.slots);
  if (InSlowStart(now, view)) slots *= kSlowStartShare;
  if (view.zone_restored != TimePoint()) {
    slots *= ZoneEvacuations::RestoredShare(now - view.zone_restored);
  }
  const int work =
      view.in_flight + view.opening + view.queued + view.placed_since_report;
  return work / slots;
}

bool InSlowStart(TimePoint now, const AgentView& view) {
  const auto slow_start = std::chrono::milliseconds(view.record.slow_start_ms);
  return view.slow_start_room || now - view.slow_start_since < slow_start;
}

bool HasSlowStartRoom(TimePoint now, const AgentView& view) {
  if (!view.slow_start_room) return true;
  const bool outdated = view.reported && now - view.last_report > kRoomValidity;
  const int room = outdated ? kRoomWithoutReport : *view.slow_start_room;
  return view.placed_since_report < room;
}

void TargetDirectory::Put(TimePoint now, const std::string& key,
                          const schema::TargetRecord& record,
                          StoreRevision revision) {
  const Endpoint agent = Endpoint::Unpack(record.agent);
  const auto [it, added] = agents_.try_emplace(agent);
  AgentView& view = it->second;
  if (!added && revision <= view.revision) return;
  const std::string service_before = view.record.service_name;
  const bool other_target = added || view.record.id != record.id ||
                            view.record.born_ms != record.born_ms;
  const bool target_ended =
      !other_target && view.record.state == schema::TargetState::kGone;
  if (other_target) {
    view = AgentView();
    view.listed_since = now;
  }
  // An entry that is written again after a lapse repeats the former value.
  if (other_target || record.slow_start_ms != view.record.slow_start_ms) {
    view.slow_start_since = now;
    view.slow_start_room.reset();
    view.limit_notices = 0;
  }
  // The agent's process may have restarted.
  view.limit_sent = 0;
  view.record = record;
  view.zone_restored = RestoredAt(record.zone);
  view.agent = agent;
  view.service = {ServiceHash(record.service_name),
                  WidthOf(record.reads_wide_check)};
  view.revision = revision;
  view.listed = true;
  unlisted_.erase(agent);
  ApplyStop(now, view, target_ended);
  view.contact = AgentContact();
  view.backoff_until = TimePoint();
  by_key_[key] = agent;
  if (!added && service_before == record.service_name) return;
  if (!added) {
    auto& others = by_service_[service_before];
    others.erase(std::remove(others.begin(), others.end(), &view),
                 others.end());
  }
  by_service_[record.service_name].push_back(&view);
}

void TargetDirectory::ApplyStop(TimePoint now, AgentView& view,
                                bool target_ended) {
  if (!view.record.agent_stopping) {
    view.restarting = false;
    // An agent writes its entry once it knows its target.
    view.target_unknown = false;
    return;
  }
  // The agent's next process reports before it knows the target, and the entry
  // of the stopped one may be delivered after that.
  if (view.target_unknown || target_ended) return;
  view.restarting = true;
  view.restarting_since = now;
}

std::optional<Endpoint> TargetDirectory::Remove(TimePoint now,
                                                const std::string& key,
                                                StoreRevision revision) {
  const auto it = by_key_.find(key);
  if (it == by_key_.end()) return std::nullopt;
  AgentView* view = Find(it->second);
  if (view == nullptr || !view->listed || revision <= view->revision) {
    return std::nullopt;
  }
  view->listed = false;
  view->unlisted_since = now;
  unlisted_.insert(view->agent);
  view->revision = revision;
  return view->agent;
}

AgentView* TargetDirectory::Find(const Endpoint& agent) {
  const auto it = agents_.find(agent);
  return it == agents_.end() ? nullptr : &it->second;
}

const std::vector<AgentView*>& TargetDirectory::OfService(
    const std::string& service) {
  static const std::vector<AgentView*> none;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? none : it->second;
}

std::vector<AgentView*> TargetDirectory::All() {
  std::vector<AgentView*> all;
  all.reserve(agents_.size());
  for (auto& [agent, view] : agents_) all.push_back(&view);
  return all;
}

std::vector<const AgentView*> TargetDirectory::All() const {
  std::vector<const AgentView*> all;
  all.reserve(agents_.size());
  for (const auto& [agent, view] : agents_) all.push_back(&view);
  return all;
}

AgentView* TargetDirectory::NextAfter(const Endpoint& agent) {
  if (agents_.empty()) return nullptr;
  const auto next = agents_.upper_bound(agent);
  return next == agents_.end() ? &agents_.begin()->second : &next->second;
}

void TargetDirectory::OnReport(TimePoint now,
                               const schema::AgentReport& report) {
  last_report_from_any_ = attention_.elapsed();
  AgentView* view = Find(Endpoint::Unpack(report.agent));
  if (view == nullptr) return;
  if (view->record.service_name != report.service_name) return;
  view->in_flight = report.waiting;
  view->opening = report.opening;
  view->flows = report.flows;
  view->response_time = Duration(report.response_us);
  view->placed_since_report = 0;
  view->queued = report.queued;
  view->last_report = now;
  view->reported = true;
  if (const auto delay = view->contact.OnAnswer(attention_.elapsed())) {
    RecordAnswerDelay(*delay);
  }
  view->restarting = report.restarting;
  if (report.restarting) view->restarting_since = now;
  view->target_unknown = report.state == schema::TargetState::kUnknown;
  view->slow_start_room = report.__isset.slow_start_room
                              ? std::make_optional<int>(report.slow_start_room)
                              : std::nullopt;
  view->lacks_limit = report.lacks_slow_start_limit;
  if (report.failing && !view->failing) {
    view->next_trial = now + kTrialPeriod;
  }
  view->failing = report.failing;
  // The agent may have been replaced by one of another version.
  view->service.width = WidthOf(report.reads_wide_check);
  if (report.silent) view->backoff_until = now + kSilentTargetBackoff;
  if (report.slots > 0) view->record.slots = report.slots;
  // An agent detects its target's state before the store has it.
  if (report.state != schema::TargetState::kUnknown) {
    view->record.state = report.state;
  }
}

void TargetDirectory::OnPacket(AgentView& view) {
  view.contact.OnAnswer(attention_.elapsed());
}

void TargetDirectory::RecordReportRequest(TimePoint now, AgentView& view) {
  view.contact.OnRequest(now, attention_.elapsed());
  awaited_.insert(view.agent);
}

std::vector<Endpoint> TargetDirectory::DueInstanceProbes(TimePoint now) {
  std::vector<Endpoint> due;
  const Duration attentive = attention_.elapsed();
  for (auto it = awaited_.begin(); it != awaited_.end();) {
    AgentView* view = Find(*it);
    if (view == nullptr || view->contact.unanswered() == 0) {
      it = awaited_.erase(it);
      continue;
    }
    if (view->contact.InstanceProbeDue(now, attentive)) due.push_back(*it);
    ++it;
  }
  return due;
}

void TargetDirectory::OnInstanceProbe(const Endpoint& agent) {
  AgentView* view = Find(agent);
  if (view != nullptr) view->contact.OnInstanceProbe(attention_.elapsed());
}

void TargetDirectory::OnInstanceAnswer(const Endpoint& agent,
                                       InstanceAnswer answer) {
  AgentView* view = Find(agent);
  if (view == nullptr) return;
  view->contact.OnInstanceAnswer(answer, attention_.elapsed());
}

std::vector<AgentView*> TargetDirectory::UnlistedToAsk(TimePoint now) {
  std::vector<AgentView*> due;
  for (const Endpoint& agent : unlisted_) {
    AgentView& view = agents_.at(agent);
    if (view.record.state == schema::TargetState::kGone) continue;
    const bool answered = view.contact.unanswered() == 0 && view.reported;
    if (answered && now - view.last_report < kUnlistedQueryPeriod) continue;
    if (view.contact.RequestDue(attention_.elapsed())) due.push_back(&view);
  }
  return due;
}

std::vector<Endpoint> TargetDirectory::UnlistedAgents() const {
  std::vector<Endpoint> agents;
  for (const Endpoint& agent : unlisted_) {
    const AgentView& view = agents_.at(agent);
    if (view.record.state != schema::TargetState::kGone) {
      agents.push_back(agent);
    }
  }
  return agents;
}

bool TargetDirectory::Silent(TimePoint now, const AgentView& view) const {
  return view.contact.Silent(now, attention_.elapsed(), last_report_from_any_);
}

void TargetDirectory::RecordAnswerDelay(Duration delay) {
  answer_delay_ += (delay - answer_delay_) / kAnswerDelayDivisor;
}

bool TargetDirectory::Unreachable(TimePoint now, const AgentView& view) const {
  return view.contact.Unreachable(now, attention_.elapsed(),
                                  last_report_from_any_, answer_delay_);
}

bool TargetDirectory::Restarting(TimePoint now, const AgentView& view) const {
  return view.restarting && now - view.restarting_since < longest_restart_;
}

std::optional<TargetEnd> TargetDirectory::EndOf(TimePoint now,
                                                const AgentView& view,
                                                bool store_answers) const {
  if (view.listed) return std::nullopt;
  if (view.record.state == schema::TargetState::kGone) {
    return TargetEnd::kReported;
  }
  const Duration attentive = attention_.elapsed();
  const Duration witness = store_answers ? attentive : last_report_from_any_;
  const bool runs_on = Restarting(now, view) && !view.target_unknown;
  if (!runs_on &&
      view.contact.Unreachable(now, attentive, witness, answer_delay_)) {
    return TargetEnd::kUnreachable;
  }
  if (view.contact.RefusedFor(attentive) >= longest_restart_) {
    return TargetEnd::kAbsent;
  }
  return std::nullopt;
}

bool TargetDirectory::Usable(TimePoint now, const AgentView& view) const {
  if (view.record.state != schema::TargetState::kReady) return false;
  if (InEvacuatedZone(view)) return false;
  if (view.restarting && now - view.restarting_since < kRestartTimeout) {
    return false;
  }
  if (now < view.backoff_until) return false;
  if (Silent(now, view)) return false;
  return view.listed ||
         (view.reported && now - view.last_report < kUnlistedGracePeriod);
}

void TargetDirectory::OnZoneRestored(const std::string& zone) {
  for (auto& [agent, view] : agents_) {
    if (view.record.zone == zone) view.zone_restored = RestoredAt(zone);
  }
}

TimePoint TargetDirectory::RestoredAt(const std::string& zone) const {
  const ZoneEvacuation* state = zones_.Find(zone);
  return state == nullptr || state->evacuated ? TimePoint() : state->since;
}

std::vector<DroppedTarget> TargetDirectory::Expire(TimePoint now,
                                                   bool store_current) {
  std::vector<DroppedTarget> dropped;
  if (!store_current) return dropped;
  for (const auto& [agent, view] : agents_) {
    const Duration unlisted = now - view.unlisted_since;
    if (view.listed || unlisted <= kUnlistedGracePeriod) continue;
    if (const auto end = EndOf(now, view, true)) {
      dropped.push_back({agent, *end, unlisted});
    }
  }
  if (dropped.empty()) return dropped;
  for (const DroppedTarget& target : dropped) {
    agents_.erase(target.agent);
    unlisted_.erase(target.agent);
  }
  for (auto it = by_key_.begin(); it != by_key_.end();) {
    it = agents_.count(it->second) == 0 ? by_key_.erase(it) : std::next(it);
  }
  RebuildServiceIndex();
  return dropped;
}

void TargetDirectory::RebuildServiceIndex() {
  by_service_.clear();
  for (auto& [agent, view] : agents_) {
    by_service_[view.record.service_name].push_back(&view);
  }
}

}  // namespace sesamesaddle
