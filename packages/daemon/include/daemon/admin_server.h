#ifndef SESAMESADDLE_DAEMON_ADMIN_SERVER_H_
#define SESAMESADDLE_DAEMON_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "admin_types.h"
#include "daemon/role.h"
#include "net/http_server.h"
#include "operator_api/command_endpoint.h"

namespace sesamesaddle {

/** Callbacks that supply the state of the process to the API. */
struct AdminSources {
  std::function<schema::StateDump()> dump;
  std::function<Counters()> counters;
  std::function<bool()> ready;
};

/**
 * The administration API: POST /v1/command, GET /v1/state, /metrics, /healthz
 * and /readyz. The first two require the bearer token if one is set.
 */
class AdminServer {
 public:
  /** Opens the HTTP server; returns an error if it cannot listen. */
  static tl::expected<std::unique_ptr<AdminServer>, NetError> Open(
      EventLoop& loop, const Endpoint& listen, std::string token,
      AdminSources sources, CommandExecutor& commands);

  AdminServer(std::string token, AdminSources sources,
              CommandExecutor& commands);

  /** Handles one request. Public for tests. */
  void OnRequest(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder);

 private:
  HttpResponse Metrics() const;

  CommandEndpoint commands_;
  AdminSources sources_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_ADMIN_SERVER_H_
