// Load tool: CoAP callers on libcoap's client, so that an independent
// implementation checks the codec. See --help and docs/OPERATIONS.md.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "caller.h"
#include "core/random.h"
#include "core/time.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "report.h"

namespace sesamesaddle {
namespace {

constexpr Duration kProgressPeriod = std::chrono::seconds(2);
constexpr Duration kCallerTickPeriod = std::chrono::milliseconds(50);
constexpr unsigned kIoWaitMs = 2;

/** Callers of one service, as set by --group. */
struct Group {
  std::string service;
  Endpoint address;
  int callers = 10;
  double rate = 10;     // Requests per second.
  double feeds = 0;     // Share of callers with a feed.
  double writes = 0.2;  // Share of non-idempotent requests.
  double large = 0.05;  // Share of reads with a large response.
  double hot = 0;       // Share of requests sent by the first tenth of callers.
  int large_bytes = 5000;
};

struct LoadOptions {
  std::vector<std::string> groups;
  std::vector<std::string> targets;
  double seconds = 10;
  uint64_t seed = 1;
  bool json = false;
  bool quiet = false;
  int feed_bound_ms = 5000;
};

void SetGroupValue(Group& group, const std::string& key, double value) {
  const std::map<std::string, double*> shares = {{"rate", &group.rate},
                                                 {"feeds", &group.feeds},
                                                 {"writes", &group.writes},
                                                 {"large", &group.large},
                                                 {"hot", &group.hot}};
  const std::map<std::string, int*> counts = {
      {"callers", &group.callers}, {"large-bytes", &group.large_bytes}};
  if (const auto share = shares.find(key); share != shares.end()) {
    *share->second = value;
  } else if (const auto count = counts.find(key); count != counts.end()) {
    *count->second = static_cast<int>(value);
  } else {
    throw CLI::ValidationError("--group", "unknown key " + key);
  }
}

/** Parses "name:ADDRESS:PORT[:key=value]..."; throws on invalid text. */
Group ParseGroup(const std::string& text) {
  std::vector<std::string> parts;
  size_t start = 0;
  while (start <= text.size()) {
    const size_t end = std::min(text.find(':', start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  if (parts.size() < 3) throw CLI::ValidationError("--group", text);
  Group group;
  group.service = parts[0];
  const auto address = Endpoint::Parse(parts[1] + ":" + parts[2]);
  if (!address) throw CLI::ValidationError("--group", text);
  group.address = *address;
  for (size_t i = 3; i < parts.size(); ++i) {
    const size_t equals = parts[i].find('=');
    const std::string key = parts[i].substr(0, equals);
    const double value = std::stod(parts[i].substr(equals + 1));
    SetGroupValue(group, key, value);
  }
  return group;
}

/** Drives the callers of all groups through one libcoap context. */
class LoadRun {
 public:
  LoadRun(const LoadOptions& options, std::vector<Group> groups)
      : options_(options),
        groups_(std::move(groups)),
        random_(options.seed),
        context_(coap_new_context(nullptr)) {
    coap_context_set_block_mode(
        context_, COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
    coap_register_response_handler(context_, OnResponse);
    coap_register_nack_handler(context_, OnNack);
    for (const Group& group : groups_) AddCallers(group);
    next_id_ = static_cast<int64_t>(options.seed % 100000) * 10000000 + 1;
  }

  ~LoadRun() {
    callers_.clear();
    coap_free_context(context_);
  }
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  void Run() {
    const TimePoint start = clock_.Now();
    const TimePoint end =
        start + std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(options_.seconds));
    std::vector<TimePoint> next_request(groups_.size(), start);
    StartFeeds(start);
    TimePoint next_progress = start + kProgressPeriod;
    while (clock_.Now() < end && !stop_requested) {
      coap_io_process(context_, kIoWaitMs);
      const TimePoint now = clock_.Now();
      for (size_t i = 0; i < groups_.size(); ++i) {
        while (next_request[i] <= now && groups_[i].rate > 0) {
          StartRequest(now, i);
          next_request[i] += NextGap(groups_[i].rate);
        }
      }
      TickCallers(now, false);
      if (now < next_progress) continue;
      next_progress = now + kProgressPeriod;
      if (!options_.quiet) PrintProgress(now - start);
    }
    Drain();
  }

  Report& report() { return report_; }
  static volatile sig_atomic_t stop_requested;

 private:
  static coap_response_t OnResponse(coap_session_t* session,
                                    const coap_pdu_t* /*sent*/,
                                    const coap_pdu_t* received,
                                    const coap_mid_t /*mid*/) {
    auto* caller = static_cast<Caller*>(coap_session_get_app_data(session));
    if (caller != nullptr) caller->OnResponse(SteadyClock().Now(), received);
    return COAP_RESPONSE_OK;
  }

  static void OnNack(coap_session_t* session, const coap_pdu_t* sent,
                     const coap_nack_reason_t /*reason*/,
                     const coap_mid_t /*mid*/) {
    auto* caller = static_cast<Caller*>(coap_session_get_app_data(session));
    if (caller != nullptr) caller->OnNack(sent);
  }

  void AddCallers(const Group& group) {
    std::vector<Caller*> members;
    const int feeds = static_cast<int>(group.callers * group.feeds + 0.5);
    for (int i = 0; i < group.callers; ++i) {
      CallerOptions options;
      options.service = group.service;
      options.address = group.address;
      options.feed = i < feeds;
      options.feed_bound = std::chrono::milliseconds(options_.feed_bound_ms);
      callers_.push_back(
          std::make_unique<Caller>(context_, std::move(options), report_));
      members.push_back(callers_.back().get());
    }
    members_.push_back(std::move(members));
  }

  void StartFeeds(TimePoint now) {
    for (const auto& caller : callers_) {
      if (caller->options().feed) caller->StartFeed(now);
    }
  }

  Duration NextGap(double rate) {
    std::exponential_distribution<double> gap(rate);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(engine_)));
  }

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(engine_); }

  void StartRequest(TimePoint now, size_t index) {
    const Group& group = groups_[index];
    std::vector<Caller*>& members = members_[index];
    const size_t hot = std::max<size_t>(1, members.size() / 10);
    const bool to_hot = Uniform() < group.hot;
    const size_t range = to_hot ? hot : members.size();
    const size_t start = random_.Below(range);
    for (size_t i = 0; i < range; ++i) {
      Caller* caller = members[(start + i) % range];
      if (!caller->idle()) continue;
      RequestKind kind = RequestKind::kRead;
      if (Uniform() < group.writes) {
        kind = RequestKind::kWrite;
      } else if (Uniform() < group.large) {
        kind = RequestKind::kLarge;
      }
      caller->StartRequest(now, kind, next_id_++,
                           static_cast<size_t>(group.large_bytes));
      return;
    }
    ++report_.skipped;
  }

  void TickCallers(TimePoint now, bool stopping) {
    if (now < next_tick_) return;
    next_tick_ = now + kCallerTickPeriod;
    for (const auto& caller : callers_) caller->OnTick(now, stopping);
  }

  /** Waits for the requests in flight. */
  void Drain() {
    const TimePoint give_up = clock_.Now() + CallerOptions().request_timeout;
    const auto busy = [this] {
      return std::any_of(callers_.begin(), callers_.end(),
                         [](const auto& caller) { return !caller->idle(); });
    };
    while (busy() && clock_.Now() < give_up) {
      coap_io_process(context_, kIoWaitMs);
      TickCallers(clock_.Now(), true);
    }
    for (const auto& caller : callers_) caller->Finish();
  }

  void PrintProgress(Duration elapsed) const {
    fprintf(stderr,
            "load: %.0f s, requests=%lld answered=%lld refused=%lld "
            "unknown=%lld notifications=%lld broken_flows=%lld\n",
            std::chrono::duration<double>(elapsed).count(),
            static_cast<long long>(report_.requests),       // NOLINT
            static_cast<long long>(report_.answered),       // NOLINT
            static_cast<long long>(report_.refused),        // NOLINT
            static_cast<long long>(report_.unknown),        // NOLINT
            static_cast<long long>(report_.notifications),  // NOLINT
            static_cast<long long>(report_.broken_flows));  // NOLINT
  }

  LoadOptions options_;
  std::vector<Group> groups_;
  SteadyClock clock_;
  SeededRandom random_;
  std::mt19937_64 engine_{options_.seed};
  coap_context_t* context_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<std::vector<Caller*>> members_;
  Report report_;
  TimePoint next_tick_{};
  int64_t next_id_ = 1;
};

volatile sig_atomic_t LoadRun::stop_requested = 0;

/** Returns the body of a GET, or "" if the target does not respond in 3 s. */
std::string Fetch(const Endpoint& server, const std::string& path) {
  const SteadyClock clock;
  EventLoop loop(clock);
  HttpClient client(loop, server);
  HttpRequest request;
  request.method = "GET";
  request.path = path;
  std::string body;
  const auto call =
      client.Call(request, ConnectionUse::kFresh, [&](HttpResult result) {
        body = result.response.body;
        loop.Stop();
      });
  const auto timer =
      loop.After(std::chrono::seconds(3), [&loop] { loop.Stop(); });
  loop.Run();
  return body;
}

std::string JsonField(const std::string& json, const std::string& name) {
  const std::string key = "\"" + name + "\":";
  const size_t start = json.find(key);
  if (start == std::string::npos) return "0";
  std::string value = json.substr(start + key.size());
  value = value.substr(0, value.find_first_of(",}"));
  if (value.front() == '"') value = value.substr(1, value.size() - 2);
  return value;
}

void FetchTargetStats(const std::vector<std::string>& targets, Report& report) {
  for (const std::string& target : targets) {
    const Endpoint server = Endpoint::Parse(target).value();
    const std::string json = Fetch(server, "/stats");
    if (json.empty()) continue;  // The target may have been killed on purpose.
    TargetStats stats;
    stats.name = JsonField(json, "name");
    stats.service = JsonField(json, "service");
    stats.slots = std::stoll(JsonField(json, "slots"));
    stats.completed = std::stoll(JsonField(json, "completed"));
    stats.wrong_service = std::stoll(JsonField(json, "wrong_service"));
    stats.over_slots = std::stoll(JsonField(json, "over_slots"));
    report.targets.push_back(stats);
    std::istringstream runs(Fetch(server, "/runs"));
    int64_t id = 0;
    int64_t count = 0;
    while (runs >> id >> count) report.runs[id] += count;
  }
}

int Main(int argc, char** argv) {
  LoadOptions options;
  CLI::App app("Drives CoAP callers against service addresses.", "load");
  app.add_option("--group", options.groups,
                 "SERVICE:ADDRESS:PORT[:callers=N][:rate=R][:feeds=SHARE]"
                 "[:writes=SHARE][:large=SHARE][:hot=SHARE][:large-bytes=N]")
      ->required();
  app.add_option("--target", options.targets,
                 "ADDRESS:PORT of a target stand-in, asked after the run");
  app.add_option("--seconds", options.seconds, "Duration")
      ->capture_default_str();
  app.add_option("--seed", options.seed, "Seed; order ids depend on it")
      ->capture_default_str();
  app.add_option("--feed-bound-ms", options.feed_bound_ms,
                 "Silence of a feed that breaks its flow")
      ->capture_default_str();
  app.add_flag("--json", options.json, "Print the whole report as JSON");
  app.add_flag("--quiet", options.quiet, "No progress line");
  std::vector<Group> groups;
  try {
    app.parse(argc, argv);
    for (const std::string& text : options.groups) {
      groups.push_back(ParseGroup(text));
    }
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  }
  signal(SIGPIPE, SIG_IGN);
  signal(SIGTERM, [](int) { LoadRun::stop_requested = 1; });
  coap_startup();
  coap_set_log_level(LOG_ERR);
  Report report;
  {
    LoadRun run(options, groups);
    run.Run();
    report = run.report();
  }
  coap_cleanup();
  FetchTargetStats(options.targets, report);
  report.CompareWithTargets();
  if (options.json) printf("%s\n", report.Json().c_str());
  printf("load: %s\n", report.SummaryLine().c_str());
  return report.Passed() ? 0 : 1;
}

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) { return sesamesaddle::Main(argc, argv); }
