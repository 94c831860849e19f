// Stand-in for the platform's key-value service. It injects faults by
// POST /control?mode=ok|down|slow|lose-replies|forget|copy|restore[&ms=N]:
//   down          calls are not executed and get no response
//   slow          calls are delayed by N ms
//   lose-replies  calls are executed, but get no response
//   forget        compacts the change history; the mode stays as it was
//   copy          keeps a copy of the data; the mode stays as it was
//   restore       replaces the data by that copy and starts the next era; what
//                 the operators wrote since is written again after N ms

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "core/text.h"
#include "core/time.h"
#include "memory_store.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/query.h"
#include "platform/base64.h"
#include "platform/json_response.h"

namespace sesamesaddle {
namespace {

enum class Mode { kOk, kDown, kSlow, kLoseReplies };

using Json = nlohmann::json;

constexpr char kEraHeader[] = "Store-Era";
// Keys that only the operators write.
constexpr char kOperatorPrefix[] = "op/";
constexpr std::string_view kRenewLeasePath = "/v1/kv-keep/";
constexpr std::string_view kEndLeasePath = "/v1/kv-lease-end/";
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;

Json ItemJson(const schema::KeyValue& item) {
  if (item.deleted) {
    return {{"key", item.key}, {"revision", item.version}, {"removed", true}};
  }
  return {{"key", item.key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.version}};
}

Json ItemsJson(const std::vector<schema::KeyValue>& items) {
  Json list = Json::array();
  for (const auto& item : items) list.push_back(ItemJson(item));
  return list;
}

/** Calls served per second; calls above the limit get status 429. */
struct RateLimits {
  int writes_per_second = 400;
  int reads_per_second = 2000;
};

class PlatformStandIn {
 public:
  PlatformStandIn(EventLoop& loop, const Endpoint& listen, RateLimits limits)
      : loop_(loop), limits_(limits) {
    auto server =
        HttpServer::Open(loop, listen,
                         [this](const HttpRequest& request,
                                std::shared_ptr<HttpResponder> responder) {
                           OnRequest(request, std::move(responder));
                         });
    if (!server) {
      fprintf(stderr, "platform: %s\n", server.error().message.c_str());
      exit(1);
    }
    server_ = std::move(*server);
    timer_ = loop.Every(std::chrono::milliseconds(20), [this] {
      store_.Expire(loop_.Now());
      RespondToWatches();
    });
  }

 private:
  struct Watch {
    std::string prefix;
    int64_t after_revision;
    TimePoint deadline;
    std::shared_ptr<HttpResponder> responder;
  };

  void OnRequest(const HttpRequest& request,
                 std::shared_ptr<HttpResponder> responder) {
    if (request.path == "/control") {
      OnControl(request);
      responder->Send({});
      return;
    }
    if (request.path == "/calls") {
      HttpResponse response;
      response.body = std::to_string(calls_) + "\n";
      responder->Send(response);
      return;
    }
    ++calls_;
    if (!AdmitCall(request)) {
      Send(*responder, JsonResponse(kTooManyRequests, Json::object()));
      return;
    }
    switch (mode_) {
      case Mode::kDown:
        unanswered_.push_back(std::move(responder));
        return;
      case Mode::kSlow:
        loop_.Schedule(slow_delay_, [this, request, responder] {
          HandleCall(request, responder);
        });
        return;
      case Mode::kLoseReplies:
        HandleCall(request, std::make_shared<HttpResponder>(nullptr));
        unanswered_.push_back(std::move(responder));
        return;
      case Mode::kOk:
        HandleCall(request, responder);
        return;
    }
  }

  /** Counts a call against the limits; a renewal counts as 0.1 reads. */
  bool AdmitCall(const HttpRequest& request) {
    constexpr Duration kSecond = std::chrono::seconds(1);
    const TimePoint now = loop_.Now();
    if (now - second_start_ >= kSecond) {
      second_start_ = now;
      writes_in_second_ = 0;
      reads_in_second_ = 0;
    }
    if (HasPrefix(request.path, kRenewLeasePath)) {
      reads_in_second_ += 0.1;
    } else if (request.method == "GET") {
      reads_in_second_ += 1;
    } else {
      writes_in_second_ += 1;
    }
    return writes_in_second_ <= limits_.writes_per_second &&
           reads_in_second_ <= limits_.reads_per_second;
  }

  void OnControl(const HttpRequest& request) {
    const std::string mode = QueryValue(request.query, "mode");
    const std::string ms = QueryValue(request.query, "ms");
    if (!ms.empty()) slow_delay_ = std::chrono::milliseconds(std::stoi(ms));
    if (mode == "ok") mode_ = Mode::kOk;
    if (mode == "down") mode_ = Mode::kDown;
    if (mode == "slow") mode_ = Mode::kSlow;
    if (mode == "lose-replies") mode_ = Mode::kLoseReplies;
    if (mode == "forget") store_.Compact();
    if (mode == "copy") copy_ = store_;
    if (mode == "restore") Restore();
  }

  void Restore() {
    const auto operators = store_.List(kOperatorPrefix).items;
    store_.Restore(copy_);
    for (const Watch& watch : watches_) watch.responder->Close();
    watches_.clear();
    loop_.Schedule(slow_delay_, [this, operators] {
      for (const schema::KeyValue& item : operators) WriteAgain(item);
    });
  }

  /** Writes an operators' key unless they have written it since. */
  void WriteAgain(const schema::KeyValue& item) {
    const auto present = store_.Read(item.key);
    const auto copied = copy_.Read(item.key);
    if (!present) {
      store_.Create(item.key, item.value, kNoLease);
    } else if (copied && present->version == copied->version) {
      store_.CompareAndSwap(item.key, KeyVersion(present->version), item.value);
    }
  }

  /** Sends an answer of the current era. */
  void Send(HttpResponder& responder, HttpResponse response) {
    response.headers[kEraHeader] = std::to_string(store_.era().value());
    responder.Send(response);
  }

  void HandleCall(const HttpRequest& request,
                  const std::shared_ptr<HttpResponder>& responder) {
    if (request.path == "/v1/kv-watch") {
      watches_.push_back(
          {QueryValue(request.query, "prefix"),
           std::stoll(QueryValue(request.query, "after")),
           loop_.Now() + std::chrono::milliseconds(
                             std::stoll(QueryValue(request.query, "waitMs"))),
           responder});
    } else {
      Send(*responder, MakeResponse(request));
    }
    RespondToWatches();
  }

  HttpResponse MakeResponse(const HttpRequest& request) {
    const Json body = request.body.empty()
                          ? Json::object()
                          : Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return JsonResponse(kBadRequest, Json::object());
    if (request.path == "/v1/kv-key") {
      const auto item = store_.Read(QueryValue(request.query, "key"));
      return item ? JsonResponse(200, ItemJson(*item))
                  : JsonResponse(kNotFound, Json::object());
    }
    if (request.path == "/v1/kv-range") {
      const auto list = store_.List(QueryValue(request.query, "prefix"));
      return JsonResponse(200, {{"items", ItemsJson(list.items)},
                                {"truncated", false},
                                {"asOf", list.revision}});
    }
    if (request.path == "/v1/kv-txn") return Transact(body);
    if (request.path == "/v1/kv-lease") {
      const int64_t ttl_ms = body.value("ttlMs", 1000);
      const LeaseId lease =
          store_.GrantLease(loop_.Now(), std::chrono::milliseconds(ttl_ms));
      return JsonResponse(200, {{"lease", lease.value()}, {"ttlMs", ttl_ms}});
    }
    if (HasPrefix(request.path, kRenewLeasePath)) {
      const LeaseId lease(
          std::stoll(request.path.substr(kRenewLeasePath.size())));
      const auto renewed = store_.RenewLease(loop_.Now(), lease);
      return JsonResponse(renewed ? 200 : kNotFound, Json::object());
    }
    if (HasPrefix(request.path, kEndLeasePath)) {
      const LeaseId lease(
          std::stoll(request.path.substr(kEndLeasePath.size())));
      const auto ended = store_.EndLease(lease);
      return JsonResponse(ended ? 200 : kNotFound, Json::object());
    }
    return JsonResponse(kNotFound, Json::object());
  }

  /** Checks all preconditions and leases before it applies the writes. */
  HttpResponse Transact(const Json& body) {
    Json failed = Json::array();
    for (const Json& row : body.value("precondition", Json::array())) {
      const std::string key = row.value("key", "");
      const auto item = store_.Read(key);
      const int64_t revision = item ? item->version : 0;
      if (revision == row.value("revision", int64_t{0})) continue;
      failed.push_back(item ? ItemJson(*item)
                            : Json{{"key", key}, {"revision", 0}});
    }
    if (!failed.empty()) {
      return JsonResponse(kPreconditionFailed, {{"items", failed}});
    }
    for (const Json& row : body.value("writes", Json::array())) {
      const LeaseId lease(row.value("lease", int64_t{0}));
      if (lease != kNoLease && !store_.HasLease(lease)) {
        return JsonResponse(kNotFound, Json::object());
      }
    }
    for (const Json& row : body.value("writes", Json::array())) {
      const auto value = DecodeBase64(row.value("value", ""));
      if (!value) return JsonResponse(kBadRequest, Json::object());
      const std::string key = row.value("key", "");
      const LeaseId lease(row.value("lease", int64_t{0}));
      const auto item = store_.Read(key);
      if (item) {
        store_.CompareAndSwap(key, KeyVersion(item->version), *value, lease);
      } else {
        store_.Create(key, *value, lease);
      }
    }
    for (const Json& key : body.value("remove", Json::array())) {
      store_.Remove(key.get<std::string>());
    }
    return JsonResponse(200, {{"revision", store_.revision()}});
  }

  void RespondToWatches() {
    const TimePoint now = loop_.Now();
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (!store_.HasHistory(it->after_revision)) {
        Send(*it->responder, JsonResponse(kGone, Json::object()));
        it = watches_.erase(it);
        continue;
      }
      const auto changes = store_.ChangesAfter(it->prefix, it->after_revision);
      if (changes.items.empty() && now < it->deadline) {
        ++it;
        continue;
      }
      Send(*it->responder,
           JsonResponse(200, {{"events", ItemsJson(changes.items)},
                              {"asOf", changes.revision}}));
      it = watches_.erase(it);
    }
  }

  EventLoop& loop_;
  RateLimits limits_;
  TimePoint second_start_{};
  double writes_in_second_ = 0;
  double reads_in_second_ = 0;
  MemoryStore store_;
  MemoryStore copy_;
  std::unique_ptr<HttpServer> server_;
  EventLoop::Timer timer_;
  std::list<Watch> watches_;
  std::vector<std::shared_ptr<HttpResponder>> unanswered_;
  Mode mode_ = Mode::kOk;
  Duration slow_delay_ = std::chrono::milliseconds(500);
  int64_t calls_ = 0;
};

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:7100";
  CLI::App app("Stand-in for the platform's key-value service.");
  app.add_option("--listen", listen, "ADDRESS:PORT")->capture_default_str();
  sesamesaddle::RateLimits limits;
  app.add_option("--writes-per-second", limits.writes_per_second)
      ->capture_default_str();
  app.add_option("--reads-per-second", limits.reads_per_second)
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  const auto endpoint = sesamesaddle::Endpoint::Parse(listen);
  if (!endpoint) return 2;
  const sesamesaddle::SteadyClock clock;
  sesamesaddle::EventLoop loop(clock);
  const sesamesaddle::PlatformStandIn platform(loop, *endpoint, limits);
  loop.Run();
  return 0;
}
