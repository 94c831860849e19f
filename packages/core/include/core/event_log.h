#ifndef SESAMESADDLE_CORE_EVENT_LOG_H_
#define SESAMESADDLE_CORE_EVENT_LOG_H_

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * What a log line is about. Each kind has a rate limit of its own, so that many
 * lines of one kind do not hide another.
 */
enum class EventKind : uint8_t {
  kProcess,     // Start, stop, reload.
  kDependency,  // A dependency was lost or regained.
  kBelief,      // What the process believes of targets, peers, versions.
  kPlaced,      // A new flow was sent to a target.
  kOpened,      // A target holds a new flow.
  kRefused,     // A new flow was not taken.
  kMoved,       // A flow of unknown owner was looked up.
  kReset,       // A flow was reset.
  kMalformed,   // Bytes that are no packet or message.
  kCount,
};

/** Lines since the start of the process. */
struct EventLogCounts {
  int64_t written = 0;
  /** Over the rate of their kind. */
  int64_t left_out = 0;
  /** Not taken by the output at once. */
  int64_t dropped = 0;
};

/** Takes log lines; never blocks. */
class EventLog {
 public:
  virtual ~EventLog() = default;

  /** @return whether a line of that kind may be written now. */
  virtual bool Admit(EventKind kind) = 0;
  /** Writes one line that Admit allowed. */
  virtual void Write(EventKind kind, const std::string& line) = 0;
  virtual EventLogCounts counts() const = 0;
};

/**
 * One structured line: a fixed prefix for the part, the event and key=value
 * pairs. Nothing is formatted unless the line is admitted.
 */
class LogLine {
 public:
  LogLine(EventLog& log, EventKind kind, std::string_view part,
          std::string_view event)
      : log_(log), kind_(kind), admitted_(log.Admit(kind)) {
    if (admitted_) text_ << part << ": event=" << event;
  }
  ~LogLine() {
    if (admitted_) log_.Write(kind_, text_.str());
  }
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  template <typename T>
  LogLine& Add(std::string_view key, const T& value) {
    if (admitted_) text_ << ' ' << key << '=' << value;
    return *this;
  }
  /** A text with spaces is quoted. */
  LogLine& Add(std::string_view key, std::string_view value) {
    if (!admitted_) return *this;
    const bool plain = !value.empty() &&
                       value.find_first_of(" \"=\n") == std::string_view::npos;
    text_ << ' ' << key << '=';
    if (plain) {
      text_ << value;
      return *this;
    }
    text_ << '"';
    for (const char c : value) {
      const bool breaks = c == '"' || c == '\n';
      text_ << (breaks ? '\'' : c);
    }
    text_ << '"';
    return *this;
  }
  LogLine& Add(std::string_view key, const std::string& value) {
    const std::string_view text = value;
    return Add(key, text);
  }
  LogLine& Add(std::string_view key, const char* value) {
    const std::string_view text = value;
    return Add(key, text);
  }
  LogLine& Add(std::string_view key, const Endpoint& value) {
    if (admitted_) text_ << ' ' << key << '=' << value.ToString();
    return *this;
  }
  /** Names the flow in the same way in every process. */
  LogLine& Add(std::string_view key, const Flow& flow) {
    if (admitted_) {
      text_ << ' ' << key << '=' << flow.caller.ToString() << '>'
            << flow.service.ToString();
    }
    return *this;
  }
  LogLine& Add(std::string_view key, Duration duration) {
    if (admitted_) {
      text_ << ' ' << key << "_ms="
            << std::chrono::duration<double, std::milli>(duration).count();
    }
    return *this;
  }

 private:
  EventLog& log_;
  EventKind kind_;
  bool admitted_;
  std::ostringstream text_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_EVENT_LOG_H_
