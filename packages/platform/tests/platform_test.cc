#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "core/time.h"
#include "memory_store.h"
#include "net/http_server.h"
#include "platform/http_store.h"

namespace sesamesaddle {
namespace {

TEST_CASE("Of two creates of a key one wins") {
  MemoryStore store;
  CHECK(store.Create("k", "a", kNoLease).has_value());
  CHECK(store.Create("k", "b", kNoLease).error() == StoreError::kExists);
  CHECK(store.Read("k")->value == "a");
}

TEST_CASE("A write needs the version it was made for") {
  MemoryStore store;
  const KeyVersion first = *store.Create("k", "a", kNoLease);
  CHECK(store.CompareAndSwap("k", first, "b").has_value());
  CHECK(store.CompareAndSwap("k", first, "c").error() ==
        StoreError::kVersionMismatch);
  CHECK(store.CompareAndSwap("x", first, "c").error() == StoreError::kNotFound);
}

TEST_CASE("Keys go with their lease, also while its holder is paused") {
  MemoryStore store;
  const TimePoint start(std::chrono::seconds(10));
  const LeaseId lease = store.GrantLease(start, std::chrono::seconds(5));
  REQUIRE(store.Create("k", "a", lease).has_value());
  store.Expire(start + std::chrono::seconds(4));
  CHECK(store.RenewLease(start + std::chrono::seconds(4), lease).has_value());
  store.Expire(start + std::chrono::seconds(8));
  CHECK(store.Read("k").has_value());
  store.Expire(start + std::chrono::seconds(9));
  CHECK(store.Read("k").error() == StoreError::kNotFound);
  CHECK(store.RenewLease(start, lease).error() == StoreError::kLeaseExpired);
  CHECK(store.Create("k", "b", lease).error() == StoreError::kLeaseExpired);
}

TEST_CASE("A watch sees every write after its revision, and removals") {
  MemoryStore store;
  store.Create("p/a", "1", kNoLease);
  const int64_t seen = store.revision();
  store.Create("p/b", "2", kNoLease);
  store.Create("q", "3", kNoLease);
  store.Remove("p/a");
  const auto changes = store.ChangesAfter("p/", seen);
  REQUIRE(changes.items.size() == 2);
  CHECK(changes.items[0].key == "p/b");
  CHECK(changes.items[1].deleted);
}

TEST_CASE("Values over a megabyte are refused") {
  MemoryStore store;
  CHECK(store.Create("k", std::string(kMaxValueBytes + 1, 'x'), kNoLease)
            .error() == StoreError::kTooLarge);
}

/** Runs one call against a server that handles it as told. */
tl::expected<KeyVersion, StoreError> CreateAgainst(
    const HttpServer::Handler& handler) {
  const SteadyClock clock;
  EventLoop loop(clock);
  std::unique_ptr<HttpServer> server;
  Endpoint endpoint(INADDR_LOOPBACK, 21999);
  for (uint16_t port = 21500; handler && !server && port < 21999; ++port) {
    endpoint = Endpoint(INADDR_LOOPBACK, port);
    auto opened = HttpServer::Open(loop, endpoint, handler);
    if (opened) server = std::move(*opened);
  }
  HttpStore store(loop, endpoint, std::chrono::milliseconds(200));
  std::optional<tl::expected<KeyVersion, StoreError>> result;
  store.Create("k", "v", kNoLease, [&](auto received) {
    result = received;
    loop.Stop();
  });
  const auto limit = loop.After(std::chrono::seconds(20), [&] { loop.Stop(); });
  while (!result) loop.Run();
  return *result;
}

TEST_CASE("The HTTP store tells what is certain and what is not") {
  using Responder = std::shared_ptr<HttpResponder>;
  CHECK(CreateAgainst(nullptr).error() == StoreError::kUnavailable);
  CHECK(CreateAgainst([](const HttpRequest&, const Responder& responder) {
          responder->Close();
        }).error() == StoreError::kOutcomeUnknown);
  std::vector<Responder> held;
  CHECK(CreateAgainst([&](const HttpRequest&, const Responder& responder) {
          held.push_back(responder);  // Never answered.
        }).error() == StoreError::kOutcomeUnknown);
  const auto answer_with = [](int status, const std::string& body) {
    return CreateAgainst(
        [=](const HttpRequest& request, const Responder& responder) {
          HttpResponse response;
          const bool create = request.headers.count("if-none-match") != 0;
          response.status = create ? status : 500;
          response.body = body;
          responder->Send(response);
        });
  };
  CHECK(answer_with(200, "12") == KeyVersion(12));
  CHECK(answer_with(200, "?").error() == StoreError::kOutcomeUnknown);
  CHECK(answer_with(409, "").error() == StoreError::kExists);
  CHECK(answer_with(410, "").error() == StoreError::kLeaseExpired);
  CHECK(answer_with(503, "").error() == StoreError::kUnavailable);
}

}  // namespace
}  // namespace sesamesaddle
