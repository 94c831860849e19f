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

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_SILENT_LOG_H_
