#ifndef SESAMESADDLE_STEERING_MISSING_ENTRY_SCHEDULE_H_
#define SESAMESADDLE_STEERING_MISSING_ENTRY_SCHEDULE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Determines when this balancer notifies which agents that the store has lost
 * their entries. An agent does not detect that by itself, as its lease may live
 * on. The notices to an agent end when its entry is back or the agent is
 * dropped; most missing entries are of agents that have ended.
 */
class MissingEntrySchedule {
 public:
  /** Time after the first notice to an agent; doubled after each one. */
  static constexpr Duration kFirstRepeatPeriod = std::chrono::milliseconds(500);
  static constexpr Duration kMaxRepeatPeriod = std::chrono::seconds(4);
  /**
   * A balancer that is no notifier of the agent waits for this time. A notifier
   * receives a removal within the batch delay of its watch, 800 ms, so that
   * most entries are back by then.
   */
  static constexpr Duration kNotifierHeadStart =
      std::chrono::milliseconds(1000);
  /** Maximum number of notices to all agents within a second. */
  static constexpr size_t kMaxNoticesPerSecond = 100;

  /**
   * Starts the notices to an agent whose entry was removed.
   * @param is_notifier  whether this balancer is one of those that notify the
   *                     agent first
   */
  void OnRemoved(TimePoint now, const Endpoint& agent, bool is_notifier);
  /**
   * Starts the notices to an agent that reports although this balancer has no
   * entry of it, unless they have begun.
   */
  void OnUnlistedReport(TimePoint now, const Endpoint& agent) {
    series_.try_emplace(agent, Series{now, kFirstRepeatPeriod});
  }
  /**
   * Ends the notices to an agent: its entry is back, or it is gone. Does
   * nothing if there are none.
   */
  void OnResolved(const Endpoint& agent) { series_.erase(agent); }
  /**
   * Returns the agents that are due for a notice, the longest due first. The
   * caller sends them one each, or calls OnResolved.
   */
  std::vector<Endpoint> TakeDue(TimePoint now);
  /** Whether TakeDue has nothing to do, now or later. */
  bool idle() const { return series_.empty(); }

 private:
  struct Series {
    TimePoint next{};
    Duration period = kFirstRepeatPeriod;
  };

  std::map<Endpoint, Series> series_;
  /** Begin of the second for which notices are counted. */
  TimePoint window_begin_{};
  size_t sent_in_window_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_MISSING_ENTRY_SCHEDULE_H_
