#ifndef SESAMESADDLE_CORE_EVENT_LOG_H_
#define SESAMESADDLE_CORE_EVENT_LOG_H_

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Category of a log line. Each kind has its own rate limit, so that a burst of
 * one kind does not suppress another.
 */
enum class EventKind : uint8_t {
  kProcess,         // Start, stop or reload of the process.
  kDependency,      // A dependency was lost or regained.
  kStateChange,     // A change of the known state of targets, peers, versions.
  kFlowPlaced,      // A new flow was sent to a target.
  kFlowOpened,      // A target accepted a new flow.
  kFlowRefused,     // A new flow was refused.
  kFlowLookup,      // A lookup of the target that holds a flow.
  kDigestRound,     // Queries that resolved many lookups together.
  kFlowReset,       // A flow was reset.
  kMalformedInput,  // Input that cannot be parsed as a packet or message.
  kCount,
};

/** Number of lines since the start of the process. */
struct EventLogCounts {
  int64_t written = 0;
  /** Suppressed by the rate limit of their kind. */
  int64_t rate_limited = 0;
  /** Discarded because the output would have blocked. */
  int64_t dropped = 0;
};

/** Rate-limited sink for log lines; never blocks. */
class EventLog {
 public:
  virtual ~EventLog() = default;

  /** @return whether the rate limit of the kind admits a line now. */
  virtual bool Admit(EventKind kind) = 0;
  /** Writes one line; Admit must have returned true for it. */
  virtual void Write(EventKind kind, const std::string& line) = 0;
  virtual EventLogCounts counts() const = 0;
};

/**
 * Builds a structured log line: the component, the event and key=value pairs.
 * The destructor writes the line. Nothing is formatted unless Admit returned
 * true.
 */
class LogLine {
 public:
  LogLine(EventLog& log, EventKind kind, std::string_view component,
          std::string_view event)
      : log_(log), kind_(kind) {
    if (!log.Admit(kind)) return;
    text_.emplace();
    *text_ << component << ": event=" << event;
  }
  ~LogLine() {
    if (text_) log_.Write(kind_, text_->str());
  }
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  template <typename T>
  LogLine& Add(std::string_view key, const T& value) {
    if (text_) *text_ << ' ' << key << '=' << value;
    return *this;
  }
  /** Quotes a value that is empty or holds a space, '=', '"' or newline. */
  LogLine& Add(std::string_view key, std::string_view value) {
    if (!text_) return *this;
    const bool needs_no_quotes =
        !value.empty() &&
        value.find_first_of(" \"=\n") == std::string_view::npos;
    *text_ << ' ' << key << '=';
    if (needs_no_quotes) {
      *text_ << value;
      return *this;
    }
    *text_ << '"';
    for (const char c : value) {
      const bool ends_value = c == '"' || c == '\n';
      *text_ << (ends_value ? '\'' : c);
    }
    *text_ << '"';
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
    if (text_) *text_ << ' ' << key << '=' << value.ToString();
    return *this;
  }
  /** Writes the flow in the same format in every process. */
  LogLine& Add(std::string_view key, const Flow& flow) {
    if (text_) {
      *text_ << ' ' << key << '=' << flow.caller.ToString() << '>'
             << flow.service.ToString();
    }
    return *this;
  }
  LogLine& Add(std::string_view key, Duration duration) {
    if (text_) {
      *text_ << ' ' << key << "_ms="
             << std::chrono::duration<double, std::milli>(duration).count();
    }
    return *this;
  }

 private:
  EventLog& log_;
  EventKind kind_;
  /** Empty if the line is not admitted; a stream is costly to construct. */
  std::optional<std::ostringstream> text_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_EVENT_LOG_H_
