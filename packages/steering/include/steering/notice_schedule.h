#ifndef SESAMESADDLE_STEERING_NOTICE_SCHEDULE_H_
#define SESAMESADDLE_STEERING_NOTICE_SCHEDULE_H_

#include <map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Determines when this balancer sends notices to which agents. It answers for
 * large fleets: an agent has to learn a change of the operators' settings from
 * any balancer, but not from each of them. Three balancers notify an agent
 * first, chosen without agreement by their rendezvous hashes; all others only
 * when a report shows that the agent still lacks the change. What a notice
 * contains is up to the caller.
 */
class NoticeSchedule {
 public:
  /**
   * Balancers that notify an agent first. One may be down and one not know the
   * change yet; a third one costs one more datagram.
   */
  static constexpr size_t kNotifiers = 3;
  /** Time between two notices of a series; an agent confirms within 10 ms. */
  static constexpr Duration kRepeatPeriod = std::chrono::milliseconds(500);
  /** Notices in a series that the agent does not confirm. */
  static constexpr int kMaxNotices = 5;
  /** Minimum time between two notices to an agent. */
  static constexpr Duration kMinInterval = std::chrono::milliseconds(200);
  /**
   * A balancer that is no notifier of the agent answers an outdated report only
   * if it has known the change for this long. Notifiers receive a change
   * within the batch delay of their watch of the store, 800 ms.
   */
  static constexpr Duration kNotifierHeadStart =
      std::chrono::milliseconds(1000);

  /**
   * Sets the balancers that the store lists. Each balancer has to be named by
   * the same address at all of them.
   */
  void SetBalancers(const Endpoint& self, std::vector<Endpoint> peers);
  /** Whether this balancer is one of those that notify the agent first. */
  bool IsNotifierOf(const Endpoint& agent) const;

  /**
   * Starts a series of notices if this balancer is a notifier of the agent.
   * Called when there is something new for the agent, and when its process may
   * have restarted.
   */
  void Begin(TimePoint now, const Endpoint& agent);
  /**
   * Schedules a notice, as the agent has shown that it lacks something.
   * @param known_since  when this balancer learned what the agent lacks
   */
  void OnOutdated(TimePoint now, const Endpoint& agent, TimePoint known_since);
  /** Ends the series: the agent has shown that it lacks nothing. */
  void OnConfirmed(const Endpoint& agent);
  /** Records a notice that was sent outside of a series. */
  void OnSent(TimePoint now, const Endpoint& agent);

  /**
   * Returns the agents that are due for a notice. The caller sends them one
   * each, or calls OnConfirmed for those that need none any more.
   */
  std::vector<Endpoint> TakeDue(TimePoint now);
  /** Whether TakeDue has nothing to do, now or later. */
  bool idle() const { return series_.empty(); }

 private:
  struct Series {
    int notices_left = 0;
    /** Only valid if notices are left. */
    TimePoint next{};
    /** No notice is sent before. */
    TimePoint earliest{};
  };

  Endpoint self_;
  std::vector<Endpoint> peers_;
  std::map<Endpoint, Series> series_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_NOTICE_SCHEDULE_H_
