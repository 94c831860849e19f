#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <memory>
#include <string>

#include "core/time.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "operator_api/command_endpoint.h"

namespace sesamesaddle {
namespace {

using trompeloeil::_;

class MockExecutor : public CommandExecutor {
 public:
  MAKE_MOCK3(Execute, void(const std::string&, const CommandOptions&, Done),
             override);
};

/** HTTP server on a loopback port that serves a CommandEndpoint. */
class TestServer {
 public:
  explicit TestServer(const std::string& token) : endpoint_(token, executor) {
    constexpr uint16_t kFirstPort = 23100;
    constexpr uint16_t kPorts = 200;
    for (uint16_t i = 0; i < kPorts && server_ == nullptr; ++i) {
      address_ =
          Endpoint(INADDR_LOOPBACK, static_cast<uint16_t>(kFirstPort + i));
      auto opened = HttpServer::Open(
          loop_, address_,
          [this](const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder) {
            endpoint_.OnRequest(request, responder);
          });
      if (opened) server_ = std::move(*opened);
    }
    REQUIRE(server_ != nullptr);
  }

  HttpResponse Post(const std::string& body, const std::string& query = "",
                    const HttpHeaders& headers = {},
                    const std::string& method = "POST") {
    HttpRequest request;
    request.method = method;
    request.path = kCommandPath;
    request.query = query;
    request.headers = headers;
    request.body = body;
    HttpClient client(loop_, address_);
    HttpResult result;
    const auto call =
        client.Call(request, ConnectionUse::kFresh, [&](HttpResult received) {
          result = std::move(received);
          loop_.Stop();
        });
    loop_.Run();
    REQUIRE(result.complete);
    return result.response;
  }

  MockExecutor executor;

 private:
  SteadyClock clock_;
  EventLoop loop_{clock_};
  CommandEndpoint endpoint_;
  Endpoint address_;
  std::unique_ptr<HttpServer> server_;
};

schema::CommandReply DoneReply() {
  schema::CommandReply reply;
  reply.outcome = schema::CommandOutcome::kDone;
  reply.message = "hello";
  return reply;
}

TEST_CASE("A command and its options reach the executor") {
  TestServer server("");
  REQUIRE_CALL(server.executor, Execute("show flows", _, _))
      .WITH(_2.author == "ann" && _2.change_id == "c1" &&
            _2.wait == std::chrono::milliseconds(250))
      .SIDE_EFFECT(_3(DoneReply()));
  const auto response =
      server.Post("show flows", "author=ann&change_id=c1&wait_ms=250");
  CHECK(response.status == 200);
  CHECK(response.body.find("hello") != std::string::npos);
}

TEST_CASE("The reply is Thrift JSON if the request accepts it") {
  TestServer server("");
  ALLOW_CALL(server.executor, Execute(_, _, _)).SIDE_EFFECT(_3(DoneReply()));
  const auto response = server.Post("help", "", {{"accept", kThriftJsonType}});
  const auto reply = DecodeJson<schema::CommandReply>(response.body);
  REQUIRE(reply.has_value());
  CHECK(reply->message == "hello");
}

TEST_CASE("A request without the correct token is refused") {
  TestServer server("secret");
  FORBID_CALL(server.executor, Execute(_, _, _));
  CHECK(server.Post("help").status == 401);
  CHECK(server.Post("help", "", {{"authorization", "Bearer secreT"}}).status ==
        401);
}

TEST_CASE("A request with the token is executed") {
  TestServer server("secret");
  REQUIRE_CALL(server.executor, Execute("help", _, _))
      .SIDE_EFFECT(_3(DoneReply()));
  CHECK(server.Post("help", "", {{"authorization", "Bearer secret"}}).status ==
        200);
}

TEST_CASE("Other methods and long commands are refused, waits are limited") {
  TestServer server("");
  CHECK(server.Post("", "", {}, "GET").status == 405);
  CHECK(server.Post(std::string(CommandEndpoint::kMaxCommandBytes + 1, 'x'))
            .status == 413);
  REQUIRE_CALL(server.executor, Execute(_, _, _))
      .WITH(_2.wait == CommandEndpoint::kMaxWait)
      .SIDE_EFFECT(_3(DoneReply()));
  CHECK(server.Post("help", "wait_ms=99999999").status == 200);
}

}  // namespace
}  // namespace sesamesaddle
