#ifndef SESAMESADDLE_NET_HTTP_CLIENT_H_
#define SESAMESADDLE_NET_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "core/endpoint.h"
#include "net/event_loop.h"
#include "net/http_server.h"

namespace sesamesaddle {

/** How far a call got that has no complete response. */
enum class HttpFailure {
  kNotSent,     // No byte of the request left; the server did not take it.
  kNoResponse,  // Sent, but no answer came; the server may have taken it.
  kTruncatedResponse,  // The answer ended before its stated length.
  kTooLarge,           // The answer is larger than the client takes.
};

/** What a call ended with. */
struct HttpResult {
  bool complete = false;
  HttpFailure failure = HttpFailure::kNotSent;  // If not complete.
  HttpResponse response;
};

enum class ConnectionUse {
  kPooled,  // An idle connection may be used; it can turn out to be closed.
  kFresh,   // A new one, so that a failure to connect proves nothing was sent.
};

/** A call in progress; destroying it cancels the call at the server. */
class HttpCall {
 public:
  virtual ~HttpCall() = default;
};

/** Calls one HTTP/1.1 server over kept connections. */
class HttpClient {
 public:
  using Done = std::function<void(HttpResult result)>;

  HttpClient(EventLoop& loop, const Endpoint& server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Starts a call.
   * @param done  called once, unless the returned call is destroyed first; it
   *              may destroy the call.
   */
  [[nodiscard]] std::unique_ptr<HttpCall> Call(const HttpRequest& request,
                                               ConnectionUse use, Done done);

 private:
  Endpoint server_;
  std::string host_;
  h2o_socketpool_t pool_;
  h2o_timeout_t io_timeout_;
  h2o_http1client_ctx_t context_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_HTTP_CLIENT_H_
