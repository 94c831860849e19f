#ifndef SESAMESADDLE_STEERING_DAEMON_STATUS_SERVER_H_
#define SESAMESADDLE_STEERING_DAEMON_STATUS_SERVER_H_

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

/** Path of the HTTP request for a balancer's replica. */
constexpr char kReplicaPath[] = "/v1/replica";

/** Functions that produce the responses of a StatusServer. */
struct StatusSources {
  std::function<std::string()> metrics;
  std::function<std::string()> state;
  /** Empty if the process keeps no replica. */
  std::function<std::string()> replica;
  /** Executes the operators' queries. */
  CommandExecutor& commands;
};

/**
 * Serves metrics, the state dump, operators' commands and a balancer's replica
 * over HTTP.
 */
class StatusServer {
 public:
  /**
   * Listens on PeerPort::kReplica, and on the metrics port if one is set. A
   * failure to open the metrics port is logged and ignored.
   * @return nothing, or why PeerPort::kReplica could not be opened
   */
  tl::expected<void, NetError> Open(EventLoop& loop,
                                    const SteeringSettings& settings,
                                    EventLog& log,
                                    const StatusSources& sources);

 private:
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<HttpServer> metrics_server_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STATUS_SERVER_H_
