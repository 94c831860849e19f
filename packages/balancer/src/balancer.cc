#include "balancer/balancer.h"

#include <algorithm>

#include "routing/rendezvous.h"

namespace sesamesaddle {
namespace {

constexpr int16_t kMaxReroutes = 3;

}  // namespace

Balancer::Balancer(const schema::MemberRecord& self,
                   const BalancerOptions& options, RandomSource& random)
    : options_(options),
      control_(self, options.membership, random),
      queue_(options.queue_capacity),
      hints_(options.hint_capacity) {}

void Balancer::OnCallerDatagram(TimePoint now, const Flow& flow,
                                std::string payload, Outbox& out) {
  ++counters_.from_callers;
  if (control_.RecentlyPaused(now)) {
    ++counters_.dropped_stale;
    return;
  }
  const ServiceEntry* entry = control_.services().FindByAddress(flow.service);
  if (entry == nullptr) {
    ++counters_.unknown_service;
    return;
  }
  if (!queue_.Push(entry->service.priority, {flow, std::move(payload), now})) {
    ++counters_.dropped_overload;
  }
  SendQueued(now, out);
}

void Balancer::OnMessage(TimePoint now, const Endpoint& from,
                         const schema::PeerMessage& message, Outbox& out) {
  if (control_.OnMessage(now, from, message, out)) {
    if (message.__isset.gossip) {
      liveness_.OnReceived(now, MemberId(message.gossip.sender.id));
    }
    return;
  }
  if (message.__isset.answer) OnAnswer(now, message.answer, out);
  if (message.__isset.misrouted) {
    OnMisrouted(now, from, message.misrouted, out);
  }
}

void Balancer::OnTick(TimePoint now, Outbox& out) {
  control_.OnTick(now, out);
  if (control_.membership().TakeResumed()) liveness_.Reset();
  RemoveDepartedMembers();
  control_.ProbeSilentPeers(now, liveness_, out);
  SendQueued(now, out);
}

void Balancer::SendQueued(TimePoint now, Outbox& out) {
  if (options_.max_datagrams_per_second == 0) {
    while (auto next = queue_.Pop()) {
      Route(now, next->flow, next->payload, 0, out);
    }
    return;
  }
  const double rate = options_.max_datagrams_per_second;
  const double elapsed =
      std::chrono::duration<double>(now - tokens_updated_at_).count();
  // The burst is limited to a tenth of a second of traffic.
  tokens_ = std::min(tokens_ + elapsed * rate, std::max(1.0, rate / 10));
  tokens_updated_at_ = now;
  while (tokens_ >= 1) {
    auto next = queue_.Pop();
    if (!next) return;
    tokens_ -= 1;
    Route(now, next->flow, next->payload, 0, out);
  }
}

void Balancer::Route(TimePoint now, const Flow& flow,
                     const std::string& payload, int16_t hops, Outbox& out) {
  const ServiceEntry* entry = control_.services().FindByAddress(flow.service);
  if (entry == nullptr) {
    ++counters_.unknown_service;
    return;
  }
  schema::Envelope envelope;
  envelope.purpose = schema::Purpose::kRoute;
  const MemberId agent = ChooseAgent(now, *entry, flow, &envelope.purpose);
  const Member* member = control_.membership().Find(agent);
  if (member == nullptr) {
    ++counters_.no_agent;
    return;
  }
  envelope.service_id = entry->service.id;
  envelope.flow.caller = flow.caller.Pack();
  envelope.flow.service_address = flow.service.Pack();
  envelope.revision = control_.replica().revision().value();
  envelope.balancer = control_.membership().self().endpoint;
  envelope.hops = hops;
  envelope.recipient = agent.value();
  envelope.payload = payload;
  envelope.epoch = 0;
  liveness_.OnSent(now, agent);
  out.Send(member->endpoint(), std::move(envelope));
}

MemberId Balancer::ChooseAgent(TimePoint now, const ServiceEntry& entry,
                               const Flow& flow,
                               schema::Purpose::type* purpose) {
  if (const auto hint = hints_.Find(flow)) {
    const bool serves = std::find(entry.agents.begin(), entry.agents.end(),
                                  *hint) != entry.agents.end();
    if (serves && !liveness_.Silent(now, *hint)) {
      ++counters_.hints_used;
      *purpose = schema::Purpose::kForward;
      return *hint;
    }
    hints_.Remove(flow);
  }
  const HomeAgents homes = FindHomeAgents(flow, entry.home_candidates);
  const bool pass_over = liveness_.Silent(now, homes.first) &&
                         homes.second != MemberId() &&
                         !liveness_.Silent(now, homes.second);
  if (!pass_over) return homes.first;
  ++counters_.silent_agents_passed_over;
  return homes.second;
}

void Balancer::OnAnswer(TimePoint now, const schema::Answer& answer,
                        Outbox& out) {
  const Flow flow{Endpoint::Unpack(answer.flow.caller),
                  Endpoint::Unpack(answer.flow.service_address)};
  liveness_.OnReceived(now, MemberId(answer.owner));
  hints_.Put(flow, MemberId(answer.owner));
  ++counters_.to_callers;
  out.Add(SendToCaller{flow, answer.payload});
}

void Balancer::OnMisrouted(TimePoint now, const Endpoint& from,
                           const schema::Misrouted& misrouted, Outbox& out) {
  ++counters_.misrouted;
  const schema::Envelope& envelope = misrouted.envelope;
  const MemberId recipient(envelope.recipient);
  const Flow flow{Endpoint::Unpack(envelope.flow.caller),
                  Endpoint::Unpack(envelope.flow.service_address)};
  hints_.Remove(flow);
  control_.OnPeerRevision(now, from, Revision(misrouted.revision), out);
  if (misrouted.reason == schema::MisrouteReason::kWrongRecipient) {
    // Another process uses this address: gossip finds out which member is gone.
    control_.membership().PrioritizeProbe(recipient);
  } else {
    liveness_.OnReceived(now, recipient);
  }
  if (envelope.hops >= kMaxReroutes) return;  // The caller retransmits it.
  Route(now, flow, envelope.payload, static_cast<int16_t>(envelope.hops + 1),
        out);
}

void Balancer::RemoveDepartedMembers() {
  for (const MemberChange& change : control_.TakeMemberChanges()) {
    if (!change.member.present()) liveness_.Forget(change.member.id());
  }
}

}  // namespace sesamesaddle
