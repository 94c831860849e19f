#include "order_judge.h"

#include <algorithm>

namespace sesamesaddle {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

int64_t ToMs(TimePoint time) {
  return time.time_since_epoch() / std::chrono::milliseconds(1);
}

}  // namespace

OrderJudge::OrderJudge(SteeringWorld& world) : world_(world) {
  world.on_request_run = [this](size_t target, const Flow& flow) {
    const std::string service = world_.ServiceOf(target);
    if (allowed_[flow.service].count(service) != 0) return;
    routed_wrongly_.push_back("ROUTE: target " + std::to_string(target) +
                              " of service " + service + " ran a request of " +
                              flow.service.ToString());
  };
}

void OrderJudge::OnTargetDisrupted(size_t target, Duration duration) {
  const TimePoint now = world_.scheduler.Now();
  targets_[target].push_back({now, now + duration});
}

void OrderJudge::OnBalancerDisrupted(Duration duration) {
  const TimePoint now = world_.scheduler.Now();
  balancers_.push_back({now, now + duration});
}

void OrderJudge::OnStoreDisrupted(Duration duration) {
  const TimePoint now = world_.scheduler.Now();
  store_.push_back({now, now + duration});
}

void OrderJudge::OnLinksFail() {
  if (links_failing_) return;
  links_failing_ = true;
  links_.push_back({world_.scheduler.Now(), TimePoint::max() - kStableWindow});
}

void OrderJudge::OnLinksRecover() {
  if (!links_failing_) return;
  links_failing_ = false;
  links_.back().end = world_.scheduler.Now();
}

void OrderJudge::OnColdStart(size_t target, Duration cold) {
  const TimePoint now = world_.scheduler.Now();
  cold_[target].push_back({now, now + cold});
}

bool OrderJudge::Excuses(const std::vector<Span>& disruptions, TimePoint at) {
  return std::any_of(disruptions.begin(), disruptions.end(),
                     [at](const Span& span) {
                       return span.begin <= at && at < span.end + kStableWindow;
                     });
}

bool OrderJudge::IsExcused(const Flow& flow, size_t target,
                           TimePoint at) const {
  if (dropped_.count(flow.service) != 0) return true;
  const auto disrupted = targets_.find(target);
  if (disrupted != targets_.end() && Excuses(disrupted->second, at)) {
    return true;
  }
  // Any balancer may have taken packets of the flow.
  return Excuses(balancers_, at) || Excuses(store_, at) || Excuses(links_, at);
}

int OrderJudge::MostInSecond(size_t target) const {
  const auto spans = cold_.find(target);
  if (spans == cold_.end()) return 0;
  const std::vector<TimePoint>& at = world_.targets[target]->accepted_at;
  const std::vector<TimePoint>& sent = world_.targets[target]->accepted_sent_at;
  const auto cold = [&spans](TimePoint time) {
    return std::any_of(spans->second.begin(), spans->second.end(),
                       [time](const Span& span) {
                         return span.begin <= time && time < span.end;
                       });
  };
  int most = 0;
  for (size_t first = 0; first < at.size(); ++first) {
    const TimePoint begin = sent[first];
    int count = 0;
    for (size_t i = first; i < at.size() && at[i] - begin < kSecond; ++i) {
      if (cold(at[i]) && sent[i] >= begin) ++count;
    }
    most = std::max(most, count);
  }
  return most;
}

void OrderJudge::JudgeFailback(std::vector<std::string>& broken) const {
  const SlowStart* limit = world_.routes.FindSlowStart(SteeringWorld::kService);
  if (limit == nullptr) return;
  const double bound =
      limit->flows_per_second * kSlowStartOver + kSlowStartSlack;
  for (size_t i = 0; i < world_.targets.size(); ++i) {
    const int most = MostInSecond(i);
    if (most <= bound) continue;
    broken.push_back("FAILBACK: cold target " + std::to_string(i) + " got " +
                     std::to_string(most) + " new flows in a second");
  }
}

std::vector<std::string> OrderJudge::Broken() const {
  std::vector<std::string> broken = routed_wrongly_;
  for (const WrongReset& reset : world_.wrong_resets) {
    if (IsExcused(reset.flow, reset.target, reset.at)) continue;
    broken.push_back("FLOW (a) at " + std::to_string(ToMs(reset.at)) + " ms, " +
                     reset.sender + ": " + reset.log_line);
  }
  for (const MisdirectedFlow& flow : world_.misdirected) {
    const TimePoint at = flow.since + SteeringWorld::kMisdirectedTime;
    if (IsExcused(flow.flow, flow.target, at)) continue;
    broken.push_back("FLOW (b): " + std::to_string(flow.packets) +
                     " packets of a flow of target " +
                     std::to_string(flow.target) + " went to others");
  }
  JudgeFailback(broken);
  return broken;
}

}  // namespace sesamesaddle
