#include "daemon/agent_role.h"

#include <utility>

namespace sesamesaddle {
namespace {

// The agent ends calls at their deadline itself; this is for those it forgot.
constexpr Duration kDeadlineSlack = std::chrono::seconds(1);

AgentOptions MakeOptions(const schema::DaemonSettings& settings) {
  AgentOptions options;
  options.runner.slots = static_cast<size_t>(settings.slots);
  options.runner.queue_limit = static_cast<size_t>(settings.queue_limit);
  options.loads.slow_start = std::chrono::milliseconds(settings.slow_start_ms);
  return options;
}

template <typename Unit>
std::string CountOf(Duration duration) {
  return std::to_string(std::chrono::duration_cast<Unit>(duration).count());
}

HttpRequest MakeRequest(const TargetRequest& target) {
  HttpRequest request;
  request.method = target.method;
  request.path = target.path;
  request.body = target.body;
  if (!target.service.empty()) request.headers["x-service"] = target.service;
  request.headers["x-deadline-ms"] =
      CountOf<std::chrono::milliseconds>(target.deadline);
  if (target.wait > Duration::zero()) {
    request.headers["prefer"] =
        "wait=" + CountOf<std::chrono::seconds>(target.wait);
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

TargetResponse ToAnswer(HttpResult result) {
  constexpr int kUnavailable = 503;
  TargetResponse answer;
  if (!result.complete) {
    switch (result.failure) {
      case HttpFailure::kNotSent:
        answer.kind = TargetResponse::Kind::kNotSent;
        break;
      case HttpFailure::kNoResponse:
        answer.kind = TargetResponse::Kind::kLost;
        break;
      case HttpFailure::kTruncatedResponse:
      case HttpFailure::kTooLarge:
        answer.kind = TargetResponse::Kind::kTruncated;
        break;
    }
    return answer;
  }
  HttpResponse& response = result.response;
  answer.kind = TargetResponse::Kind::kComplete;
  answer.status = response.status;
  answer.shed = response.status == kUnavailable &&
                response.headers.count("retry-after") != 0;
  answer.content_type = response.content_type;
  if (const auto tag = response.headers.find("etag");
      tag != response.headers.end()) {
    answer.entity_tag = Unquote(tag->second);
  }
  answer.body = std::move(response.body);
  return answer;
}

}  // namespace

AgentRole::AgentRole(EventLoop& loop, const schema::DaemonSettings& settings,
                     const schema::MemberRecord& self, RandomSource& random,
                     CarryOut carry_out)
    : loop_(loop),
      target_(loop, Endpoint::Unpack(settings.target)),
      agent_(self, MakeOptions(settings), random),
      carry_out_(std::move(carry_out)) {}

void AgentRole::OnMessage(TimePoint now, const Endpoint& from,
                          const schema::PeerMessage& message, Outbox& out) {
  agent_.OnMessage(now, from, message, out);
}

void AgentRole::OnTick(TimePoint now, Outbox& out) { agent_.OnTick(now, out); }

void AgentRole::Perform(const Action& action) {
  if (const auto* start = std::get_if<StartCall>(&action)) Start(*start);
  if (const auto* cancel = std::get_if<CancelCall>(&action)) {
    calls_.erase(cancel->id);
  }
}

void AgentRole::Start(const StartCall& start) {
  const CallId id = start.id;
  TargetCall& call = calls_[id];
  call.timer = loop_.After(start.request.deadline + kDeadlineSlack, [this, id] {
    TargetResponse lost;
    lost.kind = TargetResponse::Kind::kLost;
    Finish(id, std::move(lost));
  });
  // On a connection of its own a failure to connect proves that the target
  // did not take the request; a kept connection may be closed already.
  const auto use =
      start.request.idempotent ? ConnectionUse::kPooled : ConnectionUse::kFresh;
  call.call = target_.Call(
      MakeRequest(start.request), use, [this, id](HttpResult result) {
        // The call object is still in use here.
        loop_.Post([this, id, result]() { Finish(id, ToAnswer(result)); });
      });
}

void AgentRole::Finish(CallId id, TargetResponse answer) {
  if (calls_.erase(id) == 0) return;  // Cancelled in the meantime.
  Outbox out;
  agent_.OnTargetResponse(loop_.Now(), id, std::move(answer), out);
  carry_out_(out);
}

std::string AgentRole::WaitingFor(TimePoint now) const {
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
