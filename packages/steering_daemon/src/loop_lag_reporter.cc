#include "steering_daemon/loop_lag_reporter.h"

#include <utility>

namespace sesamesaddle {

LoopLagReporter::LoopLagReporter(EventLoop& loop, EventLog& log,
                                 prometheus::Registry& registry,
                                 std::string component, FlowCount flow_count)
    : loop_(loop),
      log_(log),
      component_(std::move(component)),
      flow_count_(std::move(flow_count)),
      histogram_(registry, "loop_held_up_seconds",
                 "Hold-ups of the event loop, from 50 ms") {
  loop_.SetLagObserver([this](Duration held_up) { OnHeldUp(held_up); });
}

void LoopLagReporter::OnHeldUp(Duration held_up) {
  histogram_.Observe(held_up);
  // Each lasts 50 ms or longer, so at most 20 lines are written in a second.
  LogLine(log_, EventKind::kProcess, component_, "loop-held-up")
      .Add("held_up", held_up)
      .Add("flows", flow_count_());
}

void LoopLagReporter::AddMetrics(MetricValues& values) const {
  constexpr Duration kMillisecond = std::chrono::milliseconds(1);
  const LoopLag& lag = loop_.lag();
  values["loop_hold_ups_total"] = lag.count();
  values["loop_held_up_ms_total"] = lag.total() / kMillisecond;
  values["loop_longest_hold_up_ms"] = lag.longest() / kMillisecond;
}

}  // namespace sesamesaddle
