// Stand-in for a target: an HTTP/1.1 server with random work times, a feed that
// supports long polling, and fault injection.
//   GET /item?id=N          returns "service=S target=T id=N"
//   GET /large?id=N&size=B  the same, padded from N to B bytes, and a checksum
//   POST /orders?id=N       records a run of order N, then responds like /item
//   GET /feed               the current version; with "prefer: wait=S" and a
//                           current "if-none-match", long-polls for S seconds
//   GET /stats, GET /runs   counters; a line "ID COUNT" for each order
//   POST /control?mode=ok|slow|shed|fail|cut|silent[&ms=N]
//     slow: mean work time N ms; shed: status 503; fail: status 500 at once;
//     cut: truncated responses; silent: no responses

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "core/hash.h"
#include "core/random.h"
#include "core/time.h"
#include "large_body.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/query.h"

namespace sesamesaddle {
namespace {

enum class Mode { kOk, kSlow, kShed, kFail, kCut, kSilent };

struct TargetStandInOptions {
  std::string listen = "127.0.0.1:8000";
  std::string name = "target-1";
  std::string service = "service";
  int work_ms = 20;
  int slots = 3;
  int feed_period_ms = 1000;
  uint64_t seed = 1;
  std::string journal;  // File of the executed orders; read on restart.
};

class TargetStandIn {
 public:
  TargetStandIn(EventLoop& loop, const TargetStandInOptions& options)
      : loop_(loop), options_(options), random_(options.seed) {
    auto server =
        HttpServer::Open(loop, Endpoint::Parse(options.listen).value(),
                         [this](const HttpRequest& request,
                                std::shared_ptr<HttpResponder> responder) {
                           OnRequest(request, std::move(responder));
                         });
    if (!server) {
      fprintf(stderr, "target: %s\n", server.error().message.c_str());
      exit(1);
    }
    server_ = std::move(*server);
    timer_ = loop.Every(std::chrono::milliseconds(10),
                        [this] { RespondToLongPolls(); });
    if (options.journal.empty()) return;
    std::ifstream journaled_orders(options.journal);
    std::string id;
    while (journaled_orders >> id) ++order_runs_[id];
    journal_.open(options.journal, std::ios::app);
  }

 private:
  struct LongPoll {
    std::string etag;
    TimePoint deadline;
    std::shared_ptr<HttpResponder> responder;
  };

  void OnRequest(const HttpRequest& request,
                 std::shared_ptr<HttpResponder> responder) {
    if (request.path == "/control") {
      OnControl(request);
      responder->Send({});
    } else if (request.path == "/stats") {
      responder->Send(Stats());
    } else if (request.path == "/runs") {
      HttpResponse response;
      for (const auto& [id, count] : order_runs_) {
        response.body += id + " " + std::to_string(count) + "\n";
      }
      responder->Send(response);
    } else if (request.path == "/feed") {
      OnFeedRequest(request, std::move(responder));
    } else {
      OnWorkRequest(request, std::move(responder));
    }
  }

  void OnControl(const HttpRequest& request) {
    static const std::map<std::string, Mode> modes = {
        {"ok", Mode::kOk},     {"slow", Mode::kSlow},
        {"shed", Mode::kShed}, {"fail", Mode::kFail},
        {"cut", Mode::kCut},   {"silent", Mode::kSilent}};
    const auto mode = modes.find(QueryValue(request.query, "mode"));
    if (mode != modes.end()) mode_ = mode->second;
    const std::string ms = QueryValue(request.query, "ms");
    if (!ms.empty()) slow_ms_ = std::stoi(ms);
  }

  HttpResponse Stats() const {
    HttpResponse response;
    response.content_type = "application/json";
    response.body = "{\"name\":\"" + options_.name + "\",\"service\":\"" +
                    options_.service +
                    "\",\"slots\":" + std::to_string(options_.slots) +
                    ",\"completed\":" + std::to_string(completed_) +
                    ",\"wrong_service\":" + std::to_string(wrong_service_) +
                    ",\"over_slots\":" + std::to_string(over_slots_) + "}";
    return response;
  }

  void OnWorkRequest(const HttpRequest& request,
                     std::shared_ptr<HttpResponder> responder) {
    CountWrongService(request);
    if (mode_ == Mode::kShed) {
      HttpResponse response;
      response.status = 503;
      response.headers["retry-after"] = "1";
      responder->Send(response);
      return;
    }
    if (request.path == "/orders" && request.method == "POST") {
      const std::string id = QueryValue(request.query, "id");
      ++order_runs_[id];
      if (journal_.is_open()) journal_ << id << std::endl;
    }
    ++in_flight_;
    if (in_flight_ > options_.slots) ++over_slots_;
    loop_.Schedule(DrawWorkTime(), [this, request, responder] {
      --in_flight_;
      ++completed_;
      Respond(request, *responder);
    });
  }

  Duration DrawWorkTime() {
    const int mean = mode_ == Mode::kSlow ? slow_ms_ : options_.work_ms;
    if (mode_ == Mode::kFail) return Duration::zero();
    // Uniformly distributed from 0.5 to 1.5 times the mean.
    const auto mean_us = static_cast<uint64_t>(mean) * 1000;
    return Duration(
        static_cast<int64_t>(mean_us / 2 + random_.Below(mean_us + 1)));
  }

  void Respond(const HttpRequest& request, HttpResponder& responder) {
    HttpResponse response;
    response.body = "service=" + options_.service + " target=" + options_.name +
                    " id=" + QueryValue(request.query, "id") + "\n";
    if (request.path == "/large") AppendLargeBody(request, response.body);
    switch (mode_) {
      case Mode::kFail:
        response.status = 500;
        break;
      case Mode::kCut:
        responder.SendTruncated(response, response.body.size() / 2);
        return;
      case Mode::kSilent:
        return;
      default:
        break;
    }
    if (request.method == "POST") response.status = 201;
    responder.Send(response);
  }

  static void AppendLargeBody(const HttpRequest& request, std::string& body) {
    const std::string id = QueryValue(request.query, "id");
    const std::string size = QueryValue(request.query, "size");
    const size_t bytes = size.empty() ? 5000 : std::stoul(size);
    if (body.size() < bytes) body += GenerateLargeBody(id, bytes - body.size());
    body += "end=" + std::to_string(Hash64(body)) + "\n";
  }

  void CountWrongService(const HttpRequest& request) {
    const auto header = request.headers.find("x-service");
    if (header != request.headers.end() && header->second != options_.service) {
      ++wrong_service_;
    }
  }

  /**
   * Returns the current version of the feed, derived from the wall clock: all
   * targets serve the same version, as if they shared a database.
   */
  std::string FeedVersion() const {
    return std::to_string(WallClockMs() / options_.feed_period_ms);
  }

  HttpResponse FeedResponse() const {
    HttpResponse response;
    response.headers["etag"] = "\"" + FeedVersion() + "\"";
    response.body = "service=" + options_.service + " target=" + options_.name +
                    " version=" + FeedVersion() + "\n";
    return response;
  }

  void OnFeedRequest(const HttpRequest& request,
                     std::shared_ptr<HttpResponder> responder) {
    if (mode_ == Mode::kSilent) return;
    const auto seen = request.headers.find("if-none-match");
    const auto prefer = request.headers.find("prefer");
    const bool current = seen != request.headers.end() &&
                         seen->second == "\"" + FeedVersion() + "\"";
    if (!current || prefer == request.headers.end()) {
      responder->Send(FeedResponse());
      return;
    }
    const int seconds = std::stoi(prefer->second.substr(sizeof("wait=") - 1));
    long_polls_.push_back({seen->second,
                           loop_.Now() + std::chrono::seconds(seconds),
                           std::move(responder)});
  }

  void RespondToLongPolls() {
    if (mode_ == Mode::kSilent) return;
    const std::string tag = "\"" + FeedVersion() + "\"";
    for (auto it = long_polls_.begin(); it != long_polls_.end();) {
      if (it->etag != tag) {
        it->responder->Send(FeedResponse());
      } else if (loop_.Now() >= it->deadline) {
        HttpResponse unchanged;
        unchanged.status = 304;
        it->responder->Send(unchanged);
      } else {
        ++it;
        continue;
      }
      it = long_polls_.erase(it);
    }
  }

  EventLoop& loop_;
  TargetStandInOptions options_;
  SeededRandom random_;
  std::unique_ptr<HttpServer> server_;
  EventLoop::Timer timer_;
  std::list<LongPoll> long_polls_;
  std::map<std::string, int> order_runs_;
  std::ofstream journal_;
  Mode mode_ = Mode::kOk;
  int slow_ms_ = 500;
  int in_flight_ = 0;
  int64_t completed_ = 0;
  int64_t wrong_service_ = 0;
  int64_t over_slots_ = 0;
};

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) {
  sesamesaddle::TargetStandInOptions options;
  CLI::App app("Stand-in for a target.");
  app.add_option("--listen", options.listen, "ADDRESS:PORT (HTTP)");
  app.add_option("--name", options.name, "Name of the target");
  app.add_option("--service", options.service, "Name of its service");
  app.add_option("--work-ms", options.work_ms, "Mean work time of a request");
  app.add_option("--slots", options.slots, "Requests it should run at a time");
  app.add_option("--feed-period-ms", options.feed_period_ms,
                 "Time between versions of the feed");
  app.add_option("--seed", options.seed, "Seed of the work times");
  app.add_option("--journal", options.journal,
                 "File that keeps the orders that were run over a restart");
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  const sesamesaddle::SteadyClock clock;
  sesamesaddle::EventLoop loop(clock);
  const sesamesaddle::TargetStandIn target(loop, options);
  loop.Run();
  return 0;
}
