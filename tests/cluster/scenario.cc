#include "scenario.h"

#include <algorithm>

namespace sesamesaddle {

Scenario::Scenario(const ClusterOptions& options, size_t agents,
                   size_t balancers)
    : cluster_(std::make_unique<VirtualCluster>(options)) {
  for (size_t i = 0; i < balancers; ++i) cluster_->AddBalancer();
  for (size_t i = 0; i < agents; ++i) {
    cluster_->AddAgent("order-" + std::to_string(i), kSlots);
  }
  cluster_->RunFor(std::chrono::seconds(3));
  cluster_->AddService("ordering", kService, "order-*");
  // Waits for the end of slow start and for a stable member table.
  cluster_->RunFor(std::chrono::seconds(12));
}

void Scenario::AddCallers(size_t count, size_t feeds) {
  for (size_t i = 0; i < count; ++i) {
    VirtualCaller& caller = cluster_->AddCaller(kService);
    if (i < feeds) caller.StartFeed(cluster_->now(), "feed");
  }
}

void Scenario::Load(Duration duration, double rate, double order_share) {
  const TimePoint end = cluster_->now() + duration;
  SeededRandom& random = cluster_->random();
  while (cluster_->now() < end) {
    constexpr Duration kSlice = std::chrono::milliseconds(5);
    const double expected = rate * 0.005;
    constexpr uint64_t kScale = 1000000;
    const auto chance = static_cast<uint64_t>(expected * kScale);
    uint64_t due = chance / kScale;
    if (random.Below(kScale) < chance % kScale) ++due;
    for (uint64_t i = 0; i < due; ++i) {
      auto& callers = cluster_->callers();
      const bool hot =
          static_cast<double>(random.Below(kScale)) < hot_share * kScale;
      const size_t range = hot ? (callers.size() + 9) / 10 : callers.size();
      VirtualCaller& caller = *callers[random.Below(range)];
      if (!caller.idle()) continue;
      const bool order =
          static_cast<double>(random.Below(kScale)) < order_share * kScale;
      caller.Start(cluster_->now(),
                   order ? coap::Code::kPost : coap::Code::kGet,
                   std::to_string(next_order_++));
    }
    cluster_->RunFor(kSlice);
  }
}

void Scenario::Finish() {
  // Covers all retransmissions of a message that is sent seven times.
  cluster_->RunUntilIdle(std::chrono::seconds(400));
}

int Scenario::DuplicateRuns() const {
  int duplicates = 0;
  for (const auto& [id, count] : cluster_->Runs()) {
    duplicates += static_cast<int>(count > 1);
  }
  return duplicates;
}

int Scenario::MisreportedOutcomes() const {
  const auto runs = cluster_->Runs();
  int wrong = 0;
  for (const auto& caller : cluster_->callers()) {
    for (const CallerRequest& request : caller->requests()) {
      if (request.method != coap::Code::kPost) continue;
      const bool ran = runs.count(request.id) != 0;
      if (request.outcome == RequestOutcome::kAnswered && !ran) ++wrong;
      if (request.outcome == RequestOutcome::kNotRun && ran) ++wrong;
    }
  }
  return wrong;
}

int Scenario::Count(RequestOutcome outcome) const {
  int count = 0;
  for (const auto& caller : cluster_->callers()) {
    for (const CallerRequest& request : caller->requests()) {
      count += static_cast<int>(request.outcome == outcome);
    }
  }
  return count;
}

int Scenario::DisallowedOutcomes() const {
  return Count(RequestOutcome::kPending) + Count(RequestOutcome::kNoResponse) +
         Count(RequestOutcome::kError);
}

int Scenario::MismatchedResponses() const {
  int wrong = 0;
  for (const auto& caller : cluster_->callers()) {
    for (const CallerRequest& request : caller->requests()) {
      if (request.outcome != RequestOutcome::kAnswered) continue;
      const size_t id = request.body.rfind("id=");
      wrong += static_cast<int>(id == std::string::npos ||
                                request.body.substr(id + 3) != request.id);
    }
  }
  return wrong;
}

int Scenario::BrokenFlows(Duration feed_bound) const {
  int broken = 0;
  for (const auto& caller : cluster_->callers()) {
    const bool several_owners = cluster_->OwnersOf(caller->flow()).size() > 1;
    const bool feed_disrupted =
        caller->feed_registrations() > 1 ||
        (caller->feed_registrations() == 1 &&
         caller->LongestSilence(cluster_->now()) > feed_bound);
    const bool unanswered =
        std::any_of(caller->requests().begin(), caller->requests().end(),
                    [](const CallerRequest& request) {
                      return request.outcome == RequestOutcome::kNoResponse ||
                             request.outcome == RequestOutcome::kUnknown;
                    });
    broken += static_cast<int>(several_owners || feed_disrupted || unanswered);
  }
  return broken;
}

int64_t Scenario::FeedRegressions() const {
  int64_t regressions = 0;
  for (const auto& caller : cluster_->callers()) {
    int64_t last = 0;
    for (const auto& [at, version] : caller->notifications()) {
      regressions += static_cast<int64_t>(version < last);
      last = version;
    }
  }
  return regressions;
}

Duration Scenario::LongestSilence() const {
  Duration longest{};
  for (const auto& caller : cluster_->callers()) {
    if (caller->feed_registrations() == 0) continue;
    longest = std::max(longest, caller->LongestSilence(cluster_->now()));
  }
  return longest;
}

double Scenario::Imbalance() const {
  double sum = 0;
  double most = 0;
  for (size_t i = 0; i < cluster_->agent_count(); ++i) {
    const auto before = work_before_.find(i);
    const auto work = static_cast<double>(
        cluster_->target(i).completed -
        (before == work_before_.end() ? 0 : before->second));
    sum += work;
    most = std::max(most, work);
  }
  return sum == 0 ? 0
                  : most * static_cast<double>(cluster_->agent_count()) / sum;
}

void Scenario::ResetWorkBaseline() {
  for (size_t i = 0; i < cluster_->agent_count(); ++i) {
    work_before_[i] = cluster_->target(i).completed;
  }
}

Duration Scenario::Percentile(double percent) const {
  std::vector<Duration> times;
  for (const auto& caller : cluster_->callers()) {
    for (const CallerRequest& request : caller->requests()) {
      if (request.outcome == RequestOutcome::kAnswered) {
        times.push_back(request.ended - request.started);
      }
    }
  }
  if (times.empty()) return Duration::zero();
  const auto rank = static_cast<ptrdiff_t>(
      percent / 100 * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), times.begin() + rank, times.end());
  return times[static_cast<size_t>(rank)];
}

}  // namespace sesamesaddle
