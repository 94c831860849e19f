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
      peer_requests_(control.self_id()) {}

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
  const bool may_run_locally =
      Accepting(now) && entry.tried.count(control_.self_id()) == 0 &&
      control_.services().Serves(control_.self_id(), entry.job.service);
  MemberId peer;
  const bool idle_locally =
      may_run_locally && queue_.queued() == 0 && queue_.HasFreeSlot();
  if (idle_locally && !PreferPeer(now, entry, &peer)) {
    queue_.TryStart();
    StartLocally(now, entry, out);
    return;
  }
  if (peer == MemberId()) peer = ChoosePeer(now, entry);
  if (peer != MemberId()) {
    Offload(now, entry, peer, out);
    return;
  }
  // The local target has just failed the request and no peer can take it, so
  // it fails at once instead of waiting for a slot.
  const bool failed_locally = entry.tried.count(control_.self_id()) != 0;
  const ServiceEntry* service = control_.services().Find(entry.job.service);
  if (failed_locally || service == nullptr ||
      (!may_run_locally && service->home_candidates.empty())) {
    FinishNotRun(entry, entry.last_refusal);
    return;
  }
  const WorkItem item{entry.job.id, entry.job.priority, entry.job.deadline};
  switch (queue_.Admit(now, item, may_run_locally)) {
    case Admission::kStart:
      StartLocally(now, entry, out);
      return;
    case Admission::kQueued:
      // Peers without a free slot may have one when the request is dequeued.
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

bool RequestRunner::PreferPeer(TimePoint now, const Entry& entry,
                               MemberId* peer) {
  if (!options_.offload) return false;
  const MemberId candidate = ChoosePeer(now, entry);
  if (candidate == MemberId()) return false;
  const double own = loads_.WorkPerSlot(now, control_.self_id());
  const double other = loads_.WorkPerSlot(now, candidate);
  if (own <= other * options_.offload_work_ratio) return false;
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
  for (const MemberId id : service->home_candidates) {
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

void RequestRunner::StartLocally(TimePoint now, Entry& entry, Outbox& out) {
  const ServiceEntry* service = control_.services().Find(entry.job.service);
  entry.phase = Phase::kLocal;
  entry.started = now;
  ++counters_.run_here;
  out.Add(MakeCall(
      now, entry.job.id, service == nullptr ? "" : service->service.name,
      entry.job.method, entry.job.path, entry.job.body, entry.job.deadline));
}

void RequestRunner::DispatchQueued(TimePoint now, Outbox& out) {
  while (Accepting(now)) {
    const auto next = queue_.Next(now);
    if (!next) break;
    StartLocally(now, jobs_.at(next->call), out);
  }
  // Offloads the remaining requests to peers that have free slots.
  while (const WorkItem* waiting = queue_.Peek()) {
    Entry& entry = jobs_.at(waiting->call);
    const MemberId peer = ChoosePeer(now, entry);
    if (peer == MemberId()) return;
    queue_.Remove(entry.job.id);
    Offload(now, entry, peer, out);
  }
}

// ---- Offloading to another agent's target.

void RequestRunner::Offload(TimePoint now, Entry& entry, MemberId peer,
                            Outbox& out) {
  entry.phase = Phase::kOffloaded;
  entry.peer = peer;
  entry.offload_id = next_call_++;
  offloaded_jobs_[entry.offload_id] = entry.job.id;
  entry.started = now;
  entry.last_result_at = now;
  entry.received_body.clear();
  ++counters_.lent_out;
  loads_.OnRequestSent(peer);
  SendRunRequest(now, entry, out);
}

void RequestRunner::SendRunRequest(TimePoint now, Entry& entry, Outbox& out) {
  entry.next_send = now + options_.offload_retry;
  const Member* member = control_.membership().Find(entry.peer);
  if (member == nullptr) return;
  schema::RunRequest request;
  request.call = entry.offload_id;
  request.sender = control_.self_id().value();
  request.service_id = entry.job.service.value();
  request.method = std::string(HttpMethod(entry.job.method));
  request.path = entry.job.path;
  request.body = entry.job.body;
  request.deadline_ms = MillisecondsLeft(now, entry.job.deadline);
  request.revision = control_.replica().revision().value();
  request.recipient = entry.peer.value();
  request.idempotent = entry.job.idempotent();
  liveness_.OnSent(now, entry.peer);
  out.Send(member->endpoint(), std::move(request));
}

void RequestRunner::CancelOffloaded(const Entry& entry, Outbox& out) {
  const Member* member = control_.membership().Find(entry.peer);
  if (member == nullptr) return;
  schema::RunCancel cancel;
  cancel.call = entry.offload_id;
  cancel.sender = control_.self_id().value();
  out.Send(member->endpoint(), cancel);
}

void RequestRunner::OnRunResult(TimePoint now, const schema::RunResult& result,
                                Outbox& out) {
  const auto offloaded = offloaded_jobs_.find(result.call);
  if (offloaded == offloaded_jobs_.end()) return;  // The attempt has ended.
  Entry& entry = jobs_.at(offloaded->second);
  if (entry.peer != MemberId(result.sender)) return;
  entry.last_result_at = now;
  switch (result.outcome) {
    case schema::RunOutcome::kAccepted:
      return;
    case schema::RunOutcome::kAnswered:
      AssembleResponse(now, entry, result, out);
      return;
    case schema::RunOutcome::kNotRun:
      entry.tried.insert(entry.peer);
      RetryOrFinishNotRun(now, entry, NotRunReason::kQueueFull, out);
      return;
    case schema::RunOutcome::kUnknown:
      entry.tried.insert(entry.peer);
      RetryOrFinishUnknown(now, entry, UnknownReason::kAnswerLost, out);
      return;
  }
}

void RequestRunner::AssembleResponse(TimePoint now, Entry& entry,
                                     const schema::RunResult& result,
                                     Outbox& out) {
  if (result.offset == static_cast<int32_t>(entry.received_body.size())) {
    entry.received_body += result.part;
  }
  const auto received_bytes = static_cast<int32_t>(entry.received_body.size());
  if (received_bytes < result.total_bytes) {
    schema::RunFetch fetch;
    fetch.call = result.call;
    fetch.sender = control_.self_id().value();
    fetch.offset = received_bytes;
    const Member* member = control_.membership().Find(entry.peer);
    if (member != nullptr) out.Send(member->endpoint(), fetch);
    entry.next_send = now + options_.offload_retry;
    return;
  }
  JobResult done;
  done.kind = JobResult::Kind::kAnswered;
  done.status = result.status;
  done.content_type = result.content_type;
  done.entity_tag = result.entity_tag;
  done.body = std::move(entry.received_body);
  Finish(entry, std::move(done));
}

void RequestRunner::CheckOffloaded(TimePoint now, Outbox& out) {
  std::vector<CallId> offloaded;
  for (const auto& [id, entry] : jobs_) {
    if (entry.phase == Phase::kOffloaded) offloaded.push_back(id);
  }
  for (const CallId id : offloaded) {
    Entry& entry = jobs_.at(id);
    if (now - entry.last_result_at >= options_.offload_timeout) {
      entry.tried.insert(entry.peer);
      CancelOffloaded(entry, out);
      RetryOrFinishUnknown(now, entry, UnknownReason::kAnswerLost, out);
    } else if (now >= entry.next_send) {
      // The peer runs a repeated request once and sends its state again.
      SendRunRequest(now, entry, out);
    }
  }
}

// ---- Running for another agent.

void RequestRunner::OnRunRequest(TimePoint now, const Endpoint& from,
                                 const schema::RunRequest& request,
                                 Outbox& out) {
  // Sent to an earlier process at this address. Whether that process ran the
  // request is unknown, so no result is sent.
  if (MemberId(request.recipient) != control_.self_id()) return;
  const MemberId sender(request.sender);
  if (PeerRequestTable::Request* known =
          peer_requests_.Find(sender, request.call)) {
    peer_requests_.SendResult(*known, 0, out);
    return;
  }
  PeerRequestTable::Request peer_request;
  peer_request.sender_endpoint = from;
  peer_request.sender = sender;
  peer_request.call = request.call;
  peer_request.started = now;
  peer_request.deadline = now + std::chrono::milliseconds(request.deadline_ms);
  const coap::Code method = MethodFromName(request.method);
  const ServiceEntry* service =
      control_.services().Find(ServiceId(request.service_id));
  const bool serves = service != nullptr &&
                      control_.services().Serves(control_.self_id(),
                                                 ServiceId(request.service_id));
  if (!serves || method == coap::Code::kEmpty || !Accepting(now) ||
      peer_request.deadline <= now || !queue_.TryStart()) {
    peer_request.finished_at = now;
    peer_requests_.Finish(now, peer_requests_.Add(std::move(peer_request)),
                          schema::RunOutcome::kNotRun, out);
    return;
  }
  peer_request.local_call = NewCallId();
  ++counters_.run_for_others;
  const TimePoint deadline = peer_request.deadline;
  out.Add(MakeCall(now, peer_request.local_call, service->service.name, method,
                   request.path, request.body, deadline));
  peer_requests_.SendResult(peer_requests_.Add(std::move(peer_request)), 0,
                            out);
}

void RequestRunner::OnRunFetch(TimePoint /*now*/, const Endpoint& /*from*/,
                               const schema::RunFetch& fetch, Outbox& out) {
  const PeerRequestTable::Request* known =
      peer_requests_.Find(MemberId(fetch.sender), fetch.call);
  if (known != nullptr) peer_requests_.SendResult(*known, fetch.offset, out);
}

void RequestRunner::OnRunCancel(TimePoint now, const schema::RunCancel& cancel,
                                Outbox& out) {
  PeerRequestTable::Request* known =
      peer_requests_.Find(MemberId(cancel.sender), cancel.call);
  if (known == nullptr) {
    // A request that arrives after its cancellation must not run.
    PeerRequestTable::Request refused;
    refused.sender = MemberId(cancel.sender);
    refused.call = cancel.call;
    refused.outcome = schema::RunOutcome::kNotRun;
    refused.finished_at = now;
    peer_requests_.Add(std::move(refused));
    return;
  }
  if (known->outcome != schema::RunOutcome::kAccepted) return;
  const TimePoint started = known->started;
  out.Add(CancelCall{known->local_call});
  peer_requests_.Finish(now, *known, schema::RunOutcome::kUnknown, out);
  FreeSlot(now, started, out);
}

// ---- Responses of the local target.

void RequestRunner::OnTargetResponse(TimePoint now, CallId id,
                                     TargetResponse response, Outbox& out) {
  RecordTargetHealth(now, response);
  if (response.kind == TargetResponse::Kind::kComplete && !response.shed) {
    ++counters_.completed;
  }
  if (PeerRequestTable::Request* peer_request =
          peer_requests_.FindRunning(id)) {
    const TimePoint started = peer_request->started;
    schema::RunOutcome::type outcome = schema::RunOutcome::kUnknown;
    if (response.kind == TargetResponse::Kind::kNotSent || response.shed) {
      outcome = schema::RunOutcome::kNotRun;
    } else if (response.kind == TargetResponse::Kind::kComplete) {
      outcome = schema::RunOutcome::kAnswered;
      peer_request->status = response.status;
      peer_request->content_type = std::move(response.content_type);
      peer_request->entity_tag = std::move(response.entity_tag);
      peer_request->body = std::move(response.body);
    }
    peer_requests_.Finish(now, *peer_request, outcome, out);
    FreeSlot(now, started, out);
    return;
  }
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.phase != Phase::kLocal) return;
  const TimePoint started = it->second.started;
  OnLocalResponse(now, it->second, std::move(response), out);
  FreeSlot(now, started, out);
}

void RequestRunner::OnLocalResponse(TimePoint now, Entry& entry,
                                    TargetResponse response, Outbox& out) {
  entry.phase = Phase::kWaiting;
  if (response.kind == TargetResponse::Kind::kNotSent || response.shed) {
    entry.tried.insert(control_.self_id());
    RetryOrFinishNotRun(now, entry,
                        response.shed ? NotRunReason::kTargetShed
                                      : NotRunReason::kTargetUnreachable,
                        out);
    return;
  }
  if (response.kind != TargetResponse::Kind::kComplete) {
    entry.tried.insert(control_.self_id());
    RetryOrFinishUnknown(now, entry,
                         response.kind == TargetResponse::Kind::kTruncated
                             ? UnknownReason::kAnswerCut
                             : UnknownReason::kAnswerLost,
                         out);
    return;
  }
  JobResult result;
  result.kind = JobResult::Kind::kAnswered;
  result.status = response.status;
  result.content_type = std::move(response.content_type);
  result.entity_tag = std::move(response.entity_tag);
  result.body = std::move(response.body);
  Finish(entry, std::move(result));
}

void RequestRunner::RecordTargetHealth(TimePoint now,
                                       const TargetResponse& response) {
  constexpr int kFirstServerError = 500;
  const bool failed = response.kind != TargetResponse::Kind::kComplete ||
                      (response.status >= kFirstServerError && !response.shed);
  if (failed) {
    health_.OnFailure(now, MayEject(now));
  } else {
    health_.OnSuccess(now);
  }
}

bool RequestRunner::MayEject(TimePoint /*now*/) const {
  for (const auto& [id, service] : control_.services().services()) {
    if (!control_.services().Serves(control_.self_id(), id)) continue;
    size_t refusing = 1;  // This agent.
    for (const MemberId agent : service.home_candidates) {
      const auto load = loads_.loads().find(agent);
      if (agent != control_.self_id() && load != loads_.loads().end() &&
          !load->second.report.accepting) {
        ++refusing;
      }
    }
    const size_t allowed =
        std::max<size_t>(1, service.home_candidates.size() / 3);
    if (service.home_candidates.size() < 2 || refusing > allowed) return false;
  }
  return true;
}

void RequestRunner::FreeSlot(TimePoint now, TimePoint started, Outbox& out) {
  queue_.Finish(now - started);
  DispatchQueued(now, out);
}

// ---- Retrying and finishing.

void RequestRunner::EndAttempt(Entry& entry) {
  entry.phase = Phase::kWaiting;
  offloaded_jobs_.erase(entry.offload_id);
  entry.offload_id = 0;
}

void RequestRunner::RetryOrFinishNotRun(TimePoint now, Entry& entry,
                                        NotRunReason reason, Outbox& out) {
  EndAttempt(entry);
  entry.last_refusal = reason;
  const bool allowed = entry.attempts < options_.max_attempts ||
                       reason == NotRunReason::kQueueFull;
  if (!allowed || !budget_.TryRetry()) {
    // A peer without a free slot does not imply a full local queue, so the
    // request may still be queued here.
    if (reason != NotRunReason::kQueueFull) {
      FinishNotRun(entry, reason);
      return;
    }
  }
  ++counters_.retried;
  Dispatch(now, entry, out);
}

void RequestRunner::RetryOrFinishUnknown(TimePoint now, Entry& entry,
                                         UnknownReason reason, Outbox& out) {
  EndAttempt(entry);
  entry.may_have_run = true;
  entry.unknown_reason = reason;
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
  result.unknown_reason = entry.unknown_reason;
  ++counters_.unknown;
  Finish(entry, std::move(result));
}

void RequestRunner::FinishNotRun(Entry& entry, NotRunReason reason) {
  if (entry.may_have_run) {
    // An earlier attempt may have run, so the outcome is unknown.
    FinishUnknown(entry);
    return;
  }
  JobResult result;
  result.kind = JobResult::Kind::kNotRun;
  result.not_run_reason = reason;
  ++counters_.refused;
  Finish(entry, std::move(result));
}

void RequestRunner::Finish(Entry& entry, JobResult result) {
  const CallId id = entry.job.id;
  offloaded_jobs_.erase(entry.offload_id);
  finished_.emplace_back(id, std::move(result));
  jobs_.erase(id);  // Invalidates `entry`.
}

void RequestRunner::Cancel(TimePoint now, CallId id, Outbox& out) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const Entry entry = std::move(it->second);
  jobs_.erase(it);
  if (entry.phase == Phase::kWaiting) queue_.Remove(id);
  if (entry.phase == Phase::kOffloaded) CancelOffloaded(entry, out);
  offloaded_jobs_.erase(entry.offload_id);
  if (entry.phase != Phase::kLocal) return;
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
    const bool ran_locally = entry.phase == Phase::kLocal;
    const TimePoint started = entry.started;
    if (ran_locally) out.Add(CancelCall{id});
    if (!ran_locally) CancelOffloaded(entry, out);
    RetryOrFinishUnknown(now, entry, UnknownReason::kDeadlinePassed, out);
    if (ran_locally) FreeSlot(now, started, out);
  }
  for (const CallId local : peer_requests_.Expired(now)) {
    PeerRequestTable::Request* peer_request = peer_requests_.FindRunning(local);
    const TimePoint started = peer_request->started;
    out.Add(CancelCall{local});
    peer_requests_.Finish(now, *peer_request, schema::RunOutcome::kUnknown,
                          out);
    FreeSlot(now, started, out);
  }
}

void RequestRunner::LimitRunningDeadlines(ServiceId service, TimePoint limit) {
  for (auto& [id, entry] : jobs_) {
    if (entry.phase != Phase::kLocal || entry.job.service != service) continue;
    entry.job.deadline = std::min(entry.job.deadline, limit);
  }
}

void RequestRunner::OnTick(TimePoint now, Outbox& out) {
  ExpireJobs(now, out);
  CheckOffloaded(now, out);
  DispatchQueued(now, out);
  peer_requests_.Expire(now);
}

void RequestRunner::OnMemberGone(TimePoint now, MemberId member, Outbox& out) {
  loads_.Forget(member);
  std::vector<CallId> affected;
  for (const auto& [id, entry] : jobs_) {
    if (entry.phase == Phase::kOffloaded && entry.peer == member) {
      affected.push_back(id);
    }
  }
  for (const CallId id : affected) {
    Entry& entry = jobs_.at(id);
    entry.tried.insert(member);
    RetryOrFinishUnknown(now, entry, UnknownReason::kAnswerLost, out);
  }
}

}  // namespace sesamesaddle
