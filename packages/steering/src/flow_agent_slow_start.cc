// The part of FlowAgent that limits new flows to a target in slow start.

#include <algorithm>
#include <cmath>

#include "steering/flow_agent.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "agent";

}  // namespace

bool FlowAgent::HasRoom(TimePoint now) const {
  const int slots = target_monitor_.announcement().slots;
  if (limit_awaited_ && LacksLimit(now)) return false;
  return SynQueue::HasRoom(in_flight_ + expected_requests_, slots) &&
         slow_start_.HasRoom(now);
}

bool FlowAgent::LacksLimit(TimePoint now) const {
  if (slow_start_version_ > 0) return false;
  return !target_monitor_.known() || slow_start_.Cold(now);
}

void FlowAgent::RecordHeldSyn(TimePoint now, const Endpoint& balancer) {
  const bool awaits_limit = limit_awaited_ && LacksLimit(now);
  if (!awaits_limit && slow_start_.HasRoom(now)) return;
  ++counters_.held_slow_start;
  if (awaits_limit) {
    RecordUrgentContact(now, balancer);  // The balancer replies with the limit.
    return;
  }
  // A balancer that knows of room sends further SYNs, which would wait, too.
  if (balancers_[balancer].reported_room != 0) {
    RecordUrgentContact(now, balancer);
  }
}

bool FlowAgent::LearnColdTime(TimePoint now,
                              const TargetAnnouncement& announcement) {
  const bool was_cold = slow_start_.Cold(now) && !assumed_cold_since_;
  assumed_cold_since_.reset();
  slow_start_.SetColdUntil(
      now + std::chrono::milliseconds(announcement.slow_start_ms));
  // A former process may have delivered flows until this one started.
  slow_start_.SetRecordedSince(saw_target_start_ ? TimePoint::min() : started_);
  UpdateLimited(now);
  return slow_start_.Cold(now) && !was_cold;
}

void FlowAgent::LearnReplacement(TimePoint now,
                                 const TargetAnnouncement& announcement) {
  // Such a target gets all flows for a second before it is confirmed.
  if (!target_monitor_.MayBeReplacement(announcement)) return;
  const TimePoint until =
      now + std::chrono::milliseconds(announcement.slow_start_ms);
  slow_start_.SetColdUntil(std::max(slow_start_.cold_until(), until));
  UpdateLimited(now);
}

void FlowAgent::OnTargetRestarted(TimePoint now, std::string_view sign) {
  LogLine(log_, EventKind::kStateChange, kLogComponent, "target-restarted")
      .Add("target", target_monitor_.announcement().id)
      .Add("service", service())
      .Add("sign", sign)
      .Add("announced", now - target_monitor_.last_announcement());
  assumed_cold_since_ = now;
  AssumeColdTime();
  UpdateLimited(now);
}

void FlowAgent::OnZoneRestored(TimePoint now) {
  assumed_cold_since_ = now;
  AssumeColdTime();
  UpdateLimited(now);
}

void FlowAgent::AssumeColdTime() {
  if (!assumed_cold_since_) return;
  slow_start_.SetColdUntil(*assumed_cold_since_ + slow_start_duration_);
}

bool FlowAgent::ApplySlowStart(TimePoint now, const Endpoint& balancer,
                               const schema::AgentNotice& notice) {
  if (notice.__isset.service_name && notice.service_name != service()) {
    LogLine(log_, EventKind::kMalformedInput, kLogComponent, "notice-refused")
        .Add("balancer", balancer)
        .Add("service", notice.service_name)
        .Add("own_service", service());
    return false;
  }
  const int64_t version = notice.configuration_version;
  const bool has_limit = notice.__isset.slow_start;
  const schema::SlowStartLimit& limit = notice.slow_start;
  if (has_limit && (limit.duration_ms <= 0 || !(limit.flows_per_second > 0) ||
                    !std::isfinite(limit.flows_per_second))) {
    LogLine(log_, EventKind::kMalformedInput, kLogComponent, "notice-refused")
        .Add("balancer", balancer)
        .Add("slow_start_ms", limit.duration_ms)
        .Add("flows_per_second", limit.flows_per_second)
        .Add("config", version);
    return false;
  }
  if (version < slow_start_version_) return true;
  slow_start_version_ = version;
  if (has_limit) {
    slow_start_duration_ = std::chrono::milliseconds(limit.duration_ms);
    slow_start_.SetLimit(limit.flows_per_second);
    AssumeColdTime();
  } else {
    slow_start_.ClearLimit();
  }
  UpdateLimited(now);
  DispatchQueue(now);
  return true;
}

void FlowAgent::UpdateLimited(TimePoint now) {
  const std::optional<size_t> limit =
      slow_start_.Cold(now) ? slow_start_.limit() : std::nullopt;
  if (limit == limited_to_) return;
  limited_to_ = limit;
  LogLine(log_, EventKind::kStateChange, kLogComponent,
          limit ? "target-cold" : "target-warm")
      .Add("target", target_monitor_.announcement().id)
      .Add("service", service())
      .Add("limit", slow_start_.limit().value_or(0))
      .Add("config", slow_start_version_)
      .Add("remaining",
           std::max(Duration::zero(), slow_start_.cold_until() - now))
      .Add("held", counters_.held_slow_start);
  ReportToAll();
}

}  // namespace sesamesaddle
