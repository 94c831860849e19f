#include "net/http_server.h"

#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>

namespace sesamesaddle {
namespace {

constexpr size_t kMaxRequestBodyBytes = 2 << 20;

std::string ToString(const h2o_iovec_t& text) { return {text.base, text.len}; }

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

HttpRequest ReadRequest(const h2o_req_t& raw) {
  HttpRequest request;
  request.method = ToString(raw.method);
  const std::string path = ToString(raw.path);
  const size_t mark = path.find('?');
  request.path = path.substr(0, mark);
  if (mark != std::string::npos) request.query = path.substr(mark + 1);
  for (size_t i = 0; i < raw.headers.size; ++i) {
    const h2o_header_t& header = raw.headers.entries[i];
    request.headers[LowerCase(ToString(*header.name))] = ToString(header.value);
  }
  if (raw.entity.base != nullptr) request.body = ToString(raw.entity);
  return request;
}

void DetachResponder(void* memory) {
  auto* responder = static_cast<std::shared_ptr<HttpResponder>*>(memory);
  (*responder)->Detach();
  responder->~shared_ptr();
}

int OnRequest(h2o_handler_t* /*self*/, h2o_req_t* request) {
  reinterpret_cast<HttpServer::Context*>(request->conn->ctx)
      ->server->Dispatch(request);
  return 0;
}

/**
 * h2o's configuration, the same for all servers of the process. h2o builds
 * tables of MIME types for each one, which took a quarter of the instructions
 * of a balancer's start while each server had its own.
 */
struct SharedConfiguration {
  SharedConfiguration() {
    h2o_config_init(&global);
    global.max_request_entity_size = kMaxRequestBodyBytes;
    h2o_hostconf_t* host = h2o_config_register_host(
        &global, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    h2o_create_handler(path, sizeof(h2o_handler_t))->on_req = OnRequest;
  }

  h2o_globalconf_t global;
};

h2o_globalconf_t& GlobalConfiguration() {
  static SharedConfiguration configuration;
  return configuration.global;
}

void FillResponseHead(h2o_req_t* request, const HttpResponse& response) {
  request->res.status = response.status;
  request->res.reason = "-";
  request->res.content_length = response.body.size();
  h2o_add_header_by_str(
      &request->pool, &request->res.headers, H2O_STRLIT("content-type"), 1,
      nullptr, response.content_type.data(), response.content_type.size());
  for (const auto& [name, value] : response.headers) {
    const h2o_iovec_t copy =
        h2o_strdup(&request->pool, value.data(), value.size());
    const h2o_iovec_t key =
        h2o_strdup(&request->pool, name.data(), name.size());
    h2o_add_header_by_str(&request->pool, &request->res.headers, key.base,
                          key.len, 1, nullptr, copy.base, copy.len);
  }
}

}  // namespace

void HttpResponder::Send(const HttpResponse& response) {
  if (request_ == nullptr) return;
  h2o_req_t* request = request_;
  request_ = nullptr;
  on_response_();
  HttpResponse copy = response;
  const h2o_iovec_t type = h2o_strdup(&request->pool, copy.content_type.data(),
                                      copy.content_type.size());
  copy.content_type.clear();
  FillResponseHead(request, copy);
  request->res.headers.entries[0].value = type;
  h2o_send_inline(request, response.body.data(), response.body.size());
}

bool HttpResponder::ClientGone() const {
  if (request_ == nullptr) return true;
  h2o_socket_t* socket = request_->conn->callbacks->get_socket(request_->conn);
  char byte = 0;
  const ssize_t size =
      recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpResponder::Close() {
  if (request_ == nullptr) return;
  h2o_socket_t* socket = request_->conn->callbacks->get_socket(request_->conn);
  shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
}

void HttpResponder::SendTruncated(const HttpResponse& response, size_t bytes) {
  if (request_ == nullptr) return;
  h2o_socket_t* socket = request_->conn->callbacks->get_socket(request_->conn);
  const int fd = h2o_socket_get_fd(socket);
  std::string head =
      "HTTP/1.1 " + std::to_string(response.status) +
      " -\r\ncontent-length: " + std::to_string(response.body.size()) +
      "\r\n\r\n";
  head.append(response.body, 0, bytes);
  [[maybe_unused]] const ssize_t sent =
      send(fd, head.data(), head.size(), MSG_NOSIGNAL);
  Close();
}

tl::expected<std::unique_ptr<HttpServer>, NetError> HttpServer::Open(
    EventLoop& loop, const Endpoint& local, Handler handler) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int reuse = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  const sockaddr_in address = local.ToSockaddr();
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, SOMAXCONN) != 0) {
    const std::string reason = strerror(errno);
    close(fd);
    return tl::unexpected(
        NetError{"listen TCP " + local.ToString() + ": " + reason});
  }
  return std::make_unique<HttpServer>(loop, fd, std::move(handler));
}

HttpServer::HttpServer(EventLoop& loop, int fd, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {
  h2o_globalconf_t& configuration = GlobalConfiguration();
  context_.server = this;
  h2o_context_init(&context_.super, loop.h2o_loop(), &configuration);
  accept_context_ = {};
  accept_context_.ctx = &context_.super;
  accept_context_.hosts = configuration.hosts;
  listener_ =
      h2o_evloop_socket_create(loop.h2o_loop(), fd, H2O_SOCKET_FLAG_DONT_READ);
  listener_->data = this;
  h2o_socket_read_start(listener_, OnAccept);
}

HttpServer::~HttpServer() {
  // The connections outlive the server, as h2o owns them.
  for (const auto& [socket, connection] : connections_) {
    socket->on_close = {nullptr, nullptr};
  }
  h2o_socket_close(listener_);
}

void HttpServer::Dispatch(h2o_req_t* request) {
  h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
  const auto connection = connections_.find(socket);
  HttpRequest read = ReadRequest(*request);
  std::function<void()> on_response = [] {};
  if (connection != connections_.end()) {
    read.sent_after = connection->second->ready_since;
    on_response = [&loop = loop_, state = connection->second] {
      state->ready_since = loop.Now();
    };
  }
  auto responder =
      std::make_shared<HttpResponder>(request, std::move(on_response));
  void* slot = h2o_mem_alloc_shared(
      &request->pool, sizeof(std::shared_ptr<HttpResponder>), DetachResponder);
  new (slot) std::shared_ptr<HttpResponder>(responder);
  handler_(read, std::move(responder));
}

void HttpServer::OnAccept(h2o_socket_t* listener, const char* error) {
  if (error != nullptr) return;
  auto* self = static_cast<HttpServer*>(listener->data);
  while (h2o_socket_t* socket = h2o_evloop_socket_accept(listener)) {
    auto& connection = self->connections_[socket];
    connection = std::make_shared<Connection>(
        Connection{self, socket, self->loop_.Now()});
    socket->on_close = {OnClose, connection.get()};
    h2o_accept(&self->accept_context_, socket);
  }
}

void HttpServer::OnClose(void* connection) {
  auto* closed = static_cast<Connection*>(connection);
  closed->server->connections_.erase(closed->socket);
}

}  // namespace sesamesaddle
