#ifndef SESAMESADDLE_NET_HTTP_CLIENT_H_
#define SESAMESADDLE_NET_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "core/endpoint.h"
#include "net/event_loop.h"
#include "net/http_server.h"

namespace sesamesaddle {

/** Why a call has no complete response. */
enum class HttpFailure {
  kNotSent,            // No byte was sent; the server did not run the request.
  kNoResponse,         // Sent, but no response; the server may have run it.
  kTruncatedResponse,  // Ended before its stated length, or states none.
  kTooLarge,           // The response exceeds the client's limit.
};

/** The outcome of a call. */
struct HttpResult {
  bool complete = false;
  HttpFailure failure = HttpFailure::kNotSent;  // If not complete.
  HttpResponse response;
};

enum class ConnectionUse {
  kPooled,  // May reuse an idle connection, which the server may have closed.
  kFresh,   // Opens a new one: a failure to connect proves nothing was sent.
};

/** A call in progress; destroying it cancels the call. */
class HttpCall {
 public:
  virtual ~HttpCall() = default;
};

/** A client of one HTTP/1.1 server, with a pool of connections. */
class HttpClient {
 public:
  using Done = std::function<void(HttpResult result)>;

  HttpClient(EventLoop& loop, const Endpoint& server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Starts a call.
   * @param done  called once, unless the returned call is destroyed first; may
   *              destroy the call
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
