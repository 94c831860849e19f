#ifndef SESAMESADDLE_OPERATOR_API_COMMAND_ENDPOINT_H_
#define SESAMESADDLE_OPERATOR_API_COMMAND_ENDPOINT_H_

#include <memory>
#include <string>

#include "net/http_server.h"
#include "operator_api/command_executor.h"
#include "schema/codec.h"
#include "schema/readable_json.h"

namespace sesamesaddle {

/** HTTP path of the command endpoint. */
constexpr char kCommandPath[] = "/v1/command";
/** Media type of Thrift's JSON protocol, which the sesamesaddle client uses. */
constexpr char kThriftJsonType[] = "application/vnd.apache.thrift.json";

/** Returns a plain text response. */
HttpResponse TextResponse(int status, std::string body);

/** Encodes `message` as Thrift JSON if requested, else as readable JSON. */
template <typename T>
HttpResponse JsonResponse(const HttpRequest& request, const T& message) {
  const auto accept = request.headers.find("accept");
  HttpResponse response;
  if (accept != request.headers.end() && accept->second == kThriftJsonType) {
    response.content_type = kThriftJsonType;
    response.body = EncodeJson(message);
  } else {
    response.content_type = "application/json";
    response.body = EncodeReadableJson(message) + "\n";
  }
  return response;
}

/** Receives commands over HTTP; requires the bearer token if one is set. */
class CommandEndpoint {
 public:
  static constexpr size_t kMaxCommandBytes = 4096;
  static constexpr Duration kMaxWait = std::chrono::seconds(60);

  /** @param executor  must outlive the endpoint and all calls in flight */
  CommandEndpoint(std::string token, CommandExecutor& executor)
      : token_(std::move(token)), executor_(executor) {}

  /** Handles a request for kCommandPath. */
  void OnRequest(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder) const;
  /** Returns whether the request has the token or no token is set. */
  bool IsAuthorized(const HttpRequest& request) const;

 private:
  std::string token_;
  CommandExecutor& executor_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_OPERATOR_API_COMMAND_ENDPOINT_H_
