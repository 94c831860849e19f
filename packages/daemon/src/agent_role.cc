#include "daemon/agent_role.h"

#include <utility>

namespace sesamesaddle {
namespace {

// The agent cancels calls at their deadline; the timer after this margin is a
// safeguard for calls that it missed.
constexpr Duration kDeadlineSlack = std::chrono::seconds(1);

AgentOptions MakeOptions(const schema::DaemonSettings& settings) {
  AgentOptions options;
  options.runner.slots = static_cast<size_t>(settings.slots);
  options.runner.queue_limit = static_cast<size_t>(settings.queue_limit);
  options.loads.slow_start = std::chrono::milliseconds(settings.slow_start_ms);
  return options;
}

template <typename Unit>
std::string FormatDuration(Duration duration) {
  return std::to_string(std::chrono::duration_cast<Unit>(duration).count());
}

HttpRequest MakeRequest(const TargetRequest& target) {
  HttpRequest request;
  request.method = target.method;
  request.path = target.path;
  request.body = target.body;
  if (!target.service.empty()) request.headers["x-service"] = target.service;
  request.headers["x-deadline-ms"] =
      FormatDuration<std::chrono::milliseconds>(target.deadline);
  if (target.wait > Duration::zero()) {
    request.headers["prefer"] =
        "wait=" + FormatDuration<std::chrono::seconds>(target.wait);
    if (!target.entity_tag.empty()) {
      request.headers["if-none-match"] = "\"" + target.entity_tag + "\"";
    }
  }
  return request;
}

std::string Unquote(const std::string& text) {
  const bool quoted =
      text.size() >= 2 && text.front() == '"' && text.back() == '"';
  return quoted ? text.substr(1, text.size() - 2) : text;
}

TargetResponse ToTargetResponse(HttpResult result) {
  constexpr int kUnavailable = 503;
  TargetResponse response;
  if (!result.complete) {
    switch (result.failure) {
      case HttpFailure::kNotSent:
        response.kind = TargetResponse::Kind::kNotSent;
        break;
      case HttpFailure::kNoResponse:
        response.kind = TargetResponse::Kind::kLost;
        break;
      case HttpFailure::kTruncatedResponse:
      case HttpFailure::kTooLarge:
        response.kind = TargetResponse::Kind::kTruncated;
        break;
    }
    return response;
  }
  HttpResponse& http_response = result.response;
  response.kind = TargetResponse::Kind::kComplete;
  response.status = http_response.status;
  response.shed = http_response.status == kUnavailable &&
                  http_response.headers.count("retry-after") != 0;
  response.content_type = http_response.content_type;
  if (const auto tag = http_response.headers.find("etag");
      tag != http_response.headers.end()) {
    response.entity_tag = Unquote(tag->second);
  }
  response.body = std::move(http_response.body);
  return response;
}

}  // namespace

AgentRole::AgentRole(EventLoop& loop, const schema::DaemonSettings& settings,
                     const schema::MemberRecord& self, RandomSource& random,
                     ActionExecutor execute_actions)
    : loop_(loop),
      target_(loop, Endpoint::Unpack(settings.target)),
      agent_(self, MakeOptions(settings), random),
      execute_actions_(std::move(execute_actions)) {}

void AgentRole::OnMessage(TimePoint now, const Endpoint& from,
                          const schema::PeerMessage& message, Outbox& out) {
  agent_.OnMessage(now, from, message, out);
}

void AgentRole::OnTick(TimePoint now, Outbox& out) { agent_.OnTick(now, out); }

void AgentRole::ExecuteAction(const Action& action) {
  if (const auto* start = std::get_if<StartCall>(&action)) {
    StartTargetCall(*start);
  }
  if (const auto* cancel = std::get_if<CancelCall>(&action)) {
    calls_.erase(cancel->id);
  }
}

void AgentRole::StartTargetCall(const StartCall& start) {
  const CallId id = start.id;
  TargetCall& call = calls_[id];
  call.timer = loop_.After(start.request.deadline + kDeadlineSlack, [this, id] {
    TargetResponse lost;
    lost.kind = TargetResponse::Kind::kLost;
    FinishTargetCall(id, std::move(lost));
  });
  // On a fresh connection, a failure to connect proves that the target did not
  // receive the request; a pooled connection may already be closed.
  const auto use =
      start.request.idempotent ? ConnectionUse::kPooled : ConnectionUse::kFresh;
  call.call = target_.Call(MakeRequest(start.request), use,
                           [this, id](HttpResult result) {
                             // Deferred: FinishTargetCall destroys the call
                             // object, which is in use here.
                             loop_.Post([this, id, result]() {
                               FinishTargetCall(id, ToTargetResponse(result));
                             });
                           });
}

void AgentRole::FinishTargetCall(CallId id, TargetResponse response) {
  if (calls_.erase(id) == 0) return;  // Already cancelled.
  Outbox out;
  agent_.OnTargetResponse(loop_.Now(), id, std::move(response), out);
  execute_actions_(out);
}

std::string AgentRole::PendingWork(TimePoint now) const {
  if (agent_.Stopped(now)) return "";
  return std::to_string(agent_.flows().owned().size()) + " flows and " +
         std::to_string(agent_.runner().unfinished()) + " requests";
}

void AgentRole::BeginStop() { agent_.BeginStop(loop_.Now()); }

void AgentRole::Leave(TimePoint now, Outbox& out) { agent_.Leave(now, out); }

Counters AgentRole::counters() const {
  const AgentCounters& a = agent_.counters();
  const FlowRegistryCounters& f = agent_.flows().counters();
  const RunnerCounters& r = agent_.runner().counters();
  const FeedCounters& n = agent_.feeds().counters();
  return {{"datagrams_total", a.datagrams},
          {"malformed_total", a.malformed},
          {"requests_total", a.requests},
          {"repeated_total", a.repeated},
          {"challenged_total", a.challenged},
          {"answered_total", a.answered},
          {"not_run_total", a.not_run},
          {"unknown_total", a.unknown},
          {"misrouted_total", a.misrouted},
          {"forwarded_total", f.forwarded},
          {"lookups_total", f.lookups},
          {"flows_placed_total", f.placed},
          {"flows_replaced_total", f.replaced},
          {"flows_superseded_total", f.superseded},
          {"hop_limit_total", f.dropped_hops},
          {"flows_handed_over_total", agent_.flows_handed_over()},
          {"run_here_total", r.run_here},
          {"lent_out_total", r.lent_out},
          {"run_for_others_total", r.run_for_others},
          {"refused_total", r.refused},
          {"retried_total", r.retried},
          {"completed_total", r.completed},
          {"notifications_total", n.notifications},
          {"notifications_repeated_total", n.repeated},
          {"feeds_given_up_total", n.given_up},
          {"flows", static_cast<int64_t>(agent_.flows().owned().size())},
          {"feeds", static_cast<int64_t>(agent_.feeds().size())},
          {"directory_entries",
           static_cast<int64_t>(agent_.flows().directory_size())},
          {"remembered_requests",
           static_cast<int64_t>(agent_.remembered_requests())},
          {"running_requests",
           static_cast<int64_t>(agent_.runner().queue().running())},
          {"queued_requests",
           static_cast<int64_t>(agent_.runner().queue().queued())}};
}

void AgentRole::FillDump(TimePoint /*now*/, schema::StateDump& dump) const {
  for (const auto& [id, load] : agent_.loads().loads()) {
    schema::TargetLoad row;
    const Member* member = agent_.control().membership().Find(id);
    row.name = member == nullptr ? agent_.control().membership().self().name
                                 : member->record.name;
    row.in_flight = load.report.in_flight;
    row.queued = load.report.queued;
    row.flows = load.report.flows;
    row.slots = load.report.slots;
    row.answer_time_us = load.report.answer_time_us;
    dump.loads.push_back(std::move(row));
  }
  for (const auto& [flow, owned] : agent_.flows().owned()) {
    schema::FlowDump row;
    row.caller = flow.caller.ToString();
    row.service_address = flow.service.ToString();
    row.feeds = owned.feeds;
    row.running = owned.running;
    row.epoch = owned.epoch.value();
    dump.flows.push_back(std::move(row));
  }
}

}  // namespace sesamesaddle
