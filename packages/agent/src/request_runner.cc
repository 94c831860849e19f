#include "agent/request_runner.h"

#include <algorithm>

namespace sesamesaddle {
namespace {

int32_t MillisecondsLeft(TimePoint now, TimePoint deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
  return static_cast<int32_t>(std::max<int64_t>(0, left.count()));
}

coap::Code MethodFromName(const std::string& name) {
  for (const coap::Code code : {coap::Code::kGet, coap::Code::kPost,
                                coap::Code::kPut, coap::Code::kDelete}) {
    if (HttpMethod(code) == name) return code;
  }
  return coap::Code::kEmpty;
}

StartCall MakeCall(TimePoint now, CallId id, const std::string& service,
                   coap::Code method, const std::string& path,
                   const std::string& body, TimePoint deadline) {
  TargetRequest request;
  request.service = service;
  request.method = std::string(HttpMethod(method));
  request.path = path;
  request.body = body;
  request.idempotent = IsIdempotent(method);
  request.deadline = deadline - now;
  return {id, std::move(request)};
}

}  // namespace

RequestRunner::RequestRunner(ControlPlane& control, LoadView& loads,
                             PeerLiveness& liveness,
                             const RunnerOptions& options)
    : control_(control),
      loads_(loads),
      liveness_(liveness),
      options_(options),
      queue_(options.slots, options.queue_limit),
      lender_(control.self_id()) {}

bool RequestRunner::Accepting(TimePoint now) const {
  return !control_.services().Leaving(control_.self_id()) &&
         !health_.Ejected(now);
}

void RequestRunner::Submit(TimePoint now, Job job, Outbox& out) {
  budget_.OnRequest();
  Entry& entry = jobs_[job.id];
  entry.job = std::move(job);
  Dispatch(now, entry, out);
}

// ---- Choosing where a request runs.

void RequestRunner::Dispatch(TimePoint now, Entry& entry, Outbox& out) {
  ++entry.attempts;
  entry.phase = Phase::kWaiting;
  const bool here =
      Accepting(now) && entry.tried.count(control_.self_id()) == 0 &&
      control_.services().Serves(control_.self_id(), entry.job.service);
  MemberId peer;
  const bool idle_here = here && queue_.queued() == 0 && queue_.HasFreeSlot();
  if (idle_here && !PreferPeer(now, entry, &peer)) {
    queue_.TryStart();
    StartHere(now, entry, out);
    return;
  }
  if (peer == MemberId()) peer = ChoosePeer(now, entry);
  if (peer != MemberId()) {
    Lend(now, entry, peer, out);
    return;
  }
  // Our own target has just failed it and no other can take it: say so at
  // once, rather than wait for a slot.
  const bool failed_here = entry.tried.count(control_.self_id()) != 0;
  const ServiceEntry* service = control_.services().Find(entry.job.service);
  if (failed_here || service == nullptr || (!here && service->homes.empty())) {
    FinishNotRun(entry, entry.refusal);
    return;
  }
  const WorkItem item{entry.job.id, entry.job.priority, entry.job.deadline};
  switch (queue_.Admit(now, item, here)) {
    case Admission::kStart:
      StartHere(now, entry, out);
      return;
    case Admission::kQueued:
      // Peers that had no free slot may have one when its turn comes.
      entry.tried.clear();
      return;
    case Admission::kQueueFull:
      FinishNotRun(entry, NotRunReason::kQueueFull);
      return;
    case Admission::kTooLate:
      FinishNotRun(entry, NotRunReason::kTooLate);
      return;
  }
}

/** Evens out work over targets although the owners of busy flows differ. */
bool RequestRunner::PreferPeer(TimePoint now, const Entry& entry,
                               MemberId* peer) {
  if (!options_.offload) return false;
  const MemberId candidate = ChoosePeer(now, entry);
  if (candidate == MemberId()) return false;
  const double own = loads_.WorkPerSlot(now, control_.self_id());
  const double other = loads_.WorkPerSlot(now, candidate);
  if (own <= other * options_.work_excess) return false;
  if (loads_.Utilization(now, candidate) >
      loads_.Utilization(now, control_.self_id())) {
    return false;
  }
  *peer = candidate;
  return true;
}

MemberId RequestRunner::ChoosePeer(TimePoint now, const Entry& entry) {
  const bool must_leave = !Accepting(now);
  if (!options_.offload && !must_leave) return MemberId();
  const ServiceEntry* service = control_.services().Find(entry.job.service);
  if (service == nullptr) return MemberId();
  std::vector<MemberId> candidates;
  for (const MemberId id : service->homes) {
    const bool leaving =
        std::find(service->leaving.begin(), service->leaving.end(), id) !=
        service->leaving.end();
    if (id != control_.self_id() && !leaving && entry.tried.count(id) == 0 &&
        !liveness_.Silent(now, id)) {
      candidates.push_back(id);
    }
  }
  return loads_.ChooseForRequest(now, candidates);
}

void RequestRunner::StartHere(TimePoint now, Entry& entry, Outbox& out) {
  const ServiceEntry* service = control_.services().Find(entry.job.service);
  entry.phase = Phase::kHere;
  entry.started = now;
  ++counters_.run_here;
  out.Add(MakeCall(
      now, entry.job.id, service == nullptr ? "" : service->service.name,
      entry.job.method, entry.job.path, entry.job.body, entry.job.deadline));
}

void RequestRunner::PumpQueue(TimePoint now, Outbox& out) {
  while (Accepting(now)) {
    const auto next = queue_.Next(now);
    if (!next) break;
    StartHere(now, jobs_.at(next->call), out);
  }
  // What still waits goes to peers that have free slots by now.
  while (const WorkItem* waiting = queue_.Peek()) {
    Entry& entry = jobs_.at(waiting->call);
    const MemberId peer = ChoosePeer(now, entry);
    if (peer == MemberId()) return;
    queue_.Remove(entry.job.id);
    Lend(now, entry, peer, out);
  }
}

// ---- Running on another agent's target.

void RequestRunner::Lend(TimePoint now, Entry& entry, MemberId peer,
                         Outbox& out) {
  entry.phase = Phase::kLent;
  entry.lender = peer;
  entry.lent_call = next_call_++;
  lent_calls_[entry.lent_call] = entry.job.id;
  entry.started = now;
  entry.last_heard = now;
  entry.received.clear();
  ++counters_.lent_out;
  loads_.OnRequestSent(peer);
  SendRunRequest(now, entry, out);
}

void RequestRunner::SendRunRequest(TimePoint now, Entry& entry, Outbox& out) {
  entry.next_send = now + options_.lent_retry;
  const Member* member = control_.membership().Find(entry.lender);
  if (member == nullptr) return;
  schema::RunRequest request;
  request.call = entry.lent_call;
  request.sender = control_.self_id().value();
  request.service_id = entry.job.service.value();
  request.method = std::string(HttpMethod(entry.job.method));
  request.path = entry.job.path;
  request.body = entry.job.body;
  request.deadline_ms = MillisecondsLeft(now, entry.job.deadline);
  request.revision = control_.replica().revision().value();
  request.recipient = entry.lender.value();
  request.idempotent = entry.job.idempotent();
  liveness_.OnSent(now, entry.lender);
  out.Send(member->endpoint(), std::move(request));
}

void RequestRunner::CancelLent(const Entry& entry, Outbox& out) {
  const Member* member = control_.membership().Find(entry.lender);
  if (member == nullptr) return;
  schema::RunCancel cancel;
  cancel.call = entry.lent_call;
  cancel.sender = control_.self_id().value();
  out.Send(member->endpoint(), cancel);
}

void RequestRunner::OnRunResult(TimePoint now, const schema::RunResult& result,
                                Outbox& out) {
  const auto lent = lent_calls_.find(result.call);
  if (lent == lent_calls_.end()) return;  // Late: that attempt has ended.
  Entry& entry = jobs_.at(lent->second);
  if (entry.lender != MemberId(result.sender)) return;
  entry.last_heard = now;
  switch (result.outcome) {
    case schema::RunOutcome::kAccepted:
      return;
    case schema::RunOutcome::kAnswered:
      AssembleAnswer(now, entry, result, out);
      return;
    case schema::RunOutcome::kNotRun:
      entry.tried.insert(entry.lender);
      RetryNotRun(now, entry, NotRunReason::kQueueFull, out);
      return;
    case schema::RunOutcome::kUnknown:
      entry.tried.insert(entry.lender);
      GiveUpUnknown(now, entry, UnknownReason::kAnswerLost, out);
      return;
  }
}

void RequestRunner::AssembleAnswer(TimePoint now, Entry& entry,
                                   const schema::RunResult& result,
                                   Outbox& out) {
  if (result.offset == static_cast<int32_t>(entry.received.size())) {
    entry.received += result.part;
  }
  const auto received = static_cast<int32_t>(entry.received.size());
  if (received < result.total_bytes) {
    schema::RunFetch fetch;
    fetch.call = result.call;
    fetch.sender = control_.self_id().value();
    fetch.offset = received;
    const Member* member = control_.membership().Find(entry.lender);
    if (member != nullptr) out.Send(member->endpoint(), fetch);
    entry.next_send = now + options_.lent_retry;
    return;
  }
  JobResult done;
  done.kind = JobResult::Kind::kAnswered;
  done.status = result.status;
  done.content_type = result.content_type;
  done.entity_tag = result.entity_tag;
  done.body = std::move(entry.received);
  Finish(entry, std::move(done));
}

void RequestRunner::CheckLent(TimePoint now, Outbox& out) {
  std::vector<CallId> lent;
  for (const auto& [id, entry] : jobs_) {
    if (entry.phase == Phase::kLent) lent.push_back(id);
  }
  for (const CallId id : lent) {
    Entry& entry = jobs_.at(id);
    if (now - entry.last_heard >= options_.lent_silence) {
      entry.tried.insert(entry.lender);
      CancelLent(entry, out);
      GiveUpUnknown(now, entry, UnknownReason::kAnswerLost, out);
    } else if (now >= entry.next_send) {
      // The lender runs it once; a repetition asks for its state.
      SendRunRequest(now, entry, out);
    }
  }
}

// ---- Running for another agent.

void RequestRunner::OnRunRequest(TimePoint now, const Endpoint& from,
                                 const schema::RunRequest& request,
                                 Outbox& out) {
  // Meant for an earlier process at this address: what became of the request
  // there is not known here, so nothing is said.
  if (MemberId(request.recipient) != control_.self_id()) return;
  const MemberId sender(request.sender);
  if (Lender::Request* known = lender_.Find(sender, request.call)) {
    lender_.Report(*known, 0, out);
    return;
  }
  Lender::Request lent;
  lent.from = from;
  lent.sender = sender;
  lent.call = request.call;
  lent.started = now;
  lent.deadline = now + std::chrono::milliseconds(request.deadline_ms);
  const coap::Code method = MethodFromName(request.method);
  const ServiceEntry* service =
      control_.services().Find(ServiceId(request.service_id));
  const bool serves = service != nullptr &&
                      control_.services().Serves(control_.self_id(),
                                                 ServiceId(request.service_id));
  if (!serves || method == coap::Code::kEmpty || !Accepting(now) ||
      lent.deadline <= now || !queue_.TryStart()) {
    lent.finished_at = now;
    lender_.Finish(now, lender_.Add(std::move(lent)),
                   schema::RunOutcome::kNotRun, out);
    return;
  }
  lent.local = NewCallId();
  ++counters_.run_for_others;
  const TimePoint deadline = lent.deadline;
  out.Add(MakeCall(now, lent.local, service->service.name, method, request.path,
                   request.body, deadline));
  lender_.Report(lender_.Add(std::move(lent)), 0, out);
}

void RequestRunner::OnRunFetch(TimePoint /*now*/, const Endpoint& /*from*/,
                               const schema::RunFetch& fetch, Outbox& out) {
  const Lender::Request* known =
      lender_.Find(MemberId(fetch.sender), fetch.call);
  if (known != nullptr) lender_.Report(*known, fetch.offset, out);
}

void RequestRunner::OnRunCancel(TimePoint now, const schema::RunCancel& cancel,
                                Outbox& out) {
  Lender::Request* known = lender_.Find(MemberId(cancel.sender), cancel.call);
  if (known == nullptr) {
    // A request that comes after its cancellation must not run.
    Lender::Request refused;
    refused.sender = MemberId(cancel.sender);
    refused.call = cancel.call;
    refused.outcome = schema::RunOutcome::kNotRun;
    refused.finished_at = now;
    lender_.Add(std::move(refused));
    return;
  }
  if (known->outcome != schema::RunOutcome::kAccepted) return;
  const TimePoint started = known->started;
  out.Add(CancelCall{known->local});
  lender_.Finish(now, *known, schema::RunOutcome::kUnknown, out);
  FreeSlot(now, started, out);
}

// ---- Answers of the own target.

void RequestRunner::OnTargetAnswer(TimePoint now, CallId id,
                                   TargetAnswer answer, Outbox& out) {
  NoteHealth(now, answer);
  if (answer.kind == TargetAnswer::Kind::kComplete && !answer.shed) {
    ++counters_.completed;
  }
  if (Lender::Request* lent = lender_.FindLocal(id)) {
    const TimePoint started = lent->started;
    schema::RunOutcome::type outcome = schema::RunOutcome::kUnknown;
    if (answer.kind == TargetAnswer::Kind::kNotSent || answer.shed) {
      outcome = schema::RunOutcome::kNotRun;
    } else if (answer.kind == TargetAnswer::Kind::kComplete) {
      outcome = schema::RunOutcome::kAnswered;
      lent->status = answer.status;
      lent->content_type = std::move(answer.content_type);
      lent->entity_tag = std::move(answer.entity_tag);
      lent->body = std::move(answer.body);
    }
    lender_.Finish(now, *lent, outcome, out);
    FreeSlot(now, started, out);
    return;
  }
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.phase != Phase::kHere) return;
  const TimePoint started = it->second.started;
  FinishHere(now, it->second, std::move(answer), out);
  FreeSlot(now, started, out);
}

void RequestRunner::FinishHere(TimePoint now, Entry& entry, TargetAnswer answer,
                               Outbox& out) {
  entry.phase = Phase::kWaiting;
  if (answer.kind == TargetAnswer::Kind::kNotSent || answer.shed) {
    entry.tried.insert(control_.self_id());
    RetryNotRun(now, entry,
                answer.shed ? NotRunReason::kTargetShed
                            : NotRunReason::kTargetUnreachable,
                out);
    return;
  }
  if (answer.kind != TargetAnswer::Kind::kComplete) {
    entry.tried.insert(control_.self_id());
    GiveUpUnknown(now, entry,
                  answer.kind == TargetAnswer::Kind::kTruncated
                      ? UnknownReason::kAnswerCut
                      : UnknownReason::kAnswerLost,
                  out);
    return;
  }
  JobResult result;
  result.kind = JobResult::Kind::kAnswered;
  result.status = answer.status;
  result.content_type = std::move(answer.content_type);
  result.entity_tag = std::move(answer.entity_tag);
  result.body = std::move(answer.body);
  Finish(entry, std::move(result));
}

void RequestRunner::NoteHealth(TimePoint now, const TargetAnswer& answer) {
  constexpr int kFirstServerError = 500;
  const bool failed = answer.kind != TargetAnswer::Kind::kComplete ||
                      (answer.status >= kFirstServerError && !answer.shed);
  if (failed) {
    health_.OnFailure(now, MayEject(now));
  } else {
    health_.OnSuccess(now);
  }
}

/** At least two thirds of a service's agents must go on accepting work. */
bool RequestRunner::MayEject(TimePoint /*now*/) const {
  for (const auto& [id, service] : control_.services().services()) {
    if (!control_.services().Serves(control_.self_id(), id)) continue;
    size_t refusing = 1;  // This agent.
    for (const MemberId agent : service.homes) {
      const auto load = loads_.loads().find(agent);
      if (agent != control_.self_id() && load != loads_.loads().end() &&
          !load->second.report.accepting) {
        ++refusing;
      }
    }
    const size_t allowed = std::max<size_t>(1, service.homes.size() / 3);
    if (service.homes.size() < 2 || refusing > allowed) return false;
  }
  return true;
}

void RequestRunner::FreeSlot(TimePoint now, TimePoint started, Outbox& out) {
  queue_.Finish(now - started);
  PumpQueue(now, out);
}

// ---- Retrying and ending.

void RequestRunner::EndAttempt(Entry& entry) {
  entry.phase = Phase::kWaiting;
  lent_calls_.erase(entry.lent_call);
  entry.lent_call = 0;
}

/** The request certainly did not run, so another target may run it. */
void RequestRunner::RetryNotRun(TimePoint now, Entry& entry,
                                NotRunReason reason, Outbox& out) {
  EndAttempt(entry);
  entry.refusal = reason;
  const bool allowed = entry.attempts < options_.max_attempts ||
                       reason == NotRunReason::kQueueFull;
  if (!allowed || !budget_.TryRetry()) {
    // A peer's full queue says nothing of our own: wait here if we may.
    if (reason != NotRunReason::kQueueFull) {
      FinishNotRun(entry, reason);
      return;
    }
  }
  ++counters_.retried;
  Dispatch(now, entry, out);
}

/** The request may have run: only an idempotent one is tried again. */
void RequestRunner::GiveUpUnknown(TimePoint now, Entry& entry,
                                  UnknownReason reason, Outbox& out) {
  EndAttempt(entry);
  entry.may_have_run = true;
  entry.unknown = reason;
  if (entry.job.idempotent() && entry.attempts < options_.max_attempts &&
      now < entry.job.deadline && budget_.TryRetry()) {
    ++counters_.retried;
    Dispatch(now, entry, out);
    return;
  }
  FinishUnknown(entry);
}

void RequestRunner::FinishUnknown(Entry& entry) {
  JobResult result;
  result.kind = JobResult::Kind::kUnknown;
  result.unknown = entry.unknown;
  ++counters_.unknown;
  Finish(entry, std::move(result));
}

void RequestRunner::FinishNotRun(Entry& entry, NotRunReason reason) {
  if (entry.may_have_run) {
    // An earlier attempt may have: "not run" would not be true.
    FinishUnknown(entry);
    return;
  }
  JobResult result;
  result.kind = JobResult::Kind::kNotRun;
  result.not_run = reason;
  ++counters_.refused;
  Finish(entry, std::move(result));
}

void RequestRunner::Finish(Entry& entry, JobResult result) {
  const CallId id = entry.job.id;
  lent_calls_.erase(entry.lent_call);
  finished_.emplace_back(id, std::move(result));
  jobs_.erase(id);  // Ends the life of `entry`.
}

void RequestRunner::Cancel(TimePoint now, CallId id, Outbox& out) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const Entry entry = std::move(it->second);
  jobs_.erase(it);
  if (entry.phase == Phase::kWaiting) queue_.Remove(id);
  if (entry.phase == Phase::kLent) CancelLent(entry, out);
  lent_calls_.erase(entry.lent_call);
  if (entry.phase != Phase::kHere) return;
  out.Add(CancelCall{id});
  FreeSlot(now, entry.started, out);
}

void RequestRunner::ExpireJobs(TimePoint now, Outbox& out) {
  for (const WorkItem& item : queue_.TakeExpired(now)) {
    FinishNotRun(jobs_.at(item.call), NotRunReason::kDeadlinePassed);
  }
  std::vector<CallId> expired;
  for (const auto& [id, entry] : jobs_) {
    if (entry.job.deadline <= now && entry.phase != Phase::kWaiting) {
      expired.push_back(id);
    }
  }
  for (const CallId id : expired) {
    Entry& entry = jobs_.at(id);
    const bool here = entry.phase == Phase::kHere;
    const TimePoint started = entry.started;
    if (here) out.Add(CancelCall{id});
    if (!here) CancelLent(entry, out);
    GiveUpUnknown(now, entry, UnknownReason::kDeadlinePassed, out);
    if (here) FreeSlot(now, started, out);
  }
  for (const CallId local : lender_.Expired(now)) {
    Lender::Request* lent = lender_.FindLocal(local);
    const TimePoint started = lent->started;
    out.Add(CancelCall{local});
    lender_.Finish(now, *lent, schema::RunOutcome::kUnknown, out);
    FreeSlot(now, started, out);
  }
}

void RequestRunner::LimitRunning(ServiceId service, TimePoint limit) {
  for (auto& [id, entry] : jobs_) {
    if (entry.phase != Phase::kHere || entry.job.service != service) continue;
    entry.job.deadline = std::min(entry.job.deadline, limit);
  }
}

void RequestRunner::OnTick(TimePoint now, Outbox& out) {
  ExpireJobs(now, out);
  CheckLent(now, out);
  PumpQueue(now, out);
  lender_.Forget(now);
}

void RequestRunner::OnMemberGone(TimePoint now, MemberId member, Outbox& out) {
  loads_.Forget(member);
  std::vector<CallId> affected;
  for (const auto& [id, entry] : jobs_) {
    if (entry.phase == Phase::kLent && entry.lender == member) {
      affected.push_back(id);
    }
  }
  for (const CallId id : affected) {
    Entry& entry = jobs_.at(id);
    entry.tried.insert(member);
    GiveUpUnknown(now, entry, UnknownReason::kAnswerLost, out);
  }
}

}  // namespace sesamesaddle
