// The part of Agent that handles CoAP requests, blocks and responses.

#include <utility>

#include "agent/agent.h"
#include "core/hash.h"
#include "schema/flow_key.h"

namespace sesamesaddle {
namespace {

constexpr int kHttpOk = 200;
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// A caller that has not requested the next block within this time has given up
// or has received the last one.
constexpr Duration kBlockTransferTimeout = std::chrono::milliseconds(1000);

}  // namespace

// ---- Requests.

void Agent::OnRequest(TimePoint now, const schema::Envelope& envelope,
                      const Flow& flow, const coap::Message& request,
                      Outbox& out) {
  ++counters_.requests;
  PendingRequest pending;
  pending.flow = flow;
  pending.balancer = Endpoint::Unpack(envelope.balancer);
  pending.request = request;
  pending.request.payload.clear();
  const MessageKey key{flow, request.message_id};
  std::string response;
  switch (messages_.Begin(now, key, &response)) {
    case MessageDeduplicator::State::kAnswered:
      ++counters_.repeated;
      SendDatagram(flow, pending.balancer, response, out);
      return;
    case MessageDeduplicator::State::kRunning:
    case MessageDeduplicator::State::kDelivered:
      ++counters_.repeated;
      return;
    case MessageDeduplicator::State::kNew:
      break;
  }
  if (RefuseUnsupported(now, pending, out)) return;
  if (ServeLaterBlock(now, pending, out)) return;
  if (!IsIdempotent(request.code)) {
    OnNonIdempotentRequest(now, envelope, std::move(pending), request, out);
    return;
  }
  const auto observe = request.FindUint(coap::OptionNumber::kObserve);
  constexpr uint32_t kRegister = 0;
  if (request.code == coap::Code::kGet && observe) {
    pending.observe = *observe == kRegister;
    if (!pending.observe) feeds_.Deregister(flow, request.token, out);
    if (pending.observe && ServeFromPolledTopic(now, pending, out)) return;
  }
  SubmitJob(now, std::move(pending), request.payload, out);
}

bool Agent::ServeFromPolledTopic(TimePoint now, const PendingRequest& pending,
                                 Outbox& out) {
  const OwnedFlow* owned = flows_.Find(pending.flow);
  if (owned == nullptr) return false;
  const TopicState* state =
      feeds_.FindState({owned->service, pending.request.Path()});
  if (state == nullptr) return false;
  JobResult result;
  result.kind = JobResult::Kind::kAnswered;
  result.status = kHttpOk;
  result.content_type = state->content_type;
  result.entity_tag = state->entity_tag;
  result.body = state->body;
  Reply(now, pending, MakeResponse(now, pending, result, out), out);
  return true;
}

bool Agent::RefuseUnsupported(TimePoint now, const PendingRequest& pending,
                              Outbox& out) {
  coap::Message response;
  if (HttpMethod(pending.request.code).empty()) {
    response.code = coap::Code::kMethodNotAllowed;
  } else if (pending.request.Find(coap::OptionNumber::kBlock1) != nullptr) {
    response.code = coap::Code::kRequestEntityTooLarge;
  } else if (pending.request.HasUnknownCriticalOption()) {
    response.code = coap::Code::kBadOption;
  } else {
    return false;
  }
  Reply(now, pending, std::move(response), out);
  return true;
}

bool Agent::ServeLaterBlock(TimePoint now, const PendingRequest& pending,
                            Outbox& out) {
  const auto value = pending.request.FindUint(coap::OptionNumber::kBlock2);
  if (!value) return false;
  const auto block = coap::Block::Unpack(*value);
  if (!block) {
    coap::Message response;
    response.code = coap::Code::kBadRequest;
    Reply(now, pending, std::move(response), out);
    return true;
  }
  if (block->number == 0) return false;
  const LargeBody* body = bodies_.Find(pending.flow, pending.request.Path());
  if (body == nullptr) {
    // Running the request again could yield a different response, whose blocks
    // must not be mixed with those that the caller has received.
    Reply(now, pending,
          NotRunResponse(NotRunReason::kAnswerExpired, kRetryAfter), out);
    return true;
  }
  RecordServedBlock(now, pending);
  Reply(now, pending, MakeBlock(*body, *block), out);
  return true;
}

void Agent::RecordServedBlock(TimePoint now, const PendingRequest& pending) {
  const std::string path = pending.request.Path();
  for (const uint16_t earlier :
       bodies_.TakeServedMessageIds(pending.flow, path)) {
    messages_.MarkDelivered({pending.flow, earlier});
  }
  bodies_.RecordServedBlock(pending.flow, path, pending.request.message_id);
  OwnedFlow* owned = flows_.Find(pending.flow);
  if (owned != nullptr) {
    owned->block_transfer_until = now + kBlockTransferTimeout;
  }
}

// ---- Non-idempotent requests.

void Agent::OnNonIdempotentRequest(TimePoint now,
                                   const schema::Envelope& envelope,
                                   PendingRequest pending,
                                   const coap::Message& request, Outbox& out) {
  const coap::Option* echo = request.Find(coap::OptionNumber::kEcho);
  if (echo == nullptr) {
    Challenge(now, pending, out);
    return;
  }
  const EchoCheck check = echo_.Check(now, pending.flow, echo->value);
  switch (check.status) {
    case EchoStatus::kFresh:
      RunNonIdempotentRequest(now, std::move(pending), request, check, out);
      return;
    case EchoStatus::kStale:
    case EchoStatus::kExpired:
      if (nonces_.Find(check.nonce) != nullptr) {
        RunNonIdempotentRequest(now, std::move(pending), request, check, out);
      } else if (check.status == EchoStatus::kStale) {
        // Nonces are stored for longer than Echo values are valid, so the
        // request has not run.
        Challenge(now, pending, out);
      } else {
        Reply(now, pending, UnknownOutcomeResponse(UnknownReason::kOwnerGone),
              out);
      }
      return;
    case EchoStatus::kOtherIssuer:
      ForwardToIssuer(now, envelope, check.issuer, pending, out);
      return;
    case EchoStatus::kMalformed:
      Challenge(now, pending, out);  // No agent accepts it, so nothing ran.
      return;
  }
}

void Agent::RunNonIdempotentRequest(TimePoint now, PendingRequest pending,
                                    const coap::Message& request,
                                    const EchoCheck& check, Outbox& out) {
  const std::string path = request.Path();
  const uint64_t digest = Hash64(request.payload, Hash64(path));
  auto state = RequestDeduplicator::State::kNew;
  if (options_.deduplicate_requests) {
    state = nonces_.Begin(now, check.nonce, pending.flow, digest);
  }
  switch (state) {
    case RequestDeduplicator::State::kNew:
      pending.has_nonce = true;
      pending.nonce = check.nonce;
      SubmitJob(now, std::move(pending), request.payload, out);
      return;
    case RequestDeduplicator::State::kRunning:
      // OnJobFinished responds to every message that waits for the nonce.
      pending.has_nonce = true;
      pending.nonce = check.nonce;
      pending_.emplace(runner_.NewCallId(), std::move(pending));
      return;
    case RequestDeduplicator::State::kAnswered: {
      ++counters_.repeated;
      auto response = coap::Parse(nonces_.Find(check.nonce)->answer);
      if (response) Reply(now, pending, std::move(*response), out);
      return;
    }
    case RequestDeduplicator::State::kRequestMismatch:
      Challenge(now, pending, out);
      return;
  }
}

void Agent::Challenge(TimePoint now, const PendingRequest& pending,
                      Outbox& out) {
  ++counters_.challenged;
  Reply(now, pending, EchoChallenge(echo_.Issue(now, pending.flow)), out);
}

void Agent::ForwardToIssuer(TimePoint now, const schema::Envelope& envelope,
                            MemberId issuer, const PendingRequest& pending,
                            Outbox& out) {
  const Member* member = control_.membership().Find(issuer);
  const bool reachable = member != nullptr && member->present() &&
                         !liveness_.Silent(now, issuer) &&
                         envelope.purpose != schema::Purpose::kEchoIssuer;
  if (!reachable) {
    // With a new Echo value the request could run a second time.
    ++counters_.unknown;
    Reply(now, pending, UnknownOutcomeResponse(UnknownReason::kOwnerGone), out);
    return;
  }
  // The issuer responds to this message and to its retransmissions.
  messages_.Abandon({pending.flow, pending.request.message_id});
  schema::Envelope copy = envelope;
  copy.recipient = issuer.value();
  copy.purpose = schema::Purpose::kEchoIssuer;
  copy.hops = static_cast<int16_t>(envelope.hops + 1);
  liveness_.OnSent(now, issuer);
  out.Send(member->endpoint(), std::move(copy));
}

// ---- Running requests and responding.

void Agent::SubmitJob(TimePoint now, PendingRequest pending,
                      const std::string& body, Outbox& out) {
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

void Agent::OnJobFinished(TimePoint now, CallId id, JobResult result,
                          Outbox& out) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  const PendingRequest pending = std::move(it->second);
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
  const coap::Message response = MakeResponse(now, pending, result, out);
  Reply(now, pending, response, out);
  if (!pending.has_nonce) return;
  if (result.kind == JobResult::Kind::kNotRun) {
    nonces_.Abandon(pending.nonce);
  } else {
    nonces_.Finish(now, pending.nonce, coap::Encode(response));
  }
  for (auto joined = pending_.begin(); joined != pending_.end();) {
    const PendingRequest& other = joined->second;
    if (!other.has_nonce || other.nonce != pending.nonce) {
      ++joined;
      continue;
    }
    Reply(now, other, response, out);
    joined = pending_.erase(joined);
  }
}

coap::Message Agent::MakeResponse(TimePoint now, const PendingRequest& pending,
                                  const JobResult& result, Outbox& out) {
  if (result.kind == JobResult::Kind::kNotRun) {
    return NotRunResponse(result.not_run_reason, kRetryAfter);
  }
  if (result.kind == JobResult::Kind::kUnknown) {
    return UnknownOutcomeResponse(result.unknown_reason);
  }
  const coap::Message& request = pending.request;
  coap::Message response = ResponseFromHttpStatus(request.code, result.status);
  if (const auto format = ContentFormat(result.content_type)) {
    response.AddUint(coap::OptionNumber::kContentFormat, *format);
  }
  LargeBody large;
  large.entity_tag = MakeEntityTag(result.body);
  large.body = result.body;
  OwnedFlow* owned = flows_.Find(pending.flow);
  if (pending.observe && response.code == coap::Code::kContent &&
      owned != nullptr) {
    const Topic topic{owned->service, request.Path()};
    const uint32_t sequence = feeds_.Register(
        now, pending.flow, request.token, topic,
        {result.entity_tag, result.content_type, result.body}, out);
    owned->feeds = static_cast<int>(feeds_.FeedCount(pending.flow));
    response.AddUint(coap::OptionNumber::kObserve, sequence);
    const auto max_age = std::chrono::duration_cast<std::chrono::seconds>(
        options_.feeds.max_age);
    response.AddUint(coap::OptionNumber::kMaxAge,
                     static_cast<uint32_t>(max_age.count()));
  }
  coap::Block asked;
  if (const auto value = request.FindUint(coap::OptionNumber::kBlock2)) {
    asked = coap::Block::Unpack(*value).value_or(asked);
  }
  if (result.body.size() <= asked.size() && asked.number == 0) {
    response.payload = result.body;
    return response;
  }
  large.head = response;
  response = MakeBlock(large, asked);
  bodies_.Put(now, pending.flow, request.Path(), std::move(large));
  RecordServedBlock(now, pending);
  return response;
}

void Agent::Reply(TimePoint now, const PendingRequest& pending,
                  coap::Message response, Outbox& out) {
  const coap::Message& request = pending.request;
  response.token = request.token;
  if (request.type == coap::Type::kConfirmable) {
    response.type = coap::Type::kAcknowledgement;
    response.message_id = request.message_id;
  } else {
    response.type = coap::Type::kNonConfirmable;
    response.message_id = static_cast<uint16_t>(random_.Next());
  }
  std::string bytes = coap::Encode(response);
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
  const Endpoint balancer = ChooseBalancer(last, notification.avoid_balancer);
  out.Send(balancer, std::move(answer));
  return {message.message_id, balancer};
}

Endpoint Agent::ChooseBalancer(const Endpoint& preferred,
                               const Endpoint& avoid) const {
  if (preferred != avoid && control_.IsUsableBalancer(preferred)) {
    return preferred;
  }
  return control_.RandomBalancer(avoid == Endpoint() ? preferred : avoid);
}

}  // namespace sesamesaddle
