#ifndef SESAMESADDLE_DAEMON_ADMIN_SERVER_H_
#define SESAMESADDLE_DAEMON_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "daemon/operator_commands.h"
#include "net/http_server.h"

namespace sesamesaddle {

/** What the API tells about the process around it. */
struct AdminSources {
  std::function<schema::StateDump()> dump;
  std::function<Counters()> counters;
  std::function<bool()> ready;
};

/**
 * The administration API: POST /v1/command, GET /v1/state, /metrics, /healthz
 * and /readyz. Commands need the bearer token if one is set.
 */
class AdminServer {
 public:
  static tl::expected<std::unique_ptr<AdminServer>, NetError> Open(
      EventLoop& loop, const Endpoint& listen, std::string token,
      AdminSources sources, OperatorCommands& commands);

  AdminServer(std::string token, AdminSources sources,
              OperatorCommands& commands);

  /** Answers one request; public for tests. */
  void OnRequest(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder);

 private:
  void OnCommand(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder);
  bool Authorized(const HttpRequest& request) const;
  HttpResponse Metrics() const;

  std::string token_;
  AdminSources sources_;
  OperatorCommands& commands_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_ADMIN_SERVER_H_
