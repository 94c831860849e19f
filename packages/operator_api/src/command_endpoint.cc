#include "operator_api/command_endpoint.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/query.h"

namespace sesamesaddle {
namespace {

constexpr int kUnauthorizedStatus = 401;
constexpr int kMethodNotAllowedStatus = 405;
constexpr int kTooLargeStatus = 413;

Duration ParseWait(const std::string& text) {
  int64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return std::clamp<Duration>(std::chrono::milliseconds(ms), Duration::zero(),
                              CommandEndpoint::kMaxWait);
}

}  // namespace

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

void CommandEndpoint::OnRequest(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) const {
  if (request.method != "POST") {
    responder->Send(TextResponse(kMethodNotAllowedStatus, "use POST\n"));
    return;
  }
  if (!IsAuthorized(request)) {
    responder->Send(
        TextResponse(kUnauthorizedStatus, "a bearer token is needed\n"));
    return;
  }
  if (request.body.size() > kMaxCommandBytes) {
    responder->Send(TextResponse(kTooLargeStatus,
                                 "the command is longer than 4096 bytes\n"));
    return;
  }
  CommandOptions options;
  options.change_id = QueryValue(request.query, "change_id");
  options.author = QueryValue(request.query, "author");
  options.wait = ParseWait(QueryValue(request.query, "wait_ms"));
  executor_.Execute(request.body, options,
                    [request, responder](const schema::CommandReply& reply) {
                      responder->Send(JsonResponse(request, reply));
                    });
}

bool CommandEndpoint::IsAuthorized(const HttpRequest& request) const {
  if (token_.empty()) return true;
  const std::string expected = "Bearer " + token_;
  const auto header = request.headers.find("authorization");
  return header != request.headers.end() &&
         header->second.size() == expected.size() &&
         CRYPTO_memcmp(header->second.data(), expected.data(),
                       expected.size()) == 0;
}

}  // namespace sesamesaddle
