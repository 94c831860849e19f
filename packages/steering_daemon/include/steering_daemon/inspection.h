#ifndef SESAMESADDLE_STEERING_DAEMON_INSPECTION_H_
#define SESAMESADDLE_STEERING_DAEMON_INSPECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "core/event_log.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/net_error.h"
#include "operator_api/command_executor.h"
#include "steering_daemon/steering_settings.h"

namespace sesamesaddle {

/** Path at which a balancer serves its replica to its peers. */
constexpr char kReplicaPath[] = "/v1/replica";

/** What an operator or a peer may ask a process over HTTP. */
struct InspectionSources {
  std::function<std::string()> metrics;
  std::function<std::string()> state;
  /** Empty where the process keeps no replica. */
  std::function<std::string()> replica;
  /** Answers the operators' queries. */
  CommandExecutor& commands;
};

/** Serves metrics, the state dump, commands and a balancer's replica. */
class Inspection {
 public:
  /**
   * Listens at the peers' port, and at the metrics port if one is set. A
   * metrics port that is taken is logged and done without.
   * @return nothing, or why the peers' port could not be opened
   */
  tl::expected<void, NetError> Open(EventLoop& loop,
                                    const SteeringSettings& settings,
                                    EventLog& log,
                                    const InspectionSources& sources);

 private:
  std::unique_ptr<HttpServer> peers_;
  std::unique_ptr<HttpServer> metrics_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_INSPECTION_H_
