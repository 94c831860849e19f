#include "net/http_client.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {
namespace {

// Ends calls that are not cancelled; callers set shorter deadlines.
constexpr uint64_t kIoTimeoutMs = 120000;
constexpr uint64_t kIdleConnectionTimeoutMs = 30000;
constexpr size_t kMaxPooledConnections = 512;
constexpr size_t kMaxResponseBodyBytes = 4 << 20;

std::string ToString(const h2o_iovec_t& text) { return {text.base, text.len}; }

std::string FormatRequest(const HttpRequest& request, const std::string& host) {
  std::string text = request.method + " " + request.path;
  if (!request.query.empty()) text += "?" + request.query;
  text += " HTTP/1.1\r\nhost: " + host + "\r\n";
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "content-length: " + std::to_string(request.body.size()) + "\r\n\r\n";
  return text + request.body;
}

class Http1Call : public HttpCall {
 public:
  Http1Call(std::string request, HttpClient::Done done)
      : request_(std::move(request)), done_(std::move(done)) {}

  ~Http1Call() override {
    if (client_ != nullptr) h2o_http1client_cancel(client_);
  }

  h2o_http1client_t** client_slot() { return &client_; }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                           const char* error,
                                           h2o_iovec_t** buffers, size_t* count,
                                           int* method_is_head) {
    auto* self = static_cast<Http1Call*>(client->data);
    if (error != nullptr) {
      self->Fail(HttpFailure::kNotSent);
      return nullptr;
    }
    self->request_buffer_ =
        h2o_iovec_init(self->request_.data(), self->request_.size());
    *buffers = &self->request_buffer_;
    *count = 1;
    *method_is_head = 0;
    return OnResponseHead;
  }

 private:
  static h2o_http1client_body_cb OnResponseHead(h2o_http1client_t* client,
                                                const char* error,
                                                int /*minor*/, int status,
                                                h2o_iovec_t /*message*/,
                                                h2o_header_t* headers,
                                                size_t count, int /*rlen*/) {
    auto* self = static_cast<Http1Call*>(client->data);
    const bool ended = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !ended) {
      self->Fail(HttpFailure::kNoResponse);
      return nullptr;
    }
    self->ReadResponseHead(status, headers, count);
    if (ended) {
      self->Finish();
      return nullptr;
    }
    return OnResponseBody;
  }

  static int OnResponseBody(h2o_http1client_t* client, const char* error) {
    auto* self = static_cast<Http1Call*>(client->data);
    const bool ended = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !ended) {
      self->Fail(HttpFailure::kTruncatedResponse);
      return -1;
    }
    h2o_buffer_t*& input = client->sock->input;
    self->result_.response.body.append(input->bytes, input->size);
    h2o_buffer_consume(&input, input->size);
    if (self->result_.response.body.size() > kMaxResponseBodyBytes) {
      self->Fail(HttpFailure::kTooLarge);
      return -1;
    }
    if (ended) self->Finish();
    return 0;
  }

  void ReadResponseHead(int status, h2o_header_t* headers, size_t count) {
    result_.response.status = status;
    for (size_t i = 0; i < count; ++i) {
      std::string name = ToString(*headers[i].name);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      result_.response.headers[name] = ToString(headers[i].value);
    }
    const auto& head = result_.response.headers;
    // Without either header, a truncated response looks like a complete one.
    has_framing_header_ =
        head.count("content-length") + head.count("transfer-encoding") > 0;
    if (const auto type = head.find("content-type"); type != head.end()) {
      result_.response.content_type = type->second;
    }
  }

  void Finish() {
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    const int status = result_.response.status;
    if (!has_framing_header_ && status != kNoContent &&
        status != kNotModified) {
      Fail(HttpFailure::kTruncatedResponse);
      return;
    }
    result_.complete = true;
    InvokeCallback();
  }

  void Fail(HttpFailure failure) {
    result_.failure = failure;
    InvokeCallback();
  }

  void InvokeCallback() {
    client_ = nullptr;  // h2o frees it after the callback.
    const HttpClient::Done done = std::move(done_);
    done_ = nullptr;
    if (done) done(std::move(result_));  // May destroy this call.
  }

  std::string request_;
  h2o_iovec_t request_buffer_{};
  HttpClient::Done done_;
  HttpResult result_;
  bool has_framing_header_ = false;
  h2o_http1client_t* client_ = nullptr;
};

}  // namespace

HttpClient::HttpClient(EventLoop& loop, const Endpoint& server)
    : server_(server), host_(server.ToString()) {
  sockaddr_in address = server.ToSockaddr();
  h2o_socketpool_init_by_address(&pool_, reinterpret_cast<sockaddr*>(&address),
                                 sizeof(address), 0, kMaxPooledConnections);
  h2o_socketpool_set_timeout(&pool_, loop.h2o_loop(), kIdleConnectionTimeoutMs);
  h2o_timeout_init(loop.h2o_loop(), &io_timeout_, kIoTimeoutMs);
  context_ = {};
  context_.loop = loop.h2o_loop();
  context_.io_timeout = &io_timeout_;
}

HttpClient::~HttpClient() = default;  // Lives as long as the loop.

std::unique_ptr<HttpCall> HttpClient::Call(const HttpRequest& request,
                                           ConnectionUse use, Done done) {
  auto call = std::make_unique<Http1Call>(FormatRequest(request, host_),
                                          std::move(done));
  if (use == ConnectionUse::kPooled) {
    h2o_http1client_connect_with_pool(call->client_slot(), call.get(),
                                      &context_, &pool_, Http1Call::OnConnect);
  } else {
    const std::string ip = host_.substr(0, host_.rfind(':'));
    h2o_http1client_connect(call->client_slot(), call.get(), &context_,
                            h2o_iovec_init(ip.data(), ip.size()),
                            server_.port(), 0, Http1Call::OnConnect);
  }
  return call;
}

}  // namespace sesamesaddle
