#ifndef SESAMESADDLE_STEERING_DAEMON_RATE_LIMITED_LOG_H_
#define SESAMESADDLE_STEERING_DAEMON_RATE_LIMITED_LOG_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "core/event_log.h"
#include "core/time.h"

namespace sesamesaddle {

/** Limits the lines per second of each event kind; counts suppressed lines. */
class RateLimitedLog : public EventLog {
 public:
  /** Returns false if the line could not be written without blocking. */
  using Sink = std::function<bool(const std::string& line)>;

  /** Lines per second and kind on single flows; a burst may exceed it. */
  static constexpr int kFlowLinesPerSecond = 25;
  /** Lines per second and kind on the process, its dependencies and state. */
  static constexpr int kProcessLinesPerSecond = 100;

  RateLimitedLog(const Clock& clock, Sink sink)
      : clock_(clock), sink_(std::move(sink)) {}

  bool Admit(EventKind kind) override;
  void Write(EventKind kind, const std::string& line) override;

  EventLogCounts counts() const override { return counts_; }

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint last_refill{};
    int64_t left_out = 0;
  };

  const Clock& clock_;
  Sink sink_;
  std::array<Bucket, static_cast<size_t>(EventKind::kCount)> buckets_{};
  EventLogCounts counts_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_RATE_LIMITED_LOG_H_
