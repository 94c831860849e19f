#include "daemon/log.h"

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

}  // namespace

bool IsLogLevel(const std::string& level) { return Levels().count(level) != 0; }

void StartLog(const std::string& level) {
  el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::Format,
                             "%datetime %level %msg");
  el::Loggers::reconfigureAllLoggers(configurations);
  el::Loggers::setLoggingLevel(Levels().at(level));
}

}  // namespace sesamesaddle
