#include "agent/agent.h"

#include <algorithm>
#include <utility>

#include "schema/flow_key.h"

namespace sesamesaddle {
namespace {

// Peers that have not been informed of the stop would offload requests to an
// agent that has exited, with unknown outcome. Several load reports inform them
// within this time.
constexpr Duration kMinStopDuration = std::chrono::milliseconds(1500);
// Much shorter than the first retransmission delay of a notification (400 ms).
constexpr Duration kFeedTickPeriod = std::chrono::milliseconds(50);
constexpr Duration kExpiryPeriod = std::chrono::seconds(5);

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
          [this](TimePoint now, const Flow& flow, Outbox& out) {
            DropFlow(now, flow, out);
          },
          [this](TimePoint now, const Flow& flow) {
            echo_.Revoke(now, flow);
          }) {}

// ---- Messages and time.

void Agent::OnMessage(TimePoint now, const Endpoint& from,
                      const schema::PeerMessage& message, Outbox& out) {
  now_ = now;
  if (control_.OnMessage(now, from, message, out)) {
    if (message.__isset.gossip) {
      liveness_.OnReceived(now, MemberId(message.gossip.sender.id));
    }
    ReactToChanges(now, out);
  }
  if (message.__isset.envelope && !control_.RecentlyPaused(now)) {
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
    liveness_.OnReceived(now, MemberId(message.directory_update.sender));
    flows_.OnUpdate(from, message.directory_update, out);
  }
  if (message.__isset.directory_ack) flows_.OnAck(message.directory_ack);
  if (message.__isset.load_report) {
    liveness_.OnReceived(now, MemberId(message.load_report.sender));
    loads_.OnReport(now, message.load_report);
  }
  if (message.__isset.run_request) {
    liveness_.OnReceived(now, MemberId(message.run_request.sender));
    runner_.OnRunRequest(now, from, message.run_request, out);
  }
  if (message.__isset.run_result) {
    liveness_.OnReceived(now, MemberId(message.run_result.sender));
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
    liveness_.OnReceived(now, MemberId(message.handover_ack.sender));
    handover_.OnAck(now, message.handover_ack, out);
  }
  ProcessReadyWork(now, out);
}

void Agent::OnTargetResponse(TimePoint now, CallId id, TargetResponse response,
                             Outbox& out) {
  now_ = now;
  if (!feeds_.OnTargetResponse(now, id, response, out)) {
    runner_.OnTargetResponse(now, id, std::move(response), out);
  }
  ProcessReadyWork(now, out);
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
    next_feeds_ = now + kFeedTickPeriod;
    feeds_.OnTick(now, out);
  }
  handover_.OnTick(now, out);
  HandOverSuperseded(now, out);
  HandOverFlows(now, out);
  control_.ProbeSilentPeers(now, liveness_, out);
  ExpireCaches(now);
  ProcessReadyWork(now, out);
}

void Agent::ProcessReadyWork(TimePoint now, Outbox& out) {
  ServeReady(now, out);
  while (true) {
    auto finished = runner_.TakeFinished();
    if (finished.empty()) return;
    for (auto& [id, result] : finished) {
      OnJobFinished(now, id, std::move(result), out);
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
  StartDrainGrace(now);
  ProcessDeferred(now, out);
}

void Agent::StartDrainGrace(TimePoint now) {
  const bool leaving = control_.services().Leaving(control_.self_id());
  if (leaving && !was_leaving_) {
    for (const auto& [id, entry] : control_.services().services()) {
      const auto grace =
          std::chrono::milliseconds(entry.service.drain_grace_ms);
      runner_.LimitRunningDeadlines(id, now + grace);
    }
  }
  was_leaving_ = leaving;
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

bool Agent::CheckIdentity(TimePoint now, const Endpoint& from,
                          const schema::Envelope& envelope, Outbox& out) {
  if (MemberId(envelope.recipient) != control_.self_id()) {
    SendMisrouted(from, envelope, schema::MisrouteReason::kWrongRecipient, out);
    return false;
  }
  if (control_.replica().revision() < Revision(envelope.revision)) {
    control_.OnPeerRevision(now, from, Revision(envelope.revision), out);
    if (deferred_envelopes_.size() < options_.max_deferred_envelopes) {
      deferred_envelopes_.emplace_back(from, envelope);
    }
    return false;
  }
  const ServiceId service(envelope.service_id);
  const ServiceEntry* entry =
      control_.services().FindByAddress(FlowOf(envelope).service);
  const bool service_matches =
      entry != nullptr && ServiceId(entry->service.id) == service;
  const bool known_flow = flows_.Find(FlowOf(envelope)) != nullptr;
  // A flow owned here is served until its handover, even if the agent no longer
  // serves its service.
  if (!service_matches || !(known_flow || control_.services().Serves(
                                              control_.self_id(), service))) {
    SendMisrouted(from, envelope, schema::MisrouteReason::kWrongService, out);
    return false;
  }
  return true;
}

void Agent::SendMisrouted(const Endpoint& from,
                          const schema::Envelope& envelope,
                          schema::MisrouteReason::type reason, Outbox& out) {
  ++counters_.misrouted;
  schema::Misrouted refusal;
  refusal.envelope = envelope;
  refusal.reason = reason;
  refusal.revision = control_.replica().revision().value();
  out.Send(from, std::move(refusal));
}

void Agent::ProcessDeferred(TimePoint now, Outbox& out) {
  auto deferred = std::exchange(deferred_envelopes_, {});
  for (const auto& [from, envelope] : deferred) {
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
    coap::Message reply;
    reply.message_id = header->message_id;
    reply.type = coap::Type::kReset;
    if (message.error() == coap::ParseError::kTooLarge) {
      reply.type = coap::Type::kAcknowledgement;
      reply.code = coap::Code::kRequestEntityTooLarge;
      reply.token = header->token;
    }
    SendDatagram(flow, Endpoint::Unpack(envelope.balancer), coap::Encode(reply),
                 out);
    return;
  }
  switch (message->type) {
    case coap::Type::kAcknowledgement:
      feeds_.OnAcknowledged(now, flow, message->message_id, out);
      return;
    case coap::Type::kReset:
      feeds_.OnReset(flow, message->message_id, out);
      if (OwnedFlow* owned = flows_.Find(flow)) {
        owned->feeds = static_cast<int>(feeds_.FeedCount(flow));
      }
      return;
    default:
      break;
  }
  if (message->IsRequest()) {
    OnRequest(now, envelope, flow, *message, out);
  } else if (message->type == coap::Type::kConfirmable) {
    // A CoAP ping (RFC 7252, section 4.3) or an unexpected message.
    coap::Message reset;
    reset.type = coap::Type::kReset;
    reset.message_id = message->message_id;
    SendDatagram(flow, Endpoint::Unpack(envelope.balancer), coap::Encode(reset),
                 out);
  }
}

// ---- Load reports, expiry and stopping.

void Agent::ReportLoad(TimePoint now, Outbox& out) {
  next_report_ = now + options_.load_report_period;
  schema::LoadReport report;
  report.sender = control_.self_id().value();
  report.in_flight = static_cast<int32_t>(runner_.queue().running());
  report.queued = static_cast<int32_t>(runner_.queue().queued());
  report.flows = static_cast<int32_t>(flows_.owned().size());
  report.slots = static_cast<int32_t>(runner_.queue().slots());
  report.answer_time_us = runner_.queue().mean_service_time().count();
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

void Agent::ExpireCaches(TimePoint now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  messages_.Expire(now);
  nonces_.Expire(now);
  bodies_.Expire(now);
  echo_.Expire(now);
}

void Agent::BeginStop(TimePoint now) {
  stopping_ = true;
  stop_began_ = now;
  control_.BeginStop();
  next_report_ = now;  // So that peers stop offloading to this agent.
}

bool Agent::Stopped(TimePoint now) const {
  return flows_.owned().empty() && runner_.unfinished() == 0 &&
         handover_.flows_in_transit() == 0 &&
         now - stop_began_ >= kMinStopDuration;
}

}  // namespace sesamesaddle
