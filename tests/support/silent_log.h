#ifndef SESAMESADDLE_TESTS_SUPPORT_SILENT_LOG_H_
#define SESAMESADDLE_TESTS_SUPPORT_SILENT_LOG_H_

#include <string>

#include "core/event_log.h"

namespace sesamesaddle {

/** An event log that discards every event. */
class SilentLog : public EventLog {
 public:
  bool Admit(EventKind /*kind*/) override { return false; }
  void Write(EventKind /*kind*/, const std::string& /*line*/) override {}
  EventLogCounts counts() const override { return {}; }
};

/** An event log that keeps the last line of one kind. */
class LastLineLog : public EventLog {
 public:
  explicit LastLineLog(EventKind kind) : kind_(kind) {}

  bool Admit(EventKind kind) override { return kind == kind_; }
  void Write(EventKind /*kind*/, const std::string& line) override {
    last_line_ = line;
  }
  EventLogCounts counts() const override { return {}; }
  const std::string& last_line() const { return last_line_; }

 private:
  EventKind kind_;
  std::string last_line_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_SILENT_LOG_H_
