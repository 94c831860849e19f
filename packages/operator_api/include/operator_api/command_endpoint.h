#ifndef SESAMESADDLE_OPERATOR_API_COMMAND_ENDPOINT_H_
#define SESAMESADDLE_OPERATOR_API_COMMAND_ENDPOINT_H_

#include <memory>
#include <string>

#include "net/http_server.h"
#include "operator_api/command_executor.h"
#include "schema/codec.h"
#include "schema/readable_json.h"

namespace sesamesaddle {

/** Path at which commands are taken. */
constexpr char kCommandPath[] = "/v1/command";
/** Media type of Thrift's own JSON, which sesamesaddle's client asks for. */
constexpr char kThriftJsonType[] = "application/vnd.apache.thrift.json";

/** @return a response of plain text. */
HttpResponse TextResponse(int status, std::string body);

/** @return the message as the request accepts it: readable or Thrift's JSON. */
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

/** Takes commands over HTTP, with a bearer token if one is set. */
class CommandEndpoint {
 public:
  static constexpr size_t kMaxCommandBytes = 4096;
  static constexpr Duration kMaxWait = std::chrono::seconds(60);

  /** @param executor  outlives the endpoint and calls under way */
  CommandEndpoint(std::string token, CommandExecutor& executor)
      : token_(std::move(token)), executor_(executor) {}

  /** Answers a request for kCommandPath. */
  void OnRequest(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder) const;
  /** Whether the request carries the token, or none is needed. */
  bool Authorized(const HttpRequest& request) const;

 private:
  std::string token_;
  CommandExecutor& executor_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_OPERATOR_API_COMMAND_ENDPOINT_H_
