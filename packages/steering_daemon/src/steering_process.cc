#include "steering_daemon/steering_process.h"

namespace sesamesaddle {

std::string DirectoryKeys::OfTarget(const Endpoint& agent) {
  return kTargetPrefix + agent.ToString();
}

std::string DirectoryKeys::OfBalancer(const Endpoint& control) {
  return kBalancerPrefix + control.ToString();
}

tl::expected<std::unique_ptr<HttpServer>, NetError> OpenInspection(
    EventLoop& loop, const Endpoint& listen, InspectionSources sources) {
  constexpr int kNotFoundStatus = 404;
  return HttpServer::Open(
      loop, listen,
      [sources = std::move(sources)](
          const HttpRequest& request,
          const std::shared_ptr<HttpResponder>& responder) {
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

std::unique_ptr<HttpServer> OpenMetrics(EventLoop& loop,
                                        const SteeringSettings& settings,
                                        EventLog& log,
                                        const InspectionSources& sources) {
  if (settings.metrics_port == 0) return nullptr;
  auto server = OpenInspection(
      loop, Endpoint(settings.ip, settings.metrics_port), sources);
  if (server) return std::move(*server);
  LogLine(log, EventKind::kDependency, "daemon", "metrics-not-served")
      .Add("port", settings.metrics_port)
      .Add("reason", server.error().message);
  return nullptr;
}

}  // namespace sesamesaddle
