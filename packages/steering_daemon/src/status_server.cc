#include "steering_daemon/status_server.h"

#include <utility>

#include "operator_api/command_endpoint.h"

namespace sesamesaddle {
namespace {

tl::expected<std::unique_ptr<HttpServer>, NetError> Serve(
    EventLoop& loop, const Endpoint& listen, StatusSources sources) {
  constexpr int kNotFoundStatus = 404;
  // Queries expose no more than the state dump, which needs no token either.
  const CommandEndpoint commands("", sources.commands);
  return HttpServer::Open(
      loop, listen,
      [commands, sources = std::move(sources)](
          const HttpRequest& request,
          const std::shared_ptr<HttpResponder>& responder) {
        if (request.path == kCommandPath) {
          commands.OnRequest(request, responder);
          return;
        }
        HttpResponse response;
        if (request.path == "/metrics") {
          response.body = sources.metrics();
        } else if (request.path == "/v1/state") {
          response.content_type = "application/json";
          response.body = sources.state();
        } else if (request.path == kReplicaPath && sources.replica) {
          response.content_type = "application/octet-stream";
          response.body = sources.replica();
        } else {
          response.status = kNotFoundStatus;
          response.body = "there is no such path\n";
        }
        responder->Send(response);
      });
}

}  // namespace

tl::expected<void, NetError> StatusServer::Open(
    EventLoop& loop, const SteeringSettings& settings, EventLog& log,
    const StatusSources& sources) {
  auto peers = Serve(
      loop, PeerEndpoint(settings, settings.ip, PeerPort::kReplica), sources);
  if (!peers) return tl::unexpected(peers.error());
  peer_server_ = std::move(*peers);
  if (settings.metrics_port == 0) return {};
  auto metrics =
      Serve(loop, Endpoint(settings.ip, settings.metrics_port), sources);
  if (metrics) {
    metrics_server_ = std::move(*metrics);
    return {};
  }
  LogLine(log, EventKind::kDependency, "daemon", "metrics-not-served")
      .Add("port", settings.metrics_port)
      .Add("reason", metrics.error().message);
  return {};
}

}  // namespace sesamesaddle
