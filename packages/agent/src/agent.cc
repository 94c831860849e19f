#include "agent/agent.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace sesamesaddle {
namespace {

constexpr int kHttpOk = 200;
constexpr Duration kComeBackAfter = std::chrono::seconds(1);
// Peers that have not heard of a stop lend requests to an agent that is gone,
// whose outcome nobody knows; several load reports tell them of it in time.
constexpr Duration kShortestStop = std::chrono::milliseconds(1500);
// A caller that has not asked for the next block by then has given up or got
// the last one.
constexpr Duration kBlockPause = std::chrono::milliseconds(1000);
// Shorter than the first repetition of a notification by far.
constexpr Duration kFeedPeriod = std::chrono::milliseconds(50);
constexpr Duration kMemorySweepPeriod = std::chrono::seconds(5);

Flow FlowOf(const schema::Envelope& envelope) { return FromKey(envelope.flow); }

}  // namespace

Agent::Agent(const schema::MemberRecord& self, const AgentOptions& options,
             RandomSource& random)
    : options_(options),
      random_(random),
      control_(self, options.membership, random),
      loads_(options.loads, random),
      flows_(control_, loads_, liveness_, random, options.flows),
      runner_(control_, loads_, liveness_, options.runner),
      feeds_(
          options.feeds, [this] { return runner_.NewCallId(); },
          [this](const Notification& notification, Outbox& out) {
            return SendNotification(notification, out);
          }),
      echo_(control_.self_id(), random),
      messages_(options.message_capacity),
      bodies_(options.body_cache_bytes),
      handover_(
          control_, flows_,
          [this](const Flow& flow) { return ExportFlow(flow); },
          [this](const Flow& flow, Outbox& out) { DropFlow(flow, out); },
          [this](TimePoint now, const Flow& flow) {
            echo_.Revoke(now, flow);
          }) {}

// ---- Messages and time.

void Agent::OnMessage(TimePoint now, const Endpoint& from,
                      const schema::PeerMessage& message, Outbox& out) {
  now_ = now;
  if (control_.OnMessage(now, from, message, out)) {
    if (message.__isset.gossip) {
      liveness_.OnHeard(now, MemberId(message.gossip.sender.id));
    }
    ReactToChanges(now, out);
  }
  if (message.__isset.envelope && !control_.JustPaused(now)) {
    OnEnvelope(now, from, message.envelope, out);
  }
  if (message.__isset.misrouted) {
    ++counters_.misrouted;
    flows_.OnAssignmentRefused(now, message.misrouted.envelope, out);
  }
  if (message.__isset.directory_query) {
    flows_.OnQuery(from, message.directory_query, out);
  }
  if (message.__isset.directory_reply) {
    flows_.OnReply(now, from, message.directory_reply, out);
  }
  if (message.__isset.directory_update) {
    liveness_.OnHeard(now, MemberId(message.directory_update.sender));
    flows_.OnUpdate(from, message.directory_update, out);
  }
  if (message.__isset.directory_ack) flows_.OnAck(message.directory_ack);
  if (message.__isset.load_report) {
    liveness_.OnHeard(now, MemberId(message.load_report.sender));
    loads_.OnReport(now, message.load_report);
  }
  if (message.__isset.run_request) {
    liveness_.OnHeard(now, MemberId(message.run_request.sender));
    runner_.OnRunRequest(now, from, message.run_request, out);
  }
  if (message.__isset.run_result) {
    liveness_.OnHeard(now, MemberId(message.run_result.sender));
    runner_.OnRunResult(now, message.run_result, out);
  }
  if (message.__isset.run_fetch) {
    runner_.OnRunFetch(now, from, message.run_fetch, out);
  }
  if (message.__isset.run_cancel) {
    runner_.OnRunCancel(now, message.run_cancel, out);
  }
  if (message.__isset.handover) OnHandover(now, from, message.handover, out);
  if (message.__isset.handover_ack) {
    liveness_.OnHeard(now, MemberId(message.handover_ack.sender));
    handover_.OnAck(now, message.handover_ack, out);
  }
  Settle(now, out);
}

void Agent::OnTargetAnswer(TimePoint now, CallId id, TargetAnswer answer,
                           Outbox& out) {
  now_ = now;
  if (!feeds_.OnTargetAnswer(now, id, answer, out)) {
    runner_.OnTargetAnswer(now, id, std::move(answer), out);
  }
  Settle(now, out);
}

void Agent::OnTick(TimePoint now, Outbox& out) {
  now_ = now;
  if (started_ == TimePoint{}) started_ = now;
  control_.OnTick(now, out);
  if (control_.membership().TakeResumed()) {
    liveness_.Reset();
    flows_.RegisterAll();
  }
  ReactToChanges(now, out);
  if (now >= next_report_) ReportLoad(now, out);
  flows_.OnTick(now, out);
  runner_.OnTick(now, out);
  if (now >= next_feeds_) {
    next_feeds_ = now + kFeedPeriod;
    feeds_.OnTick(now, out);
  }
  handover_.OnTick(now, out);
  HandOverSuperseded(now, out);
  HandOverFlows(now, out);
  ProbeSilentPeers(now, out);
  ExpireMemory(now);
  Settle(now, out);
}

/** Carries out what the parts have decided, until nothing is left. */
void Agent::Settle(TimePoint now, Outbox& out) {
  ServeReady(now, out);
  while (true) {
    auto finished = runner_.TakeFinished();
    if (finished.empty()) return;
    for (auto& [id, result] : finished) {
      OnFinished(now, id, std::move(result), out);
    }
  }
}

void Agent::ReactToChanges(TimePoint now, Outbox& out) {
  const auto changes = control_.TakeMemberChanges();
  const bool configured = control_.TakeConfigurationChanged();
  for (const MemberChange& change : changes) {
    if (change.member.present()) continue;
    liveness_.Forget(change.member.id());
    flows_.OnMemberGone(change.member.id());
    runner_.OnMemberGone(now, change.member.id(), out);
  }
  if (!changes.empty() || configured) flows_.OnServicesChanged(now);
  if (!configured) return;
  scan_flows_ = true;
  ReleaseEarly(now, out);
}

// ---- Envelopes.

void Agent::OnEnvelope(TimePoint now, const Endpoint& from,
                       const schema::Envelope& envelope, Outbox& out) {
  ++counters_.datagrams;
  if (!CheckIdentity(now, from, envelope, out)) return;
  if (envelope.purpose == schema::Purpose::kEchoIssuer &&
      flows_.Find(FlowOf(envelope)) == nullptr) {
    Serve(now, envelope, out);
    return;
  }
  flows_.OnEnvelope(now, from, envelope, out);
}

/** Whether the envelope is for this process and for a service it serves. */
bool Agent::CheckIdentity(TimePoint now, const Endpoint& from,
                          const schema::Envelope& envelope, Outbox& out) {
  if (MemberId(envelope.recipient) != control_.self_id()) {
    Refuse(from, envelope, schema::MisrouteReason::kWrongRecipient, out);
    return false;
  }
  if (control_.replica().revision() < Revision(envelope.revision)) {
    control_.OnPeerRevision(now, from, Revision(envelope.revision), out);
    if (early_.size() < options_.max_early_envelopes) {
      early_.emplace_back(from, envelope);
    }
    return false;
  }
  const ServiceId service(envelope.service_id);
  const ServiceEntry* entry =
      control_.services().FindByAddress(FlowOf(envelope).service);
  const bool ours = entry != nullptr && ServiceId(entry->service.id) == service;
  const bool known_flow = flows_.Find(FlowOf(envelope)) != nullptr;
  // A flow that is still here while its service moves away is handed over.
  if (!ours || !(known_flow ||
                 control_.services().Serves(control_.self_id(), service))) {
    Refuse(from, envelope, schema::MisrouteReason::kWrongService, out);
    return false;
  }
  return true;
}

void Agent::Refuse(const Endpoint& from, const schema::Envelope& envelope,
                   schema::MisrouteReason::type reason, Outbox& out) {
  ++counters_.misrouted;
  schema::Misrouted refusal;
  refusal.envelope = envelope;
  refusal.reason = reason;
  refusal.revision = control_.replica().revision().value();
  out.Send(from, std::move(refusal));
}

void Agent::ReleaseEarly(TimePoint now, Outbox& out) {
  auto early = std::exchange(early_, {});
  for (const auto& [from, envelope] : early) {
    OnEnvelope(now, from, envelope, out);
  }
}

void Agent::ServeReady(TimePoint now, Outbox& out) {
  for (const schema::Envelope& envelope : flows_.TakeReady()) {
    Serve(now, envelope, out);
  }
}

void Agent::Serve(TimePoint now, const schema::Envelope& envelope,
                  Outbox& out) {
  const Flow flow = FlowOf(envelope);
  if (OwnedFlow* owned = flows_.Find(flow)) {
    owned->last_used = now;
    owned->balancer = Endpoint::Unpack(envelope.balancer);
  }
  const auto header = coap::ParseHeader(envelope.payload);
  if (!header) {
    ++counters_.malformed;
    return;
  }
  auto message = coap::Parse(envelope.payload);
  if (!message) {
    ++counters_.malformed;
    coap::Message answer;
    answer.message_id = header->message_id;
    answer.type = coap::Type::kReset;
    if (message.error() == coap::ParseError::kTooLarge) {
      answer.type = coap::Type::kAcknowledgement;
      answer.code = coap::Code::kRequestEntityTooLarge;
      answer.token = header->token;
    }
    SendDatagram(flow, Endpoint::Unpack(envelope.balancer),
                 coap::Encode(answer), out);
    return;
  }
  switch (message->type) {
    case coap::Type::kAcknowledgement:
      feeds_.OnAcknowledged(now, flow, message->message_id, out);
      return;
    case coap::Type::kReset:
      feeds_.OnReset(flow, message->message_id, out);
      if (OwnedFlow* owned = flows_.Find(flow)) {
        owned->feeds = static_cast<int>(feeds_.CountOf(flow));
      }
      return;
    default:
      break;
  }
  if (message->IsRequest()) {
    OnRequest(now, envelope, flow, *message, out);
  } else if (message->type == coap::Type::kConfirmable) {
    // A CoAP ping (RFC 7252, section 4.3), or something nobody asked for.
    coap::Message reset;
    reset.type = coap::Type::kReset;
    reset.message_id = message->message_id;
    SendDatagram(flow, Endpoint::Unpack(envelope.balancer), coap::Encode(reset),
                 out);
  }
}

// ---- Requests.

void Agent::OnRequest(TimePoint now, const schema::Envelope& envelope,
                      const Flow& flow, const coap::Message& request,
                      Outbox& out) {
  ++counters_.requests;
  Pending pending;
  pending.flow = flow;
  pending.balancer = Endpoint::Unpack(envelope.balancer);
  pending.request = request;
  pending.request.payload.clear();
  const MessageKey key{flow, request.message_id};
  std::string answer;
  switch (messages_.Begin(now, key, &answer)) {
    case MessageMemory::State::kAnswered:
      ++counters_.repeated;
      SendDatagram(flow, pending.balancer, answer, out);
      return;
    case MessageMemory::State::kRunning:
    case MessageMemory::State::kConfirmed:
      ++counters_.repeated;
      return;
    case MessageMemory::State::kNew:
      break;
  }
  if (RefuseUnsupported(now, pending, out)) return;
  if (ServeLaterBlock(now, pending, out)) return;
  if (!IsIdempotent(request.code)) {
    OnWrite(now, envelope, std::move(pending), request, out);
    return;
  }
  const auto observe = request.FindUint(coap::OptionNumber::kObserve);
  constexpr uint32_t kRegister = 0;
  if (request.code == coap::Code::kGet && observe) {
    pending.observe = *observe == kRegister;
    if (!pending.observe) feeds_.Deregister(flow, request.token, out);
    if (pending.observe && JoinFeed(now, pending, out)) return;
  }
  SubmitJob(now, std::move(pending), request.payload, out);
}

/** A topic that is polled already gives its state without a request. */
bool Agent::JoinFeed(TimePoint now, const Pending& pending, Outbox& out) {
  const OwnedFlow* owned = flows_.Find(pending.flow);
  if (owned == nullptr) return false;
  const TopicState* state =
      feeds_.Find({owned->service, pending.request.Path()});
  if (state == nullptr) return false;
  JobResult result;
  result.kind = JobResult::Kind::kAnswered;
  result.status = kHttpOk;
  result.content_type = state->content_type;
  result.entity_tag = state->entity_tag;
  result.body = state->body;
  Reply(now, pending, MakeAnswer(now, pending, result, out), out);
  return true;
}

bool Agent::RefuseUnsupported(TimePoint now, const Pending& pending,
                              Outbox& out) {
  coap::Message answer;
  if (HttpMethod(pending.request.code).empty()) {
    answer.code = coap::Code::kMethodNotAllowed;
  } else if (pending.request.Find(coap::OptionNumber::kBlock1) != nullptr) {
    answer.code = coap::Code::kRequestEntityTooLarge;
  } else if (pending.request.HasUnknownCriticalOption()) {
    answer.code = coap::Code::kBadOption;
  } else {
    return false;
  }
  Reply(now, pending, std::move(answer), out);
  return true;
}

/** A block behind the first comes from memory; it never runs a request. */
bool Agent::ServeLaterBlock(TimePoint now, const Pending& pending,
                            Outbox& out) {
  const auto value = pending.request.FindUint(coap::OptionNumber::kBlock2);
  if (!value) return false;
  const auto block = coap::Block::Unpack(*value);
  if (!block) {
    coap::Message answer;
    answer.code = coap::Code::kBadRequest;
    Reply(now, pending, std::move(answer), out);
    return true;
  }
  if (block->number == 0) return false;
  const LargeBody* body = bodies_.Find(pending.flow, pending.request.Path());
  if (body == nullptr) {
    // Another run could give another answer: its blocks must not be mixed
    // with those that the caller has.
    Reply(now, pending,
          NotRunAnswer(NotRunReason::kAnswerExpired, kComeBackAfter), out);
    return true;
  }
  NoteBlock(now, pending);
  Reply(now, pending, MakeBlock(*body, *block), out);
  return true;
}

/**
 * A caller that asks for a block has got those before. Late repetitions of
 * their messages are not answered again: an old block in the middle of a
 * transfer makes some callers take the answer to pieces. The flow stays here
 * while the transfer lasts.
 */
void Agent::NoteBlock(TimePoint now, const Pending& pending) {
  const std::string path = pending.request.Path();
  for (const uint16_t earlier : bodies_.TakeServed(pending.flow, path)) {
    messages_.Confirm({pending.flow, earlier});
  }
  bodies_.NoteServed(pending.flow, path, pending.request.message_id);
  OwnedFlow* owned = flows_.Find(pending.flow);
  if (owned != nullptr) owned->transfer_until = now + kBlockPause;
}

// ---- Non-idempotent requests.

void Agent::OnWrite(TimePoint now, const schema::Envelope& envelope,
                    Pending pending, const coap::Message& request,
                    Outbox& out) {
  const coap::Option* echo = request.Find(coap::OptionNumber::kEcho);
  if (echo == nullptr) {
    Challenge(now, pending, out);
    return;
  }
  const EchoCheck check = echo_.Check(now, pending.flow, echo->value);
  switch (check.verdict) {
    case EchoVerdict::kFresh:
      RunWrite(now, std::move(pending), request, check, out);
      return;
    case EchoVerdict::kStale:
      if (nonces_.Find(check.nonce) != nullptr) {
        RunWrite(now, std::move(pending), request, check, out);
        return;
      }
      Challenge(now, pending, out);  // Remembered longer, so it never ran.
      return;
    case EchoVerdict::kForgotten:
      Reply(now, pending, UnknownAnswer(UnknownReason::kOwnerGone), out);
      return;
    case EchoVerdict::kForeign:
      PassToIssuer(now, envelope, check.issuer, pending, out);
      return;
    case EchoVerdict::kMalformed:
      Challenge(now, pending, out);  // No owner accepts it, so nothing ran.
      return;
  }
}

void Agent::RunWrite(TimePoint now, Pending pending,
                     const coap::Message& request, const EchoCheck& check,
                     Outbox& out) {
  const std::string path = request.Path();
  const uint64_t digest = Hash64(request.payload, Hash64(path));
  auto state = NonceMemory::State::kNew;
  if (options_.remember_requests) {
    state = nonces_.Begin(now, check.nonce, pending.flow, digest);
  }
  switch (state) {
    case NonceMemory::State::kNew:
      pending.has_nonce = true;
      pending.nonce = check.nonce;
      SubmitJob(now, std::move(pending), request.payload, out);
      return;
    case NonceMemory::State::kRunning:
      // Joins: OnFinished answers every message that waits for the nonce.
      pending.has_nonce = true;
      pending.nonce = check.nonce;
      pending_.emplace(runner_.NewCallId(), std::move(pending));
      return;
    case NonceMemory::State::kAnswered: {
      ++counters_.repeated;
      auto answer = coap::Parse(nonces_.Find(check.nonce)->answer);
      if (answer) Reply(now, pending, std::move(*answer), out);
      return;
    }
    case NonceMemory::State::kOtherBody:
      Challenge(now, pending, out);
      return;
  }
}

void Agent::Challenge(TimePoint now, const Pending& pending, Outbox& out) {
  ++counters_.challenged;
  Reply(now, pending, ChallengeAnswer(echo_.Issue(now, pending.flow)), out);
}

/** Only the issuer of an Echo value knows whether a request ran under it. */
void Agent::PassToIssuer(TimePoint now, const schema::Envelope& envelope,
                         MemberId issuer, const Pending& pending, Outbox& out) {
  const Member* member = control_.membership().Find(issuer);
  const bool reachable = member != nullptr && member->present() &&
                         !liveness_.Silent(now, issuer) &&
                         envelope.purpose != schema::Purpose::kEchoIssuer;
  if (!reachable) {
    // A fresh Echo would invite a second run.
    ++counters_.unknown;
    Reply(now, pending, UnknownAnswer(UnknownReason::kOwnerGone), out);
    return;
  }
  // The issuer answers this message; a repetition goes there again.
  messages_.Abandon({pending.flow, pending.request.message_id});
  schema::Envelope copy = envelope;
  copy.recipient = issuer.value();
  copy.purpose = schema::Purpose::kEchoIssuer;
  copy.hops = static_cast<int16_t>(envelope.hops + 1);
  liveness_.OnSent(now, issuer);
  out.Send(member->endpoint(), std::move(copy));
}

// ---- Running and answering.

void Agent::SubmitJob(TimePoint now, Pending pending, const std::string& body,
                      Outbox& out) {
  const ServiceEntry* entry =
      control_.services().FindByAddress(pending.flow.service);
  Job job;
  job.id = runner_.NewCallId();
  job.method = pending.request.code;
  job.path = pending.request.Path();
  job.body = body;
  if (entry != nullptr) {
    job.service = ServiceId(entry->service.id);
    job.priority = entry->service.priority;
    job.deadline = now + std::chrono::milliseconds(entry->service.deadline_ms);
  }
  if (OwnedFlow* owned = flows_.Find(pending.flow)) ++owned->running;
  pending_.emplace(job.id, std::move(pending));
  runner_.Submit(now, std::move(job), out);
}

void Agent::OnFinished(TimePoint now, CallId id, JobResult result,
                       Outbox& out) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  const Pending pending = std::move(it->second);
  pending_.erase(it);
  if (OwnedFlow* owned = flows_.Find(pending.flow)) --owned->running;
  switch (result.kind) {
    case JobResult::Kind::kAnswered:
      ++counters_.answered;
      break;
    case JobResult::Kind::kNotRun:
      ++counters_.not_run;
      break;
    case JobResult::Kind::kUnknown:
      ++counters_.unknown;
      break;
  }
  const coap::Message answer = MakeAnswer(now, pending, result, out);
  Reply(now, pending, answer, out);
  if (!pending.has_nonce) return;
  if (result.kind == JobResult::Kind::kNotRun) {
    nonces_.Abandon(pending.nonce);
  } else {
    nonces_.Finish(now, pending.nonce, coap::Encode(answer));
  }
  for (auto joined = pending_.begin(); joined != pending_.end();) {
    const Pending& other = joined->second;
    if (!other.has_nonce || other.nonce != pending.nonce) {
      ++joined;
      continue;
    }
    Reply(now, other, answer, out);
    joined = pending_.erase(joined);
  }
}

coap::Message Agent::MakeAnswer(TimePoint now, const Pending& pending,
                                const JobResult& result, Outbox& out) {
  if (result.kind == JobResult::Kind::kNotRun) {
    return NotRunAnswer(result.not_run, kComeBackAfter);
  }
  if (result.kind == JobResult::Kind::kUnknown) {
    return UnknownAnswer(result.unknown);
  }
  const coap::Message& request = pending.request;
  coap::Message answer = FromHttpStatus(request.code, result.status);
  if (const auto format = ContentFormat(result.content_type)) {
    answer.AddUint(coap::OptionNumber::kContentFormat, *format);
  }
  LargeBody large;
  large.entity_tag = MakeEntityTag(result.body);
  large.body = result.body;
  OwnedFlow* owned = flows_.Find(pending.flow);
  if (pending.observe && answer.code == coap::Code::kContent &&
      owned != nullptr) {
    const Topic topic{owned->service, request.Path()};
    const uint32_t sequence = feeds_.Register(
        now, pending.flow, request.token, topic,
        {result.entity_tag, result.content_type, result.body}, out);
    owned->feeds = static_cast<int>(feeds_.CountOf(pending.flow));
    answer.AddUint(coap::OptionNumber::kObserve, sequence);
    const auto max_age = std::chrono::duration_cast<std::chrono::seconds>(
        options_.feeds.max_age);
    answer.AddUint(coap::OptionNumber::kMaxAge,
                   static_cast<uint32_t>(max_age.count()));
  }
  coap::Block asked;
  if (const auto value = request.FindUint(coap::OptionNumber::kBlock2)) {
    asked = coap::Block::Unpack(*value).value_or(asked);
  }
  if (result.body.size() <= asked.size() && asked.number == 0) {
    answer.payload = result.body;
    return answer;
  }
  large.head = answer;
  answer = MakeBlock(large, asked);
  bodies_.Put(now, pending.flow, request.Path(), std::move(large));
  NoteBlock(now, pending);
  return answer;
}

void Agent::Reply(TimePoint now, const Pending& pending, coap::Message answer,
                  Outbox& out) {
  const coap::Message& request = pending.request;
  answer.token = request.token;
  if (request.type == coap::Type::kConfirmable) {
    answer.type = coap::Type::kAcknowledgement;
    answer.message_id = request.message_id;
  } else {
    answer.type = coap::Type::kNonConfirmable;
    answer.message_id = static_cast<uint16_t>(random_.Next());
  }
  std::string bytes = coap::Encode(answer);
  messages_.Finish(now, {pending.flow, request.message_id}, bytes);
  SendDatagram(pending.flow, pending.balancer, std::move(bytes), out);
}

void Agent::SendDatagram(const Flow& flow, const Endpoint& balancer,
                         std::string payload, Outbox& out) {
  schema::Answer answer;
  answer.flow = ToKey(flow);
  answer.owner = control_.self_id().value();
  answer.payload = std::move(payload);
  out.Send(ChooseBalancer(balancer, Endpoint()), std::move(answer));
}

SentNotification Agent::SendNotification(const Notification& notification,
                                         Outbox& out) {
  OwnedFlow* owned = flows_.Find(notification.flow);
  coap::Message message;
  message.type = coap::Type::kConfirmable;
  message.code = coap::Code::kContent;
  message.token = notification.token;
  message.message_id = owned == nullptr ? 0 : owned->next_message_id++;
  message.AddUint(coap::OptionNumber::kObserve, notification.sequence);
  const auto max_age =
      std::chrono::duration_cast<std::chrono::seconds>(notification.max_age);
  message.AddUint(coap::OptionNumber::kMaxAge,
                  static_cast<uint32_t>(max_age.count()));
  const TopicState& state = *notification.state;
  if (const auto format = ContentFormat(state.content_type)) {
    message.AddUint(coap::OptionNumber::kContentFormat, *format);
  }
  if (state.body.size() <= kBlockBytes) {
    message.payload = state.body;
  } else {
    LargeBody large;
    large.head = message;
    large.body = state.body;
    large.entity_tag = MakeEntityTag(state.body);
    message = MakeBlock(large, coap::Block());
    bodies_.Put(now_, notification.flow, notification.path, std::move(large));
  }
  schema::Answer answer;
  answer.flow = ToKey(notification.flow);
  answer.owner = control_.self_id().value();
  answer.payload = coap::Encode(message);
  const Endpoint last = owned == nullptr ? Endpoint() : owned->balancer;
  const Endpoint balancer = ChooseBalancer(last, notification.avoid);
  out.Send(balancer, std::move(answer));
  return {message.message_id, balancer};
}

/**
 * The balancer that delivered the flow's last datagram, unless it is gone or
 * to be avoided; then any other.
 */
Endpoint Agent::ChooseBalancer(const Endpoint& preferred,
                               const Endpoint& avoid) const {
  if (preferred != avoid && control_.UsableBalancer(preferred)) {
    return preferred;
  }
  return control_.RandomBalancer(avoid == Endpoint() ? preferred : avoid);
}

// ---- Handing flows over.

schema::FlowState Agent::ExportFlow(const Flow& flow) const {
  schema::FlowState state;
  state.flow = ToKey(flow);
  const auto owned = flows_.owned().find(flow);
  state.service_id = owned->second.service.value();
  state.epoch = owned->second.epoch.value();
  state.balancer = owned->second.balancer.Pack();
  state.next_message_id = owned->second.next_message_id;
  for (const auto& [nonce, request] : nonces_.OfFlow(flow)) {
    schema::RememberedRequest remembered;
    remembered.nonce = nonce.value();
    remembered.request_digest = static_cast<int64_t>(request.digest);
    remembered.message_id = 0;
    remembered.answer = request.answer;
    remembered.remaining_ms = 0;
    state.requests.push_back(std::move(remembered));
  }
  state.feeds = feeds_.Export(flow);
  schema::EchoGrant own;
  own.issuer = control_.self_id().value();
  own.key = echo_.key();
  state.grants.push_back(std::move(own));
  for (const auto& [issuer, key] : echo_.Grants(flow)) {
    schema::EchoGrant earlier;
    earlier.issuer = issuer.value();
    earlier.key = key;
    state.grants.push_back(std::move(earlier));
  }
  return state;
}

void Agent::DropFlow(const Flow& flow, Outbox& out) {
  feeds_.RemoveFlow(flow, out);
  echo_.RemoveGrants(flow);
}

void Agent::OnHandover(TimePoint now, const Endpoint& from,
                       const schema::Handover& handover, Outbox& out) {
  liveness_.OnHeard(now, MemberId(handover.sender));
  schema::HandoverAck ack;
  ack.batch = handover.batch;
  ack.sender = control_.self_id().value();
  ack.taken = true;
  if (!handover_.AlreadyTaken(handover)) {
    for (const schema::FlowState& state : handover.flows) {
      ack.taken = ack.taken && Accepts(now, ServiceId(state.service_id));
    }
    if (ack.taken) {
      handover_.NoteTaken(now, handover);
      for (const schema::FlowState& state : handover.flows) {
        ImportFlow(now, state, out);
      }
    }
  }
  out.Send(from, ack);
}

bool Agent::Accepts(TimePoint now, ServiceId service) const {
  return runner_.Accepting(now) && !stopping_ &&
         control_.services().Serves(control_.self_id(), service);
}

void Agent::ImportFlow(TimePoint now, const schema::FlowState& state,
                       Outbox& out) {
  const Flow flow = FromKey(state.flow);
  for (const schema::EchoGrant& grant : state.grants) {
    echo_.AddGrant(now, flow, MemberId(grant.issuer), grant.key);
  }
  for (const schema::RememberedRequest& remembered : state.requests) {
    RememberedRequest request;
    request.flow = flow;
    request.digest = static_cast<uint64_t>(remembered.request_digest);
    request.answered = true;
    request.answer = remembered.answer;
    nonces_.Import(now, EchoNonce(remembered.nonce), std::move(request));
  }
  const ServiceId service(state.service_id);
  OwnedFlow& owned = flows_.Adopt(now, flow, service, Epoch(state.epoch), out);
  owned.balancer = Endpoint::Unpack(state.balancer);
  owned.next_message_id = static_cast<uint16_t>(state.next_message_id);
  for (const schema::FeedState& feed : state.feeds) {
    feeds_.Import(now, flow, service, feed, out);
  }
  owned.feeds = static_cast<int>(feeds_.CountOf(flow));
}

bool Agent::MustHandOver(TimePoint now, const Flow& flow,
                         const OwnedFlow& owned) const {
  if (stopping_ || control_.services().Leaving(control_.self_id())) return true;
  const ServiceEntry* entry = control_.services().FindByAddress(flow.service);
  const bool served =
      entry != nullptr && ServiceId(entry->service.id) == owned.service &&
      control_.services().Serves(control_.self_id(), owned.service);
  // Feeds need the target itself; single requests can be lent out.
  return !served || (owned.feeds > 0 && runner_.TargetEjected(now));
}

std::vector<MemberId> Agent::HandoverCandidates(TimePoint now,
                                                ServiceId service) const {
  std::vector<MemberId> candidates;
  const ServiceEntry* entry = control_.services().Find(service);
  if (entry == nullptr) return candidates;
  for (const MemberId id : entry->homes) {
    if (id != control_.self_id() && !liveness_.Silent(now, id) &&
        !control_.services().Leaving(id)) {
      candidates.push_back(id);
    }
  }
  return candidates;
}

void Agent::HandOverFlows(TimePoint now, Outbox& out) {
  const bool leaving_now = stopping_ ||
                           control_.services().Leaving(control_.self_id()) ||
                           runner_.TargetEjected(now);
  if (!options_.hand_over || !(leaving_now || scan_flows_)) return;
  if (!handover_.HasRoom()) return;
  constexpr size_t kFlowsPerTick =
      Handover::kFlowsPerBatch * Handover::kBatchesInFlight;
  std::vector<std::pair<Flow, ServiceId>> leaving;
  scan_flows_ = false;
  for (const auto& [flow, owned] : flows_.owned()) {
    if (leaving.size() >= kFlowsPerTick) break;
    if (!MustHandOver(now, flow, owned)) continue;
    scan_flows_ = true;  // Until no flow is left that must go.
    if (owned.running == 0 && !owned.handing_over &&
        now >= owned.transfer_until) {
      leaving.emplace_back(flow, owned.service);
    }
  }
  for (const auto& [flow, service] : leaving) {
    const MemberId to =
        loads_.ChooseForFlow(now, HandoverCandidates(now, service));
    if (to == MemberId()) continue;
    if (handover_.Start(now, flow, to)) loads_.OnFlowPlaced(to);
  }
  handover_.Flush(now, out);
}

/** Two owners of one flow: the one of the earlier epoch gives it up. */
void Agent::HandOverSuperseded(TimePoint now, Outbox& out) {
  for (auto& entry : flows_.TakeSuperseded()) {
    superseded_.push_back(std::move(entry));
  }
  std::vector<std::pair<Flow, Ownership>> later;
  for (const auto& [flow, winner] : superseded_) {
    const OwnedFlow* owned = flows_.Find(flow);
    if (owned == nullptr || owned->handing_over) continue;
    if (!handover_.Start(now, flow, winner.owner)) {
      later.emplace_back(flow, winner);
    }
  }
  superseded_ = std::move(later);
  handover_.Flush(now, out);
}

// ---- Load, liveness and memory.

void Agent::ReportLoad(TimePoint now, Outbox& out) {
  next_report_ = now + options_.load_report_period;
  schema::LoadReport report;
  report.sender = control_.self_id().value();
  report.in_flight = static_cast<int32_t>(runner_.queue().running());
  report.queued = static_cast<int32_t>(runner_.queue().queued());
  report.flows = static_cast<int32_t>(flows_.owned().size());
  report.slots = static_cast<int32_t>(runner_.queue().slots());
  report.answer_time_us = runner_.queue().mean_time().count();
  report.accepting = runner_.Accepting(now) && !stopping_;
  report.completed = runner_.counters().completed;
  report.uptime_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - started_)
          .count();
  loads_.OnReport(now, report);
  std::set<MemberId> peers;
  for (const auto& [id, service] : control_.services().services()) {
    if (!control_.services().Serves(control_.self_id(), id)) continue;
    peers.insert(service.agents.begin(), service.agents.end());
  }
  peers.erase(control_.self_id());
  std::vector<MemberId> chosen(peers.begin(), peers.end());
  for (size_t i = 0; i < chosen.size() && i < options_.load_report_fanout;
       ++i) {
    std::swap(chosen[i], chosen[i + random_.Below(chosen.size() - i)]);
    const Member* member = control_.membership().Find(chosen[i]);
    if (member != nullptr) out.Send(member->endpoint(), report);
  }
}

void Agent::ProbeSilentPeers(TimePoint now, Outbox& out) {
  for (const MemberId peer : liveness_.TakeProbes(now)) {
    const Member* member = control_.membership().Find(peer);
    if (member == nullptr || !member->present()) {
      liveness_.Forget(peer);
      continue;
    }
    out.Send(member->endpoint(), control_.MakePing(peer));
    if (liveness_.Silent(now, peer)) control_.membership().ProbeSoon(peer);
  }
}

void Agent::ExpireMemory(TimePoint now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kMemorySweepPeriod;
  messages_.Expire(now);
  nonces_.Expire(now);
  bodies_.Expire(now);
  echo_.Expire(now);
}

void Agent::BeginStop(TimePoint now) {
  stopping_ = true;
  stop_began_ = now;
  control_.BeginStop();
  next_report_ = now;  // Peers must not lend to us any more.
}

bool Agent::Stopped(TimePoint now) const {
  return flows_.owned().empty() && runner_.unfinished() == 0 &&
         handover_.under_way() == 0 && now - stop_began_ >= kShortestStop;
}

}  // namespace sesamesaddle
