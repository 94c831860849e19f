#include "routing/load_view.h"

#include <algorithm>
#include <cmath>

namespace sesamesaddle {
namespace {

constexpr double kRateTimeConstantSeconds = 5.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LoadView::LoadView(const LoadViewOptions& options, RandomSource& random)
    : options_(options), random_(random) {}

void LoadView::OnReport(TimePoint now, const schema::LoadReport& report) {
  const auto [it, is_new] = loads_.try_emplace(MemberId(report.sender));
  AgentLoad& load = it->second;
  if (!is_new && now > load.reported_at) {
    const double elapsed = Seconds(now - load.reported_at);
    const double rate =
        static_cast<double>(report.completed - load.report.completed) / elapsed;
    const double weight = 1 - std::exp(-elapsed / kRateTimeConstantSeconds);
    load.completions_per_second +=
        weight * (rate - load.completions_per_second);
  }
  load.report = report;
  load.reported_at = now;
  load.requests_since_report = 0;
  load.flows_since_report = 0;
}

void LoadView::OnRequestSent(MemberId agent) {
  const auto it = loads_.find(agent);
  if (it != loads_.end()) ++it->second.requests_since_report;
}

void LoadView::OnFlowPlaced(MemberId agent) {
  const auto it = loads_.find(agent);
  if (it != loads_.end()) ++it->second.flows_since_report;
}

MemberId LoadView::ChooseForFlow(TimePoint now,
                                 const std::vector<MemberId>& candidates) {
  std::vector<MemberId> usable;
  for (const MemberId id : candidates) {
    if (Usable(now, id)) usable.push_back(id);
  }
  // Without any usable report, a random choice is better than a refusal.
  const auto& pool = usable.empty() ? candidates : usable;
  if (pool.empty()) return MemberId();
  const MemberId one = pool[random_.Below(pool.size())];
  const MemberId other = pool[random_.Below(pool.size())];
  return FlowScore(now, one) <= FlowScore(now, other) ? one : other;
}

MemberId LoadView::ChooseForRequest(TimePoint now,
                                    const std::vector<MemberId>& candidates) {
  std::vector<MemberId> free;
  for (const MemberId id : candidates) {
    if (Usable(now, id) && Utilization(now, id) < 1) free.push_back(id);
  }
  if (free.empty()) return MemberId();
  const MemberId one = free[random_.Below(free.size())];
  const MemberId other = free[random_.Below(free.size())];
  return RequestScore(now, one) <= RequestScore(now, other) ? one : other;
}

double LoadView::Utilization(TimePoint now, MemberId agent) const {
  const auto it = loads_.find(agent);
  if (it == loads_.end()) return 1;
  const AgentLoad& load = it->second;
  const int work =
      load.report.in_flight + load.report.queued + load.requests_since_report;
  return work / EffectiveSlots(load);
}

double LoadView::WorkPerSlot(TimePoint now, MemberId agent) const {
  const auto it = loads_.find(agent);
  if (it == loads_.end()) return 0;
  return it->second.completions_per_second / EffectiveSlots(it->second);
}

bool LoadView::Usable(TimePoint now, MemberId agent) const {
  const auto it = loads_.find(agent);
  return it != loads_.end() && it->second.report.accepting &&
         now - it->second.reported_at <= options_.max_age;
}

double LoadView::FlowScore(TimePoint now, MemberId agent) const {
  const auto it = loads_.find(agent);
  if (it == loads_.end()) return 0;
  const AgentLoad& load = it->second;
  const double flows = load.report.flows + load.flows_since_report;
  return flows / EffectiveSlots(load) + Utilization(now, agent);
}

double LoadView::RequestScore(TimePoint now, MemberId agent) const {
  return WorkPerSlot(now, agent) * (1 + Utilization(now, agent));
}

double LoadView::EffectiveSlots(const AgentLoad& load) const {
  constexpr double kInitialShare = 0.1;
  const double slots = std::max(1, load.report.slots);
  if (options_.slow_start <= Duration::zero()) return slots;
  const Duration age = std::chrono::milliseconds(load.report.uptime_ms);
  const double share = Seconds(age) / Seconds(options_.slow_start);
  return std::max(1.0, slots * std::clamp(share, kInitialShare, 1.0));
}

}  // namespace sesamesaddle
