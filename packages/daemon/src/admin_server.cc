#include "daemon/admin_server.h"

#include <utility>

#include "steering_daemon/metrics.h"

namespace sesamesaddle {
namespace {

constexpr int kUnauthorizedStatus = 401;
constexpr int kNotFoundStatus = 404;
constexpr int kMethodNotAllowedStatus = 405;
constexpr int kUnavailableStatus = 503;

}  // namespace

tl::expected<std::unique_ptr<AdminServer>, NetError> AdminServer::Open(
    EventLoop& loop, const Endpoint& listen, std::string token,
    AdminSources sources, CommandExecutor& commands) {
  auto admin = std::make_unique<AdminServer>(std::move(token),
                                             std::move(sources), commands);
  auto server = HttpServer::Open(
      loop, listen,
      [raw = admin.get()](const HttpRequest& request,
                          std::shared_ptr<HttpResponder> responder) {
        raw->OnRequest(request, responder);
      });
  if (!server) return tl::unexpected(server.error());
  admin->server_ = std::move(*server);
  return admin;
}

AdminServer::AdminServer(std::string token, AdminSources sources,
                         CommandExecutor& commands)
    : commands_(std::move(token), commands), sources_(std::move(sources)) {}

void AdminServer::OnRequest(const HttpRequest& request,
                            const std::shared_ptr<HttpResponder>& responder) {
  if (request.path == kCommandPath) {
    commands_.OnRequest(request, responder);
    return;
  }
  if (request.method != "GET") {
    responder->Send(TextResponse(kMethodNotAllowedStatus, "use GET\n"));
  } else if (request.path == "/v1/state") {
    if (!commands_.IsAuthorized(request)) {
      responder->Send(
          TextResponse(kUnauthorizedStatus, "a bearer token is needed\n"));
      return;
    }
    responder->Send(JsonResponse(request, sources_.dump()));
  } else if (request.path == "/metrics") {
    responder->Send(Metrics());
  } else if (request.path == "/healthz") {
    responder->Send(TextResponse(200, "ok\n"));
  } else if (request.path == "/readyz") {
    responder->Send(sources_.ready()
                        ? TextResponse(200, "ready\n")
                        : TextResponse(kUnavailableStatus, "not ready\n"));
  } else {
    responder->Send(TextResponse(kNotFoundStatus, "there is no such path\n"));
  }
}

HttpResponse AdminServer::Metrics() const {
  return TextResponse(200, FormatMetrics(sources_.counters(), nullptr));
}

}  // namespace sesamesaddle
