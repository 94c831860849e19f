// Stand-in for a target: an HTTP/1.1 server with work times, a live feed and
// failures on demand.
//   GET /item?id=N          answers "service=S target=T id=N"
//   GET /large?id=N&size=B  the same, followed by B bytes made of N
//   POST /orders?id=N       records that order N was run, then answers
//   GET /feed?...           the newest version; waits for a new one if asked
//   GET /stats, GET /runs   counters; a line "ID COUNT" for each order
//   POST /control?mode=ok|slow|shed|fail|cut|silent[&ms=N]

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

struct TargetSettings {
  std::string listen = "127.0.0.1:8000";
  std::string name = "target-1";
  std::string service = "service";
  int work_ms = 20;
  int slots = 3;
  int feed_period_ms = 1000;
  uint64_t seed = 1;
  std::string journal;  // File of the orders that were run; kept on restart.
};

class TargetStandIn {
 public:
  TargetStandIn(EventLoop& loop, const TargetSettings& settings)
      : loop_(loop), settings_(settings), random_(settings.seed) {
    auto server =
        HttpServer::Open(loop, Endpoint::Parse(settings.listen).value(),
                         [this](const HttpRequest& request,
                                std::shared_ptr<HttpResponder> responder) {
                           OnRequest(request, std::move(responder));
                         });
    if (!server) {
      fprintf(stderr, "target: %s\n", server.error().message.c_str());
      exit(1);
    }
    server_ = std::move(*server);
    timer_ =
        loop.Every(std::chrono::milliseconds(10), [this] { AnswerFeeds(); });
    if (settings.journal.empty()) return;
    std::ifstream earlier(settings.journal);
    std::string id;
    while (earlier >> id) ++runs_[id];
    journal_.open(settings.journal, std::ios::app);
  }

 private:
  struct WaitingFeed {
    std::string seen;
    TimePoint until;
    std::shared_ptr<HttpResponder> responder;
  };

  void OnRequest(const HttpRequest& request,
                 std::shared_ptr<HttpResponder> responder) {
    if (request.path == "/control") {
      Control(request);
      responder->Send({});
    } else if (request.path == "/stats") {
      responder->Send(Stats());
    } else if (request.path == "/runs") {
      HttpResponse response;
      for (const auto& [id, count] : runs_) {
        response.body += id + " " + std::to_string(count) + "\n";
      }
      responder->Send(response);
    } else if (request.path == "/feed") {
      OnFeed(request, std::move(responder));
    } else {
      OnWork(request, std::move(responder));
    }
  }

  void Control(const HttpRequest& request) {
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
    response.body = "{\"name\":\"" + settings_.name + "\",\"service\":\"" +
                    settings_.service +
                    "\",\"slots\":" + std::to_string(settings_.slots) +
                    ",\"completed\":" + std::to_string(completed_) +
                    ",\"wrong_service\":" + std::to_string(wrong_service_) +
                    ",\"over_slots\":" + std::to_string(over_slots_) + "}";
    return response;
  }

  // ---- Work.

  void OnWork(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) {
    CheckService(request);
    if (mode_ == Mode::kShed) {
      HttpResponse response;
      response.status = 503;
      response.headers["retry-after"] = "1";
      responder->Send(response);
      return;
    }
    if (request.path == "/orders" && request.method == "POST") {
      const std::string id = QueryValue(request.query, "id");
      ++runs_[id];
      if (journal_.is_open()) journal_ << id << std::endl;
    }
    ++in_flight_;
    if (in_flight_ > settings_.slots) ++over_slots_;
    loop_.Schedule(WorkTime(), [this, request, responder] {
      --in_flight_;
      ++completed_;
      Finish(request, *responder);
    });
  }

  Duration WorkTime() {
    const int mean = mode_ == Mode::kSlow ? slow_ms_ : settings_.work_ms;
    if (mode_ == Mode::kFail) return Duration::zero();
    // Uniform from half to one and a half of the mean.
    const auto mean_us = static_cast<uint64_t>(mean) * 1000;
    return Duration(
        static_cast<int64_t>(mean_us / 2 + random_.Below(mean_us + 1)));
  }

  void Finish(const HttpRequest& request, HttpResponder& responder) {
    HttpResponse response;
    response.body = "service=" + settings_.service +
                    " target=" + settings_.name +
                    " id=" + QueryValue(request.query, "id") + "\n";
    if (request.path == "/large") AppendLarge(request, response.body);
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

  static void AppendLarge(const HttpRequest& request, std::string& body) {
    const std::string id = QueryValue(request.query, "id");
    const std::string size = QueryValue(request.query, "size");
    const size_t bytes = size.empty() ? 5000 : std::stoul(size);
    if (body.size() < bytes) body += LargeBody(id, bytes - body.size());
    body += "end=" + std::to_string(Hash64(body)) + "\n";
  }

  void CheckService(const HttpRequest& request) {
    const auto header = request.headers.find("x-service");
    if (header != request.headers.end() &&
        header->second != settings_.service) {
      ++wrong_service_;
    }
  }

  // ---- The feed. Its version is the same on every target at a moment, as if
  // they shared a database.

  std::string Version() const {
    return std::to_string(WallClockMs() / settings_.feed_period_ms);
  }

  HttpResponse FeedResponse() const {
    HttpResponse response;
    response.headers["etag"] = "\"" + Version() + "\"";
    response.body = "service=" + settings_.service +
                    " target=" + settings_.name + " version=" + Version() +
                    "\n";
    return response;
  }

  void OnFeed(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) {
    if (mode_ == Mode::kSilent) return;
    const auto seen = request.headers.find("if-none-match");
    const auto prefer = request.headers.find("prefer");
    const bool current = seen != request.headers.end() &&
                         seen->second == "\"" + Version() + "\"";
    if (!current || prefer == request.headers.end()) {
      responder->Send(FeedResponse());
      return;
    }
    const int seconds = std::stoi(prefer->second.substr(sizeof("wait=") - 1));
    feeds_.push_back({seen->second, loop_.Now() + std::chrono::seconds(seconds),
                      std::move(responder)});
  }

  void AnswerFeeds() {
    if (mode_ == Mode::kSilent) return;
    const std::string tag = "\"" + Version() + "\"";
    for (auto it = feeds_.begin(); it != feeds_.end();) {
      if (it->seen != tag) {
        it->responder->Send(FeedResponse());
      } else if (loop_.Now() >= it->until) {
        HttpResponse unchanged;
        unchanged.status = 304;
        it->responder->Send(unchanged);
      } else {
        ++it;
        continue;
      }
      it = feeds_.erase(it);
    }
  }

  EventLoop& loop_;
  TargetSettings settings_;
  SeededRandom random_;
  std::unique_ptr<HttpServer> server_;
  EventLoop::Timer timer_;
  std::list<WaitingFeed> feeds_;
  std::map<std::string, int> runs_;
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
  sesamesaddle::TargetSettings settings;
  CLI::App app("Stand-in for a target.");
  app.add_option("--listen", settings.listen, "ADDRESS:PORT (HTTP)");
  app.add_option("--name", settings.name, "Name of the target");
  app.add_option("--service", settings.service, "Name of its service");
  app.add_option("--work-ms", settings.work_ms, "Mean work time of a request");
  app.add_option("--slots", settings.slots, "Requests it should run at a time");
  app.add_option("--feed-period-ms", settings.feed_period_ms,
                 "Time between versions of the feed");
  app.add_option("--seed", settings.seed, "Seed of the work times");
  app.add_option("--journal", settings.journal,
                 "File that keeps the orders that were run over a restart");
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  const sesamesaddle::SteadyClock clock;
  sesamesaddle::EventLoop loop(clock);
  const sesamesaddle::TargetStandIn target(loop, settings);
  loop.Run();
  return 0;
}
