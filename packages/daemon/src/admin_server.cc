#include "daemon/admin_server.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/query.h"
#include "schema/codec.h"
#include "schema/readable_json.h"
#include "steering_daemon/metrics.h"

namespace sesamesaddle {
namespace {

constexpr int kUnauthorizedStatus = 401;
constexpr int kNotFoundStatus = 404;
constexpr int kMethodStatus = 405;
constexpr int kUnavailableStatus = 503;
constexpr size_t kMaxCommandBytes = 4096;
constexpr int64_t kMaxWaitMs = 60000;
constexpr char kThriftJson[] = "application/vnd.apache.thrift.json";

HttpResponse Text(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

template <typename T>
HttpResponse Json(const HttpRequest& request, const T& message) {
  const auto accept = request.headers.find("accept");
  HttpResponse response;
  if (accept != request.headers.end() && accept->second == kThriftJson) {
    response.content_type = kThriftJson;
    response.body = EncodeJson(message);
  } else {
    response.content_type = "application/json";
    response.body = EncodeReadableJson(message) + "\n";
  }
  return response;
}

int64_t ParseWait(const std::string& text) {
  int64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return std::clamp<int64_t>(ms, 0, kMaxWaitMs);
}

}  // namespace

tl::expected<std::unique_ptr<AdminServer>, NetError> AdminServer::Open(
    EventLoop& loop, const Endpoint& listen, std::string token,
    AdminSources sources, OperatorCommands& commands) {
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
                         OperatorCommands& commands)
    : token_(std::move(token)),
      sources_(std::move(sources)),
      commands_(commands) {}

void AdminServer::OnRequest(const HttpRequest& request,
                            const std::shared_ptr<HttpResponder>& responder) {
  if (request.path == "/v1/command") {
    OnCommand(request, responder);
    return;
  }
  if (request.method != "GET") {
    responder->Send(Text(kMethodStatus, "use GET\n"));
  } else if (request.path == "/v1/state") {
    if (!Authorized(request)) {
      responder->Send(Text(kUnauthorizedStatus, "a bearer token is needed\n"));
      return;
    }
    responder->Send(Json(request, sources_.dump()));
  } else if (request.path == "/metrics") {
    responder->Send(Metrics());
  } else if (request.path == "/healthz") {
    responder->Send(Text(200, "ok\n"));
  } else if (request.path == "/readyz") {
    responder->Send(sources_.ready() ? Text(200, "ready\n")
                                     : Text(kUnavailableStatus, "not ready\n"));
  } else {
    responder->Send(Text(kNotFoundStatus, "there is no such path\n"));
  }
}

void AdminServer::OnCommand(const HttpRequest& request,
                            const std::shared_ptr<HttpResponder>& responder) {
  if (request.method != "POST") {
    responder->Send(Text(kMethodStatus, "use POST\n"));
    return;
  }
  if (!Authorized(request)) {
    responder->Send(Text(kUnauthorizedStatus, "a bearer token is needed\n"));
    return;
  }
  if (request.body.size() > kMaxCommandBytes) {
    responder->Send(Text(413, "the command is longer than 4096 bytes\n"));
    return;
  }
  CommandOptions options;
  options.change_id = QueryValue(request.query, "change_id");
  options.author = QueryValue(request.query, "author");
  options.wait = std::chrono::milliseconds(
      ParseWait(QueryValue(request.query, "wait_ms")));
  commands_.Execute(request.body, options,
                    [request, responder](const schema::CommandReply& reply) {
                      responder->Send(Json(request, reply));
                    });
}

bool AdminServer::Authorized(const HttpRequest& request) const {
  if (token_.empty()) return true;
  const std::string expected = "Bearer " + token_;
  const auto header = request.headers.find("authorization");
  return header != request.headers.end() &&
         header->second.size() == expected.size() &&
         CRYPTO_memcmp(header->second.data(), expected.data(),
                       expected.size()) == 0;
}

HttpResponse AdminServer::Metrics() const {
  return Text(200, FormatMetrics(sources_.counters(), nullptr));
}

}  // namespace sesamesaddle
