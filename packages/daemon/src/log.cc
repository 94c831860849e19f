#include "daemon/log.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <map>

INITIALIZE_EASYLOGGINGPP

namespace sesamesaddle {
namespace {

const std::map<std::string, el::Level>& Levels() {
  static const std::map<std::string, el::Level> levels = {
      {"debug", el::Level::Debug},
      {"info", el::Level::Info},
      {"warning", el::Level::Warning},
      {"error", el::Level::Error},
  };
  return levels;
}

int64_t dropped_lines = 0;

/** Returns whether PIPE_BUF bytes can be written without blocking. */
bool CanWriteLine() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/** Writes log lines to standard output and drops those that would block. */
class NonBlockingOutput : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    std::string line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), true);
    if (line.size() > PIPE_BUF) {
      line.resize(PIPE_BUF - 1);
      line += '\n';
    }
    const bool written =
        CanWriteLine() && write(STDOUT_FILENO, line.data(), line.size()) ==
                              static_cast<ssize_t>(line.size());
    if (!written) ++dropped_lines;
  }
};

}  // namespace

bool WriteLogLine(const std::string& line) {
  const int64_t dropped = DroppedLogLines();
  LOG(INFO) << line;
  return DroppedLogLines() == dropped;
}

int64_t DroppedLogLines() { return dropped_lines; }

bool IsLogLevel(const std::string& level) { return Levels().count(level) != 0; }

void InitializeLogging(const std::string& level) {
  el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::Format,
                             "%datetime %level %msg");
  el::Loggers::reconfigureAllLoggers(configurations);
  el::Loggers::setLoggingLevel(Levels().at(level));
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<NonBlockingOutput>(
      "NonBlockingOutput");
}

}  // namespace sesamesaddle
