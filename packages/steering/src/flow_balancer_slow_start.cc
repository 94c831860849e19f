// The part of FlowBalancer that sends the limits of slow starts to agents.

#include <algorithm>

#include "admission/slow_start_limiter.h"
#include "steering/flow_balancer.h"

namespace sesamesaddle {
namespace {

// Time between further notices to an agent that has not shown the limit after
// a whole series. A balancer that starts late takes warm targets for cold ones,
// as their entries keep the slow start of their first announcement.
constexpr Duration kUnconfirmedNoticePeriod = std::chrono::seconds(2);

/** Returns the flows per second that an agent allows. */
int AppliedLimit(const SlowStart& limit) {
  return static_cast<int>(
      SlowStartLimiter::FlowsPerWindow(limit.flows_per_second));
}

}  // namespace

void FlowBalancer::OnLimitsChanged(
    TimePoint now, const std::map<std::string, SlowStart>& before) {
  std::set<std::string> changed;
  for (const auto& [service, limit] : before) {
    const SlowStart* current = routes_.FindSlowStart(service);
    if (current == nullptr || !(*current == limit)) changed.insert(service);
  }
  for (const auto& [service, limit] : routes_.slow_starts) {
    if (before.count(service) == 0) changed.insert(service);
  }
  for (const std::string& service : changed) {
    limit_changes_[service] = {routes_.version, now};
    for (AgentView* agent : directory_.OfService(service)) {
      agent->limit_notices = 0;
      notices_.Begin(now, agent->agent);
    }
  }
}

bool FlowBalancer::LacksLimit(TimePoint now, const AgentView& agent) const {
  const SlowStart* limit = routes_.FindSlowStart(agent.record.service_name);
  if (agent.lacks_limit && limit != nullptr) return true;
  // An agent whose target is warm by now never shows room.
  if (agent.limit_notices >= NoticeSchedule::kMaxNotices &&
      now - agent.last_limit_notice < kUnconfirmedNoticePeriod) {
    return false;
  }
  const auto& room = agent.slow_start_room;
  if (limit == nullptr) return room.has_value();
  if (!room && InSlowStart(now, agent)) return true;
  if (room && *room > AppliedLimit(*limit)) return true;
  // Nothing shows which limit the agent would apply, so each notifier sends it
  // once: an agent has to know it when its target starts again, before the
  // target's new entry is known here.
  const auto change = limit_changes_.find(agent.record.service_name);
  return change != limit_changes_.end() &&
         agent.limit_sent < change->second.version &&
         notices_.IsNotifierOf(agent.agent);
}

TimePoint FlowBalancer::LimitKnownSince(TimePoint now,
                                        const AgentView& agent) const {
  // The agent has been sent it by nobody: no notifier has a head start.
  if (agent.lacks_limit) return now - NoticeSchedule::kNotifierHeadStart;
  const auto change = limit_changes_.find(agent.record.service_name);
  if (change == limit_changes_.end()) return agent.slow_start_since;
  return std::max(agent.slow_start_since, change->second.since);
}

void FlowBalancer::NotifyBeforeSyn(TimePoint now, AgentView& agent) {
  const SlowStart* limit = routes_.FindSlowStart(agent.record.service_name);
  if (limit == nullptr || !InSlowStart(now, agent)) return;
  if (agent.limit_sent >= limit_changes_[agent.record.service_name].version) {
    return;
  }
  SendNotice(now, agent);
  notices_.OnSent(now, agent.agent);
  // Valid until the first report, which follows the SYN within 50 ms.
  if (!agent.slow_start_room) agent.slow_start_room = AppliedLimit(*limit);
}

void FlowBalancer::SendNotice(TimePoint now, AgentView& agent) {
  ++counters_.notices;
  ++agent.limit_notices;
  agent.last_limit_notice = now;
  agent.limit_sent = std::max<int64_t>(agent.limit_sent, routes_.version);
  output_.Notify(agent.agent, MakeNotice(agent));
}

}  // namespace sesamesaddle
