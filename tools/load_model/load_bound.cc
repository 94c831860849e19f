#include <algorithm>
#include <optional>
#include <queue>

#include "load_model.h"

namespace sesamesaddle {
namespace {

/** A slot of a target, ordered by the time at which it is free. */
struct Slot {
  Duration free_at{};
  size_t target = 0;
  bool operator>(const Slot& other) const { return free_at > other.free_at; }
};

class OmniscientScheduler {
 public:
  OmniscientScheduler(const LoadScenario& scenario, uint64_t seed)
      : scenario_(scenario), requests_(GenerateLoad(scenario, seed)) {
    for (size_t target = 0; target < scenario.targets; ++target) {
      for (int i = 0; i < scenario.slots; ++i) slots_.push({{}, target});
    }
  }

  LoadResult Serve() {
    size_t next = 0;
    while (next < requests_.size() || !waiting_.empty()) {
      Slot slot = slots_.top();
      if (InOutage(slot.free_at)) {
        slots_.pop();
        slot.free_at = scenario_.outage_at + scenario_.outage_length;
        slots_.push(slot);
        continue;
      }
      while (next < requests_.size() && requests_[next].sent <= slot.free_at) {
        waiting_.push_back(next++);
      }
      const auto chosen = Choose(slot);
      slots_.pop();
      if (!chosen) {
        // Nothing can be served: the slot waits for the next request.
        waiting_.clear();
        if (next == requests_.size()) break;
        slot.free_at = std::max(slot.free_at, requests_[next].sent);
        slots_.push(slot);
        continue;
      }
      Run(slot, *chosen);
    }
    LoadResult result;
    for (size_t i = 0; i < requests_.size(); ++i) {
      const bool answered = answered_.count(i) != 0;
      result.Add(scenario_, requests_[i], answered,
                 answered ? answered_.at(i) : Duration::zero());
    }
    return result;
  }

 private:
  bool InOutage(Duration at) const {
    return at >= scenario_.outage_at &&
           at < scenario_.outage_at + scenario_.outage_length;
  }

  Duration EndOn(const Slot& slot, size_t request) const {
    const double factor = SlownessAt(scenario_, slot.target, slot.free_at);
    return slot.free_at + std::chrono::duration_cast<Duration>(
                              factor * requests_[request].service_time);
  }

  /** Value per service time; at most kLateValue of it if it would be late. */
  double Density(const Slot& slot, size_t request) const {
    const LoadRequest& candidate = requests_[request];
    const RequestClass& kind = scenario_.classes[candidate.kind];
    const Duration took = EndOn(slot, request) - candidate.sent;
    if (took > kind.deadline) return 0;
    const double value =
        took <= kind.target_latency ? kind.value : kLateValue * kind.value;
    return value / std::max<double>(
                       1, static_cast<double>(candidate.service_time.count()));
  }

  std::optional<size_t> Choose(const Slot& slot) {
    std::optional<size_t> best;
    double best_density = 0;
    std::vector<size_t> kept;
    for (const size_t request : waiting_) {
      const double density = Density(slot, request);
      if (density <= 0) continue;
      kept.push_back(request);
      if (density <= best_density) continue;
      best = request;
      best_density = density;
    }
    waiting_ = std::move(kept);
    return best;
  }

  void Run(Slot slot, size_t request) {
    waiting_.erase(std::find(waiting_.begin(), waiting_.end(), request));
    const Duration end = EndOn(slot, request);
    const bool cut_off = scenario_.outage_length > Duration::zero() &&
                         slot.free_at < scenario_.outage_at &&
                         end > scenario_.outage_at;
    if (!cut_off) answered_[request] = end - requests_[request].sent;
    slot.free_at = cut_off ? scenario_.outage_at : end;
    slots_.push(slot);
  }

  const LoadScenario& scenario_;
  std::vector<LoadRequest> requests_;
  std::priority_queue<Slot, std::vector<Slot>, std::greater<>> slots_;
  /** Requests that have arrived and not been started. */
  std::vector<size_t> waiting_;
  /** Times to the answer of the requests that were served. */
  std::map<size_t, Duration> answered_;
};

}  // namespace

LoadResult BoundOfLoad(const LoadScenario& scenario, uint64_t seed) {
  return OmniscientScheduler(scenario, seed).Serve();
}

}  // namespace sesamesaddle
