#ifndef SESAMESADDLE_NET_HTTP_SERVER_H_
#define SESAMESADDLE_NET_HTTP_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "core/endpoint.h"
#include "core/time.h"
#include "net/event_loop.h"
#include "net/net_error.h"

namespace sesamesaddle {

/** Headers by lower-case name. */
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  std::string method;
  std::string path;   // Without the query string.
  std::string query;  // Without the question mark.
  HttpHeaders headers;
  std::string body;
  /**
   * Earliest time at which the client can have sent it, as a request follows
   * the response before it: that response, or the start of the connection. The
   * time of arrival says nothing, as a request may be held up on its way.
   */
  TimePoint sent_after{};
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
  HttpHeaders headers;
};

/**
 * Sends the response to one request, at once or later. Further responses are
 * ignored.
 */
class HttpResponder {
 public:
  /** @param on_response  called when a response is passed to the connection */
  explicit HttpResponder(
      h2o_req_t* request, std::function<void()> on_response = [] {})
      : request_(request), on_response_(std::move(on_response)) {}

  void Send(const HttpResponse& response);
  /** Returns whether the client has closed the connection; peeks the socket. */
  bool ClientGone() const;
  /** Closes the connection without a response, for failure tests. */
  void Close();
  /** Sends `bytes` of the body and closes the connection, for failure tests. */
  void SendTruncated(const HttpResponse& response, size_t bytes);
  /** Called when h2o frees the request; later calls have no effect. */
  void Detach() { request_ = nullptr; }

 private:
  h2o_req_t* request_;
  std::function<void()> on_response_;
};

/** An HTTP/1.1 server on the event loop. */
class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest& request,
                                     std::shared_ptr<HttpResponder> responder)>;

  /** h2o's context of a server; h2o passes a pointer to its first member. */
  struct Context {
    h2o_context_t super;
    HttpServer* server;
  };

  /** Returns the listening server, or why it could not listen. */
  static tl::expected<std::unique_ptr<HttpServer>, NetError> Open(
      EventLoop& loop, const Endpoint& local, Handler handler);

  HttpServer(EventLoop& loop, int fd, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Passes a request to the handler; called by h2o. */
  void Dispatch(h2o_req_t* request);

 private:
  /** A connection, and since when its client may send the next request. */
  struct Connection {
    HttpServer* server;
    h2o_socket_t* socket;
    TimePoint ready_since{};
  };

  static void OnAccept(h2o_socket_t* listener, const char* error);
  static void OnClose(void* connection);

  EventLoop& loop_;
  /** Removed by OnClose, which h2o calls for each connection. */
  std::map<h2o_socket_t*, std::shared_ptr<Connection>> connections_;
  Handler handler_;
  Context context_;
  h2o_accept_ctx_t accept_context_;
  h2o_socket_t* listener_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_HTTP_SERVER_H_
