#include "steering/flow_agent.h"

#include <algorithm>
#include <utility>

#include "schema/flow_key.h"

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "agent";
// An echo carries the index of the balancer and whether the packet was offered.
constexpr uint32_t kOfferedBit = 1U << 31;
constexpr uint32_t kEchoMark = 0x00a50000;
constexpr uint32_t kEchoMarkMask = 0x00ff0000;
constexpr size_t kMaxEchoBalancers = 0xffff;
// Weight of the newest response time in the moving average.
constexpr int kResponseShare = 8;
// A flow whose target answered the SYN and whose client did not go on.
constexpr Duration kOpeningLimit = std::chrono::seconds(3);

Flow ClientFlow(const PacketHeader& head) {
  return {head.source, head.destination};
}

Flow TargetFlow(const PacketHeader& head) {
  return {head.destination, head.source};
}

/** Whether sequence number `a` is later than `b`, modulo 2^32. */
bool After(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) > 0; }

}  // namespace

FlowAgent::FlowAgent(TimePoint now, FlowAgentOptions options,
                     const PacketCodec& codec, FlowAgentOutput& output,
                     EventLog& log, DurationObserver& response_times)
    : options_(std::move(options)),
      codec_(codec),
      output_(output),
      log_(log),
      response_times_(response_times),
      started_(now) {}

const std::string& FlowAgent::service() const {
  return target_monitor_.known() ? target_monitor_.announcement().service
                                 : options_.service;
}

void FlowAgent::OnBalancerPacket(TimePoint now, const Endpoint& balancer,
                                 char* packet, size_t size) {
  const auto head = codec_.Decode(std::string_view(packet, size));
  if (!head || (head->tag.kind != HopKind::kDirect &&
                head->tag.kind != HopKind::kOffer)) {
    ++counters_.malformed;
    return;
  }
  BalancerView& view = Touch(now, balancer);
  view.packets_since_report = true;
  if (head->syn) {
    view.owes_answer = true;
  } else if (head->tag.kind == HopKind::kDirect) {
    view.report_period = ReportPace::Unpack(head->echo);
  }
  const bool offered = head->tag.kind == HopKind::kOffer;
  if (head->tag.service_check != ServiceCheck(service())) {
    ++counters_.wrong_service;
    if (head->syn) {
      Refuse(now, balancer, ClientFlow(*head), "other-service", packet, size);
    } else {
      AnswerNotHeld(now, balancer, ClientFlow(*head), offered, packet, size);
    }
    return;
  }
  if (head->syn) {
    OnSyn(now, balancer, *head, packet, size);
  } else {
    OnData(now, balancer, *head, packet, size);
  }
}

void FlowAgent::OnQuery(TimePoint now, const Endpoint& balancer,
                        const schema::FlowQuery& query) {
  BalancerView& view = TouchUrgently(now, balancer);
  for (const schema::FlowKey& key : query.flows) {
    const Flow flow = FromKey(key);
    const auto it = flows_.find(flow);
    if (it == flows_.end()) {
      const bool sure = target_monitor_.gone() || KnowsAllFlows(now);
      (sure ? view.not_held : view.unsure).push_back(flow);
    } else if (it->second.state == FlowState::kOpen) {
      view.held.push_back(flow);
    } else {
      // Which of two targets a flow was opened at its next packet tells.
      view.unsure.push_back(flow);
    }
  }
}

void FlowAgent::OnSyn(TimePoint now, const Endpoint& balancer,
                      const PacketHeader& head, char* packet, size_t size) {
  ++counters_.syns;
  const Flow flow = ClientFlow(head);
  if (stopping_ || !target_monitor_.TakesFlows(now)) {
    const char* reason = stopping_                     ? "agent-stopping"
                         : !target_monitor_.known()    ? "target-unknown"
                         : target_monitor_.Silent(now) ? "target-silent"
                                                       : "target-leaving";
    Refuse(now, balancer, flow, reason, packet, size);
    return;
  }
  const auto it = flows_.find(flow);
  const bool copy =
      it != flows_.end() && it->second.syn_sequence == head.sequence;
  if (copy && it->second.state != FlowState::kOpening) {
    // The client has gone on since it sent this copy.
    ++counters_.late_syns;
    if (it->second.state == FlowState::kOpen) {
      TouchUrgently(now, balancer).held.push_back(flow);
    }
    return;
  }
  const int slots = target_monitor_.announcement().slots;
  if (copy ||
      (queue_.empty() && SynQueue::HasRoom(in_flight_ + expected_, slots))) {
    Open(now, balancer, flow, head.sequence, packet, size);
    return;
  }
  if (queue_.Contains(flow)) return;
  const SynTimes times = SynTimes::Unpack(head.echo);
  WaitingSyn syn{flow,         std::string(packet, size), head.sequence,
                 balancer,     head.tag.priority,         now,
                 times.waited, times.target_latency};
  if (!queue_.Push(std::move(syn), slots)) {
    Refuse(now, balancer, flow, "queue-full", packet, size);
    return;
  }
  ++counters_.queued;
  // The balancer need not look for another target meanwhile.
  Touch(now, balancer).accepted.push_back(flow);
}

void FlowAgent::Open(TimePoint now, const Endpoint& balancer, const Flow& flow,
                     uint32_t sequence, char* packet, size_t size) {
  const auto [it, added] = flows_.try_emplace(flow);
  FlowEntry& entry = it->second;
  const bool copy = !added && entry.state == FlowState::kOpening &&
                    entry.syn_sequence == sequence;
  if (!copy) {
    // A client's port that is used again names a new flow.
    StopCounting(entry);
    entry = FlowEntry();
    entry.syn_sequence = sequence;
    entry.client_sequence = sequence;
    entry.opened = now;
    Expect(now, flow, entry);
  }
  entry.last_packet = now;
  entry.balancer = balancer;
  target_monitor_.OnDelivered(now);
  codec_.SetHop(packet, HopTag(), MakeEcho(balancer, false));
  ++counters_.packets_to_target;
  output_.ToTarget(std::string_view(packet, size));
}

void FlowAgent::OnData(TimePoint now, const Endpoint& balancer,
                       const PacketHeader& head, char* packet, size_t size) {
  const Flow flow = ClientFlow(head);
  const bool offered = head.tag.kind == HopKind::kOffer;
  const auto it = flows_.find(flow);
  if (it == flows_.end()) {
    if (target_monitor_.gone() || KnowsAllFlows(now)) {
      AnswerNotHeld(now, balancer, flow, offered, packet, size);
      return;
    }
    // Started after its target: only the target knows.
    Deliver(now, head, nullptr, balancer, packet, size);
    return;
  }
  FlowEntry& entry = it->second;
  if (entry.state == FlowState::kEnded && target_monitor_.gone()) return;
  if (entry.state == FlowState::kOpening) {
    const uint32_t ahead = head.acknowledged - entry.target_sequence;
    if (!entry.sequence_known || ahead > 1) {
      // The client opened the flow at another target.
      AnswerNotHeld(now, balancer, flow, offered, packet, size);
      return;
    }
    handshakes_.Observe(now - entry.opened);
    entry.state = FlowState::kOpen;
    entry.opened = now;
    LogLine(log_, EventKind::kOpened, kPart, "flow-opened")
        .Add("flow", flow)
        .Add("service", service())
        .Add("target", target_monitor_.announcement().id)
        .Add("balancer", balancer)
        .Add("waiting", in_flight_);
  }
  if (offered || entry.balancer != balancer) {
    TouchUrgently(now, balancer).held.push_back(flow);
  }
  entry.balancer = balancer;
  Deliver(now, head, &entry, balancer, packet, size);
}

void FlowAgent::Deliver(TimePoint now, const PacketHeader& head,
                        FlowEntry* entry, const Endpoint& balancer,
                        char* packet, size_t size) {
  if (entry != nullptr) NoteClientPacket(now, head, *entry);
  if (head.payload_bytes > 0) target_monitor_.OnDelivered(now);
  const bool offered = head.tag.kind == HopKind::kOffer;
  codec_.SetHop(packet, HopTag(), MakeEcho(balancer, offered));
  ++counters_.packets_to_target;
  output_.ToTarget(std::string_view(packet, size));
}

void FlowAgent::NoteClientPacket(TimePoint now, const PacketHeader& head,
                                 FlowEntry& entry) {
  entry.last_packet = now;
  entry.client_acknowledged = head.acknowledged;
  if (head.reset) {
    entry.state = FlowState::kEnded;
    StopCounting(entry);
    return;
  }
  entry.client_ended = entry.client_ended || head.fin;
  const uint32_t end = head.sequence + head.payload_bytes;
  if (head.payload_bytes == 0 || !After(end, entry.client_sequence)) return;
  entry.client_sequence = end;
  StopExpecting(entry);
  if (entry.request_in_flight) return;
  entry.request_in_flight = true;
  entry.request_sent = now;
  ++in_flight_;
}

void FlowAgent::OnTargetPacket(TimePoint now, char* packet, size_t size) {
  const auto head = codec_.Decode(std::string_view(packet, size));
  if (!head) {
    ++counters_.malformed;
    return;
  }
  target_monitor_.OnHeard(now);
  if (head->returned) {
    OnReturned(now, *head, packet, size);
    return;
  }
  const Flow flow = TargetFlow(*head);
  const auto [it, added] = flows_.try_emplace(flow);
  FlowEntry& entry = it->second;
  const bool syn_answer = head->syn;
  if (added) {
    // A flow from before this process started.
    entry.opened = now;
    entry.state = syn_answer ? FlowState::kOpening : FlowState::kOpen;
  }
  entry.last_packet = now;
  if (syn_answer && entry.state == FlowState::kOpening) {
    const bool first = !entry.sequence_known;
    entry.sequence_known = true;
    entry.target_sequence = head->sequence;
    if (first && entry.balancer != Endpoint()) {
      ++counters_.accepted;
      Touch(now, entry.balancer).accepted.push_back(flow);
    }
  }
  if (head->payload_bytes > 0) {
    NoteAnswer(now, flow, entry, head->payload_bytes);
    ServeQueue(now);
  }
  if (head->reset) NoteBreak(entry);
  entry.target_ended = entry.target_ended || head->fin;
  if (head->reset || (entry.target_ended && entry.client_ended)) {
    StopCounting(entry);
    entry.state = FlowState::kEnded;
  }
  ++counters_.packets_to_clients;
  output_.ToClient(flow.caller, std::string_view(packet, size));
}

void FlowAgent::OnReturned(TimePoint now, const PacketHeader& head,
                           char* packet, size_t size) {
  ++counters_.returned_by_target;
  const Flow flow = ClientFlow(head);
  bool offered = false;
  const Endpoint balancer = BalancerOfEcho(head.echo, offered);
  const auto it = flows_.find(flow);
  if (head.syn) {
    if (it != flows_.end() && it->second.state == FlowState::kOpening &&
        !it->second.sequence_known) {
      Erase(it);
    }
    if (balancer != Endpoint()) {
      Refuse(now, balancer, flow, "target-full", packet, size);
    }
    return;
  }
  if (it == flows_.end()) {
    if (balancer != Endpoint()) {
      AnswerNotHeld(now, balancer, flow, offered, packet, size);
    }
    return;
  }
  if (it->second.state == FlowState::kEnded) return;
  // The target held the flow and has lost it: it was started anew.
  it->second.client_acknowledged = head.acknowledged;
  ResetFlow(flow, it->second, "target-lost-flow");
  Erase(it);
}

void FlowAgent::Refuse(TimePoint now, const Endpoint& balancer,
                       const Flow& flow, std::string_view reason, char* packet,
                       size_t size) {
  ++counters_.refused;
  LogLine(log_, EventKind::kRefused, kPart, "syn-refused")
      .Add("flow", flow)
      .Add("reason", reason)
      .Add("service", service())
      .Add("target", target_monitor_.announcement().id)
      .Add("waiting", in_flight_)
      .Add("balancer", balancer);
  TouchUrgently(now, balancer);
  codec_.SetHop(packet, {HopKind::kRefused, ServiceCheck(service())}, 0);
  output_.ToBalancer(balancer, std::string_view(packet, size));
}

void FlowAgent::AnswerNotHeld(TimePoint now, const Endpoint& balancer,
                              const Flow& flow, bool offered, char* packet,
                              size_t size) {
  ++counters_.not_held;
  if (offered) {
    TouchUrgently(now, balancer).not_held.push_back(flow);
    return;
  }
  codec_.SetHop(packet, {HopKind::kNotHeld, ServiceCheck(service())}, 0);
  output_.ToBalancer(balancer, std::string_view(packet, size));
}

void FlowAgent::ResetFlow(const Flow& flow, const FlowEntry& entry,
                          std::string_view reason) {
  ++counters_.resets;
  LogLine(log_, EventKind::kReset, kPart, "flow-reset")
      .Add("flow", flow)
      .Add("reason", reason)
      .Add("service", service())
      .Add("target", target_monitor_.announcement().id)
      .Add("waiting", entry.request_in_flight);
  output_.ToClient(flow.caller,
                   codec_.EncodeReset(flow, entry.client_acknowledged));
}

void FlowAgent::ResetAll(std::string_view reason) {
  for (auto& [flow, entry] : flows_) {
    if (entry.state == FlowState::kOpen) ResetFlow(flow, entry, reason);
    StopCounting(entry);
    // Remembered for the packets that clients have still sent.
    entry.state = FlowState::kEnded;
  }
}

AnnouncementEffect FlowAgent::OnAnnouncement(
    TimePoint now, const TargetAnnouncement& announcement) {
  const AnnouncementEffect effect =
      target_monitor_.OnAnnouncement(now, announcement);
  constexpr int64_t kFirstSequence = 1;
  if (effect == AnnouncementEffect::kNewIncarnation) {
    answers_.OnOtherTarget();
    NoteJudgement();
  }
  if (effect != AnnouncementEffect::kStale &&
      announcement.sequence == kFirstSequence) {
    // Packets reach a target through this process only, and it was there when
    // the target started.
    complete_ = true;
  }
  return effect;
}

bool FlowAgent::OnDeregister(TimePoint /*now*/, const std::string& id) {
  if (!target_monitor_.OnDeregister(id)) return false;
  ResetAll("target-ended");
  ReportToAll();
  return true;
}

void FlowAgent::NoteAnswer(TimePoint now, const Flow& flow, FlowEntry& entry,
                           size_t bytes) {
  if (!entry.request_in_flight) return;
  const Duration took = now - entry.request_sent;
  response_times_.Observe(took);
  response_time_ =
      response_time_ == Duration::zero()
          ? took
          : response_time_ + (took - response_time_) / kResponseShare;
  // A target that is full rejects requests, which is no fault of its own.
  const bool full =
      !SynQueue::HasRoom(in_flight_ - 1, target_monitor_.announcement().slots);
  StopWaiting(entry);
  if (full) return;
  answers_.OnAnswer(flow.service, took, bytes);
  NoteJudgement();
}

void FlowAgent::NoteBreak(const FlowEntry& entry) {
  // What comes after the end of a flow is answered by a reset, too.
  if (!entry.request_in_flight || entry.target_ended ||
      target_monitor_.announcement().draining) {
    return;
  }
  answers_.OnBrokenOff();
  NoteJudgement();
}

void FlowAgent::NoteJudgement() {
  if (failing_ == answers_.failing()) return;
  failing_ = answers_.failing();
  if (failing_) ++counters_.failing;
  LogLine(log_, EventKind::kBelief, kPart,
          failing_ ? "target-failing" : "target-serving")
      .Add("target", target_monitor_.announcement().id)
      .Add("service", service())
      .Add("failed_percent", static_cast<int>(100 * answers_.failed_share()))
      .Add("waiting", in_flight_);
  ReportToAll();
}

void FlowAgent::StopWaiting(FlowEntry& entry) {
  if (!entry.request_in_flight) return;
  entry.request_in_flight = false;
  --in_flight_;
}

void FlowAgent::StopCounting(FlowEntry& entry) {
  StopWaiting(entry);
  StopExpecting(entry);
}

void FlowAgent::Erase(FlowMap::iterator it) {
  StopCounting(it->second);
  flows_.erase(it);
}

bool FlowAgent::KnowsAllFlows(TimePoint now) const {
  return complete_ || now - started_ > options_.flow_lifetime;
}

uint32_t FlowAgent::MakeEcho(const Endpoint& balancer, bool offered) {
  auto it = std::find(echo_balancers_.begin(), echo_balancers_.end(), balancer);
  if (it == echo_balancers_.end()) {
    if (echo_balancers_.size() >= kMaxEchoBalancers) echo_balancers_.clear();
    it = echo_balancers_.insert(echo_balancers_.end(), balancer);
  }
  const auto index = static_cast<uint32_t>(it - echo_balancers_.begin());
  return kEchoMark | index | (offered ? kOfferedBit : 0);
}

Endpoint FlowAgent::BalancerOfEcho(uint32_t echo, bool& offered) const {
  const size_t index = echo & 0xffff;
  if ((echo & kEchoMarkMask) != kEchoMark || index >= echo_balancers_.size()) {
    return {};
  }
  offered = (echo & kOfferedBit) != 0;
  return echo_balancers_[index];
}

void FlowAgent::ForgetOldFlows(TimePoint now) {
  for (auto it = flows_.begin(); it != flows_.end();) {
    const FlowEntry& entry = it->second;
    const Duration idle = now - entry.last_packet;
    const Duration limit = entry.state == FlowState::kEnded ? kEndedLinger
                           : entry.state == FlowState::kOpening
                               ? kOpeningLimit
                               : options_.flow_lifetime;
    const auto next = std::next(it);
    if (entry.request_in_flight && now - entry.request_sent > kLongestWork) {
      StopWaiting(it->second);
    }
    if (idle > limit) Erase(it);
    it = next;
  }
}

}  // namespace sesamesaddle
