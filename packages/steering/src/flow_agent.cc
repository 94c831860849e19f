#include "steering/flow_agent.h"

#include <algorithm>
#include <utility>

#include "schema/flow_key.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "agent";
// The echo field carries the index of the balancer and whether the packet was
// offered.
constexpr uint32_t kOfferedBit = 1U << 31;
constexpr uint32_t kEchoMagic = 0x00a50000;
constexpr uint32_t kEchoMagicMask = 0x00ff0000;
constexpr size_t kMaxEchoBalancers = 0xffff;
// Each new response time moves the average by 1 / kResponseTimeDivisor.
constexpr int kResponseTimeDivisor = 8;

Flow ClientFlow(const PacketHeader& header) {
  return {header.source, header.destination};
}

Flow TargetFlow(const PacketHeader& header) {
  return {header.destination, header.source};
}

}  // namespace

FlowAgent::FlowAgent(TimePoint now, FlowAgentOptions options,
                     const PacketCodec& codec, FlowAgentOutput& output,
                     EventLog& log, DurationObserver& response_times)
    : options_(std::move(options)),
      codec_(codec),
      output_(output),
      log_(log),
      response_times_(response_times),
      queue_(options_.admission.order),
      assumed_cold_since_(now),
      recent_balancers_(options_.flow_lifetime),
      started_(now) {}

const std::string& FlowAgent::service() const {
  return target_monitor_.known() ? target_monitor_.announcement().service
                                 : options_.service;
}

void FlowAgent::OnBalancerPacket(TimePoint now, const Endpoint& balancer,
                                 char* packet, size_t size) {
  const auto hop = ReadAgentHop(codec_, std::string_view(packet, size));
  if (!hop || (hop->header.tag.kind != HopKind::kDirect &&
               hop->header.tag.kind != HopKind::kOffer)) {
    ++counters_.malformed;
    return;
  }
  if (hop->width == CheckWidth::kNarrow) ++counters_.narrow_checks;
  RecordBalancerPacket(now, balancer, *hop);
  const PacketHeader& header = hop->header;
  if (!hop->Names(service())) {
    ++counters_.wrong_service;
    RefuseOtherService(now, balancer, header, packet, hop->size);
  } else if (header.syn) {
    OnSyn(now, balancer, header, packet, hop->size);
  } else {
    OnData(now, balancer, header, packet, hop->size);
  }
}

void FlowAgent::RecordBalancerPacket(TimePoint now, const Endpoint& balancer,
                                     const AgentHop& hop) {
  BalancerState& balancer_state = RecordContact(now, balancer);
  last_contact_ = now;
  balancer_state.packets_since_report = true;
  if (hop.header.syn) {
    balancer_state.report_owed = true;
  } else if (hop.header.tag.kind == HopKind::kDirect) {
    balancer_state.report_period =
        hop.report_step ? ReportRateController::UnpackStep(*hop.report_step)
                        : ReportRateController::Unpack(hop.header.echo);
  }
}

void FlowAgent::RefuseOtherService(TimePoint now, const Endpoint& balancer,
                                   const PacketHeader& header, char* packet,
                                   size_t size) {
  const Flow flow = ClientFlow(header);
  if (header.syn) {
    RefuseSyn(now, balancer, flow, "other-service", packet, size);
  } else {
    const bool offered = header.tag.kind == HopKind::kOffer;
    ReplyNotHeld(now, balancer, flow, offered, packet, size);
  }
}

void FlowAgent::OnSyn(TimePoint now, const Endpoint& balancer,
                      const PacketHeader& header, char* packet, size_t size) {
  ++counters_.syns;
  const Flow flow = ClientFlow(header);
  if (stopping_ || !target_monitor_.AcceptsFlows(now)) {
    const char* reason = stopping_                     ? "agent-stopping"
                         : !target_monitor_.known()    ? "target-unknown"
                         : target_monitor_.Silent(now) ? "target-silent"
                                                       : "target-leaving";
    RefuseSyn(now, balancer, flow, reason, packet, size);
    return;
  }
  const auto it = flows_.find(flow);
  const bool retransmission =
      it != flows_.end() && IsCopyOfSyn(it->second, header.sequence);
  if (retransmission && it->second.state != FlowState::kOpening) {
    // A late retransmission: the client has sent further packets since.
    ++counters_.late_syns;
    if (it->second.state == FlowState::kOpen) {
      RecordUrgentContact(now, balancer).held.push_back(flow);
    }
    return;
  }
  if (!retransmission && RefuseIfEvacuated(now, balancer, flow, packet, size)) {
    return;
  }
  if (header.tag.kind == HopKind::kOffer) limit_awaited_ = true;
  const int slots = target_monitor_.announcement().slots;
  const SynTimes times = SynTimes::Unpack(header.echo);
  if (queue_.RecordCopy(flow, header.acknowledged)) return;
  QueuedSyn syn{flow,           std::string(packet, size), header.sequence,
                balancer,       header.tag.priority,       now,
                times.waited,   times.target_latency,      header.acknowledged,
                times.runs_once};
  if (retransmission || (queue_.empty() && HasRoom(now))) {
    OpenFlow(now, std::move(syn));
  } else {
    QueueOrRefuse(now, std::move(syn), slots);
  }
}

bool FlowAgent::IsCopyOfSyn(const FlowEntry& entry, uint32_t sequence) {
  if (entry.syn_sequence != 0) return entry.syn_sequence == sequence;
  return entry.client_sequence_end &&
         MayFollowSyn(*entry.client_sequence_end, sequence);
}

void FlowAgent::OpenFlow(TimePoint now, QueuedSyn syn) {
  const auto [it, added] = flows_.try_emplace(syn.flow);
  FlowEntry& entry = it->second;
  const bool retransmission = !added && entry.state == FlowState::kOpening &&
                              entry.syn_sequence == syn.sequence;
  if (!retransmission) {
    // A client that reuses its port opens a new flow, unless this is a late
    // copy of a SYN that this process has not seen.
    const bool may_be_open =
        entry.may_be_open || (!added && entry.syn_sequence == 0);
    ReleaseWork(entry);
    entry = FlowEntry();
    entry.may_be_open = may_be_open;
    entry.syn_sequence = syn.sequence;
    entry.client_sequence_end = syn.sequence;
    entry.runs_once = syn.runs_once;
    entry.opened = now;
    ExpectRequest(now, syn.flow, entry);
    slow_start_.Record(now);
  }
  entry.last_packet = now;
  entry.balancer = syn.balancer;
  target_monitor_.OnDelivered(now);
  codec_.SetHop(syn.packet.data(), HopTag(), EncodeEcho(syn.balancer, false));
  ++counters_.packets_to_target;
  output_.ToTarget(syn.packet);
}

void FlowAgent::OnData(TimePoint now, const Endpoint& balancer,
                       const PacketHeader& header, char* packet, size_t size) {
  const Flow flow = ClientFlow(header);
  const bool offered = header.tag.kind == HopKind::kOffer;
  const auto it = flows_.find(flow);
  if (it == flows_.end()) {
    // A balancer that sends a flow here saw its SYN taken, perhaps through an
    // earlier process and before the target announced itself.
    if (target_monitor_.gone() || (offered && TracksAllFlows(now))) {
      ReplyNotHeld(now, balancer, flow, offered, packet, size);
      return;
    }
    // This process started after its target.
    LetTargetDecide(now, header, balancer, packet, size);
    return;
  }
  FlowEntry& entry = it->second;
  if (entry.state == FlowState::kEnded && target_monitor_.gone()) return;
  if (entry.state == FlowState::kOpening) {
    const uint32_t ahead = header.acknowledged - entry.target_sequence;
    if (!entry.sequence_known || ahead > 1) {
      // The client opened the flow at another target, unless it did so here
      // before this process started, which then saw a late copy of the SYN.
      if (TracksAllFlows(now) && !entry.may_be_open) {
        ReplyNotHeld(now, balancer, flow, offered, packet, size);
      } else {
        LetTargetDecide(now, header, balancer, packet, size);
      }
      return;
    }
    handshake_time_.AddSample(now - entry.opened);
    entry.state = FlowState::kOpen;
    entry.opened = now;
    LogLine(log_, EventKind::kFlowOpened, kLogComponent, "flow-opened")
        .Add("flow", flow)
        .Add("service", service())
        .Add("target", target_monitor_.announcement().id)
        .Add("balancer", balancer)
        .Add("waiting", in_flight_);
  }
  if (offered || entry.balancer != balancer) {
    RecordUrgentContact(now, balancer).held.push_back(flow);
  }
  entry.balancer = balancer;
  DeliverToTarget(now, header, &entry, balancer, packet, size);
}

void FlowAgent::LetTargetDecide(TimePoint now, const PacketHeader& header,
                                const Endpoint& balancer, char* packet,
                                size_t size) {
  if (header.tag.kind == HopKind::kOffer) {
    offers_[ClientFlow(header)] = {balancer, now};
  }
  DeliverToTarget(now, header, nullptr, balancer, packet, size);
}

void FlowAgent::DeliverToTarget(TimePoint now, const PacketHeader& header,
                                FlowEntry* entry, const Endpoint& balancer,
                                char* packet, size_t size) {
  if (entry != nullptr) RecordClientPacket(now, header, *entry);
  if (header.payload_bytes > 0) target_monitor_.OnDelivered(now);
  const bool offered = header.tag.kind == HopKind::kOffer;
  codec_.SetHop(packet, HopTag(), EncodeEcho(balancer, offered));
  ++counters_.packets_to_target;
  output_.ToTarget(std::string_view(packet, size));
}

void FlowAgent::RecordClientPacket(TimePoint now, const PacketHeader& header,
                                   FlowEntry& entry) {
  entry.last_packet = now;
  entry.client_acknowledged = header.acknowledged;
  if (header.reset) {
    entry.state = FlowState::kEnded;
    ReleaseWork(entry);
    return;
  }
  entry.client_ended = entry.client_ended || header.fin;
  const uint32_t end = header.sequence + header.payload_bytes;
  const bool repeated =
      entry.client_sequence_end && !IsAfter(end, *entry.client_sequence_end);
  if (header.payload_bytes == 0 || repeated) return;
  entry.client_sequence_end = end;
  CancelExpectedRequest(entry);
  if (entry.request_in_flight) return;
  entry.request_in_flight = true;
  entry.request_sent = now;
  ++in_flight_;
}

void FlowAgent::OnTargetPacket(TimePoint now, char* packet, size_t size) {
  const auto header = codec_.Decode(std::string_view(packet, size));
  if (!header) {
    ++counters_.malformed;
    return;
  }
  target_monitor_.OnReceived(now);
  if (restart_detector_.OnTargetPacket(now)) {
    OnTargetRestarted(now, "port-closed");
  }
  if (header->returned) {
    OnReturned(now, *header, packet, size);
    return;
  }
  const Flow flow = TargetFlow(*header);
  const auto [it, added] = flows_.try_emplace(flow);
  FlowEntry& entry = it->second;
  const bool syn_ack = header->syn;
  if (added) {
    // The flow was opened before this process started.
    entry.opened = now;
    entry.state = syn_ack ? FlowState::kOpening : FlowState::kOpen;
    AnswerOffer(now, flow);
  } else if (entry.state == FlowState::kOpening && header->payload_bytes > 0) {
    // The target answers on a flow that was opened before this process started.
    entry.state = FlowState::kOpen;
    entry.opened = now;
    AnswerOffer(now, flow);
  }
  entry.last_packet = now;
  entry.last_target_packet = now;
  if (syn_ack && entry.state == FlowState::kOpening) {
    const bool first = !entry.sequence_known;
    entry.sequence_known = true;
    entry.target_sequence = header->sequence;
    if (first && entry.balancer != Endpoint()) {
      ++counters_.accepted;
      RecordContact(now, entry.balancer).accepted.push_back(flow);
    }
  }
  if (header->payload_bytes > 0) {
    RecordResponse(now, flow, entry, header->payload_bytes);
    DispatchQueue(now);
  }
  if (header->reset) RecordTargetReset(entry);
  entry.target_ended = entry.target_ended || header->fin;
  if (header->reset || (entry.target_ended && entry.client_ended)) {
    ReleaseWork(entry);
    entry.state = FlowState::kEnded;
  }
  ++counters_.packets_to_clients;
  output_.ToClient(flow.caller, std::string_view(packet, size));
}

void FlowAgent::OnReturned(TimePoint now, const PacketHeader& header,
                           char* packet, size_t size) {
  ++counters_.returned_by_target;
  const Flow flow = ClientFlow(header);
  bool offered = false;
  const Endpoint balancer = DecodeEcho(header.echo, offered);
  const auto it = flows_.find(flow);
  if (header.syn) {
    if (it != flows_.end() && it->second.state == FlowState::kOpening &&
        !it->second.sequence_known) {
      Erase(it);
    }
    if (balancer != Endpoint()) {
      RefuseSyn(now, balancer, flow, "target-full", packet, size);
    }
    return;
  }
  if (it == flows_.end() || it->second.state == FlowState::kOpening) {
    offers_.erase(flow);
    if (balancer != Endpoint()) {
      ReplyNotHeld(now, balancer, flow, offered, packet, size);
    }
    return;
  }
  if (it->second.state == FlowState::kEnded) return;
  // The target held the flow and lost it by a restart.
  if (restart_detector_.OnLostFlow(now, it->second.opened,
                                   it->second.last_target_packet)) {
    OnTargetRestarted(now, "flow-returned");
  }
  it->second.client_acknowledged = header.acknowledged;
  ResetFlow(flow, it->second, "target-lost-flow");
  Erase(it);
}

void FlowAgent::RefuseSyn(TimePoint now, const Endpoint& balancer,
                          const Flow& flow, std::string_view reason,
                          char* packet, size_t size) {
  ++counters_.refused;
  LogLine(log_, EventKind::kFlowRefused, kLogComponent, "syn-refused")
      .Add("flow", flow)
      .Add("reason", reason)
      .Add("service", service())
      .Add("target", target_monitor_.announcement().id)
      .Add("waiting", in_flight_)
      .Add("balancer", balancer);
  RecordUrgentContact(now, balancer);
  codec_.SetHop(packet, {HopKind::kRefused, ServiceCheck(service())}, 0);
  output_.ToBalancer(balancer, std::string_view(packet, size));
}

void FlowAgent::ReplyNotHeld(TimePoint now, const Endpoint& balancer,
                             const Flow& flow, bool offered, char* packet,
                             size_t size) {
  ++counters_.not_held;
  if (offered) {
    RecordUrgentContact(now, balancer).not_held.push_back(flow);
    return;
  }
  codec_.SetHop(packet, {HopKind::kNotHeld, ServiceCheck(service())}, 0);
  output_.ToBalancer(balancer, std::string_view(packet, size));
}

void FlowAgent::ResetFlow(const Flow& flow, const FlowEntry& entry,
                          std::string_view reason) {
  ++counters_.resets;
  LogLine(log_, EventKind::kFlowReset, kLogComponent, "flow-reset")
      .Add("flow", flow)
      .Add("reason", reason)
      .Add("service", service())
      .Add("target", target_monitor_.announcement().id)
      .Add("waiting", entry.request_in_flight);
  output_.ToClient(flow.caller,
                   codec_.EncodeReset(flow, entry.client_acknowledged));
}

AnnouncementEffect FlowAgent::OnAnnouncement(
    TimePoint now, const TargetAnnouncement& announcement) {
  const AnnouncementEffect effect =
      target_monitor_.OnAnnouncement(now, announcement);
  constexpr int64_t kFirstSequence = 1;
  if (effect == AnnouncementEffect::kNewIncarnation) {
    failure_detector_.OnNewIncarnation();
    restart_detector_.OnNewTarget(now);
    UpdateFailing();
  }
  if (effect == AnnouncementEffect::kNewIncarnation ||
      (target_monitor_.known() && !target_known_since_)) {
    target_known_since_ = now;
  }
  if (target_monitor_.TakeFormerEnded()) ResetFormerFlows();
  if (effect != AnnouncementEffect::kStale) ResolveRecall(now);
  if (effect != AnnouncementEffect::kStale && target_monitor_.confirmed() &&
      target_monitor_.first_sequence() == kFirstSequence) {
    // Packets reach a target only through this process, which was running when
    // the target started.
    saw_target_start_ = true;
  }
  if (effect == AnnouncementEffect::kStale) {
    LearnReplacement(now, announcement);
    return effect;
  }
  if (!restart_detector_.OnAnnouncement(announcement.sent_after)) return effect;
  const bool cold_again = LearnColdTime(now, announcement);
  // Balancers learn from the entry that they should send the limit again.
  return cold_again ? std::max(effect, AnnouncementEffect::kChanged) : effect;
}

bool FlowAgent::OnDeregister(TimePoint now, const std::string& id,
                             TimePoint sent_after) {
  if (!target_monitor_.OnDeregister(now, id, sent_after)) return false;
  ResetFlowsOfEndedTarget(now);
  if (stopping_) {
    ReportToRecent(now);  // Corrects the reports of a restart.
  } else {
    ReportToAll();
  }
  return true;
}

void FlowAgent::RecordResponse(TimePoint now, const Flow& flow,
                               FlowEntry& entry, size_t bytes) {
  if (!entry.request_in_flight) return;
  const Duration took = now - entry.request_sent;
  response_times_.Observe(took);
  response_time_ =
      response_time_ == Duration::zero()
          ? took
          : response_time_ + (took - response_time_) / kResponseTimeDivisor;
  // A full target rejects requests, which is not counted as a failure.
  const bool full =
      !SynQueue::HasRoom(in_flight_ - 1, target_monitor_.announcement().slots);
  EndRequest(entry);
  if (full) return;
  failure_detector_.OnResponse(flow.service, took, bytes);
  UpdateFailing();
}

void FlowAgent::RecordTargetReset(const FlowEntry& entry) {
  // A target also answers packets after the end of a flow by a reset.
  if (!entry.request_in_flight || entry.target_ended ||
      target_monitor_.announcement().draining) {
    return;
  }
  failure_detector_.OnReset();
  UpdateFailing();
}

void FlowAgent::UpdateFailing() {
  if (failing_ == failure_detector_.failing()) return;
  failing_ = failure_detector_.failing();
  if (failing_) ++counters_.failing;
  LogLine(log_, EventKind::kStateChange, kLogComponent,
          failing_ ? "target-failing" : "target-serving")
      .Add("target", target_monitor_.announcement().id)
      .Add("service", service())
      .Add("failed_percent",
           static_cast<int>(100 * failure_detector_.failure_rate()))
      .Add("waiting", in_flight_);
  ReportToAll();
}

void FlowAgent::EndRequest(FlowEntry& entry) {
  if (!entry.request_in_flight) return;
  entry.request_in_flight = false;
  --in_flight_;
}

void FlowAgent::ReleaseWork(FlowEntry& entry) {
  EndRequest(entry);
  CancelExpectedRequest(entry);
}

void FlowAgent::Erase(FlowMap::iterator it) {
  ReleaseWork(it->second);
  flows_.erase(it);
}

bool FlowAgent::TracksAllFlows(TimePoint now) const {
  return saw_target_start_ || inherited_all_flows_ ||
         now - started_ > options_.flow_lifetime;
}

uint32_t FlowAgent::EncodeEcho(const Endpoint& balancer, bool offered) {
  auto it = std::find(echo_balancers_.begin(), echo_balancers_.end(), balancer);
  if (it == echo_balancers_.end()) {
    if (echo_balancers_.size() >= kMaxEchoBalancers) echo_balancers_.clear();
    it = echo_balancers_.insert(echo_balancers_.end(), balancer);
  }
  const auto index = static_cast<uint32_t>(it - echo_balancers_.begin());
  return kEchoMagic | index | (offered ? kOfferedBit : 0);
}

Endpoint FlowAgent::DecodeEcho(uint32_t echo, bool& offered) const {
  const size_t index = echo & 0xffff;
  if ((echo & kEchoMagicMask) != kEchoMagic ||
      index >= echo_balancers_.size()) {
    return {};
  }
  offered = (echo & kOfferedBit) != 0;
  return echo_balancers_[index];
}

}  // namespace sesamesaddle
