#ifndef SESAMESADDLE_STEERING_DAEMON_LOOP_LAG_REPORTER_H_
#define SESAMESADDLE_STEERING_DAEMON_LOOP_LAG_REPORTER_H_

#include <functional>
#include <string>

#include "core/event_log.h"
#include "net/event_loop.h"
#include "steering_daemon/metrics.h"

namespace sesamesaddle {

/**
 * Reports hold-ups of a process's event loop: a log line and an observation of
 * a histogram for each, and metrics of all of them.
 */
class LoopLagReporter {
 public:
  using FlowCount = std::function<size_t()>;

  /**
   * Becomes the lag observer of the loop until it is destroyed.
   * @param registry  gets the histogram loop_held_up_seconds
   * @param component  the part that the log lines name
   * @param flow_count  returns the number of flows that the process holds
   */
  LoopLagReporter(EventLoop& loop, EventLog& log,
                  prometheus::Registry& registry, std::string component,
                  FlowCount flow_count);
  ~LoopLagReporter() { loop_.SetLagObserver(nullptr); }
  LoopLagReporter(const LoopLagReporter&) = delete;
  LoopLagReporter& operator=(const LoopLagReporter&) = delete;

  void AddMetrics(MetricValues& values) const;

 private:
  void OnHeldUp(Duration held_up);

  EventLoop& loop_;
  EventLog& log_;
  std::string component_;
  FlowCount flow_count_;
  LatencyHistogram histogram_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_LOOP_LAG_REPORTER_H_
