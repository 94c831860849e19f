// The part of FlowAgent that handles queued SYNs, expected requests and
// reports.

#include <algorithm>
#include <utility>

#include "schema/flow_key.h"
#include "steering/flow_agent.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "agent";
constexpr Duration kSweepPeriod = std::chrono::seconds(1);
// Time after which a flow is dropped whose target sent the SYN-ACK, but whose
// client sent nothing further.
constexpr Duration kOpeningTimeout = std::chrono::seconds(3);

int32_t ClipMilliseconds(Duration time) {
  constexpr Duration kMax = std::chrono::minutes(1);
  return static_cast<int32_t>(std::min(time, kMax) /
                              std::chrono::milliseconds(1));
}

std::vector<schema::FlowKey> TakeKeys(std::vector<Flow>& flows, size_t limit) {
  std::vector<schema::FlowKey> keys;
  const size_t count = std::min(flows.size(), limit);
  for (size_t i = 0; i < count; ++i) keys.push_back(ToKey(flows[i]));
  flows.erase(flows.begin(), flows.begin() + static_cast<ptrdiff_t>(count));
  return keys;
}

}  // namespace

void FlowAgent::QueueOrRefuse(TimePoint now, QueuedSyn syn, int slots) {
  const Flow flow = syn.flow;
  const Endpoint balancer = syn.balancer;
  auto displaced = queue_.Push(now, std::move(syn), slots);
  if (displaced && displaced->flow == flow) {
    RefuseSyn(now, balancer, flow, "queue-full", displaced->packet.data(),
              displaced->packet.size());
    return;
  }
  ++counters_.queued;
  // The balancer then doesn't try another target meanwhile.
  RecordContact(now, balancer).accepted.push_back(flow);
  RecordHeldSyn(now, balancer);
  if (!displaced) return;
  ++counters_.displaced;
  std::vector<QueuedSyn> returned;
  returned.push_back(std::move(*displaced));
  ReturnQueued(now, std::move(returned), HopKind::kYielded);
}

Duration FlowAgent::ExpectedServiceTime() const {
  // Half of the mean is a margin for the spread of response times.
  return response_time_ + response_time_ / 2 + handshake_time_.Timeout();
}

void FlowAgent::DispatchQueue(TimePoint now) {
  if (queue_.empty()) return;
  queue_.SetServiceTime(ExpectedServiceTime());
  while (!queue_.empty() && HasRoom(now)) OpenFlow(now, *queue_.Pop(now));
}

void FlowAgent::ExpireQueue(TimePoint now) {
  if (queue_.empty()) return;
  if (stopping_ || !target_monitor_.AcceptsFlows(now)) {
    ReturnQueued(now, queue_.TakeAll(), HopKind::kRefused);
  } else {
    ReturnQueued(now, queue_.TakeExpired(now), HopKind::kYielded);
  }
}

void FlowAgent::ReturnQueued(TimePoint now, std::vector<QueuedSyn> syns,
                             HopKind kind) {
  for (QueuedSyn& syn : syns) {
    ++counters_.yielded;
    const Duration waited = syn.waited_before + (now - syn.arrived);
    LogLine(log_, EventKind::kFlowRefused, kLogComponent, "syn-returned")
        .Add("flow", syn.flow)
        .Add("waited", waited)
        .Add("target", target_monitor_.announcement().id)
        .Add("waiting", in_flight_)
        .Add("queued", queue_.size())
        .Add("balancer", syn.balancer);
    RecordUrgentContact(now, syn.balancer);
    codec_.SetHop(syn.packet.data(), {kind, ServiceCheck(service())},
                  SynTimes{waited, Duration::zero()}.Pack());
    output_.ToBalancer(syn.balancer, syn.packet);
  }
}

void FlowAgent::ExpectRequest(TimePoint now, const Flow& flow,
                              FlowEntry& entry) {
  entry.request_expected = true;
  ++expected_requests_;
  expected_flows_.emplace_back(now, flow);
}

void FlowAgent::CancelExpectedRequest(FlowEntry& entry) {
  if (!entry.request_expected) return;
  entry.request_expected = false;
  --expected_requests_;
}

/** A client that opened its flow at another target sends no request here. */
void FlowAgent::ExpireExpectedRequests(TimePoint now) {
  while (!expected_flows_.empty() &&
         now - expected_flows_.front().first > handshake_time_.Timeout()) {
    const auto it = flows_.find(expected_flows_.front().second);
    if (it != flows_.end()) CancelExpectedRequest(it->second);
    expected_flows_.pop_front();
  }
}

void FlowAgent::OnTick(TimePoint now) {
  urgent_ = false;
  RepeatStopReports(now);
  UpdateLimited(now);
  ResetUnansweredFlows(now);
  ExpireExpectedRequests(now);
  ExpireQueue(now);
  DispatchQueue(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepPeriod;
    ExpireFlows(now);
    recent_balancers_.Expire(now);
  }
  for (auto it = balancers_.begin(); it != balancers_.end();) {
    BalancerState& balancer_state = it->second;
    if (ReportDue(now, balancer_state)) {
      SendReport(now, it->first, balancer_state);
    }
    // Kept for a whole report period, so that a balancer that returns soon gets
    // no more reports than it asked for.
    const Duration kept =
        std::max(kBalancerIdleTimeout, balancer_state.report_period);
    if (now - balancer_state.last_packet <= kept) {
      ++it;
      continue;
    }
    recent_balancers_.Add(it->first, balancer_state.last_packet);
    it = balancers_.erase(it);
  }
}

void FlowAgent::ExpireFlows(TimePoint now) {
  for (auto it = flows_.begin(); it != flows_.end();) {
    const FlowEntry& entry = it->second;
    const Duration idle = now - entry.last_packet;
    const bool opening =
        entry.state == FlowState::kOpening && !entry.may_be_open;
    const Duration limit = entry.state == FlowState::kEnded
                               ? kEndedFlowRetention
                           : opening ? kOpeningTimeout
                                     : options_.flow_lifetime;
    const auto next = std::next(it);
    if (entry.request_in_flight && now - entry.request_sent > kMaxRequestTime) {
      EndRequest(it->second);
    }
    if (idle > limit) Erase(it);
    it = next;
  }
  for (auto it = offers_.begin(); it != offers_.end();) {
    it = now - it->second.at > kMaxRequestTime ? offers_.erase(it)
                                               : std::next(it);
  }
}

bool FlowAgent::ReportDue(TimePoint now,
                          const BalancerState& balancer_state) const {
  if (balancer_state.urgent) return true;
  const Duration since = now - balancer_state.last_report;
  const bool answers =
      balancer_state.report_owed || balancer_state.HasReplies();
  if (answers) return since >= kReportPeriod;
  const bool active = now - balancer_state.last_packet <= kBalancerIdleTimeout;
  const bool news = balancer_state.packets_since_report ||
                    balancer_state.reported_in_flight != in_flight_ ||
                    balancer_state.reported_room != slow_start_.Room(now);
  return active && news && since >= balancer_state.report_period;
}

void FlowAgent::SendReport(TimePoint now, const Endpoint& balancer,
                           BalancerState& balancer_state) {
  schema::AgentReport report;
  report.agent = options_.self.Pack();
  report.service_name = service();
  report.state = target_monitor_.state();
  report.silent = target_monitor_.Silent(now);
  report.queued = static_cast<int32_t>(queue_.size());
  report.slots = target_monitor_.announcement().slots;
  report.waiting = in_flight_;
  report.opening = expected_requests_;
  report.flows = static_cast<int32_t>(flows_.size());
  report.response_us = static_cast<int32_t>(response_time_.count());
  report.accepted = TakeKeys(balancer_state.accepted, kMaxFlowsPerReport);
  report.held = TakeKeys(balancer_state.held, kMaxFlowsPerReport);
  report.not_held = TakeKeys(balancer_state.not_held, kMaxFlowsPerReport);
  report.unsure = TakeKeys(balancer_state.unsure, kMaxFlowsPerReport);
  report.__set_failing(failing_);
  report.__set_reads_wide_check(true);
  if (const auto zone = zones_.Message(options_.zone)) report.__set_zone(*zone);
  if (target_known_since_) {
    report.__set_target_known_ms(ClipMilliseconds(now - *target_known_since_));
  }
  AddDigest(now, balancer_state, report);
  balancer_state.reported_room = slow_start_.Room(now);
  if (balancer_state.reported_room) {
    report.__set_slow_start_room(
        static_cast<int32_t>(*balancer_state.reported_room));
  }
  if (LacksLimit(now)) report.__set_lacks_slow_start_limit(true);
  report.restarting = stopping_ && !target_monitor_.gone();
  balancer_state.packets_since_report = false;
  balancer_state.report_owed = false;
  // After a restart of all processes there are more replies than fit a report.
  balancer_state.urgent = balancer_state.HasReplies();
  urgent_ = urgent_ || balancer_state.urgent;
  balancer_state.last_report = now;
  balancer_state.reported_in_flight = in_flight_;
  ++counters_.reports;
  output_.Report(balancer, report);
}

FlowAgent::BalancerState& FlowAgent::RecordContact(TimePoint now,
                                                   const Endpoint& balancer) {
  BalancerState& balancer_state = balancers_[balancer];
  balancer_state.last_packet = now;
  return balancer_state;
}

FlowAgent::BalancerState& FlowAgent::RecordUrgentContact(
    TimePoint now, const Endpoint& balancer) {
  urgent_ = true;
  BalancerState& balancer_state = RecordContact(now, balancer);
  balancer_state.urgent = true;
  return balancer_state;
}

std::string_view FlowAgent::NameOf(FlowState state) {
  switch (state) {
    case FlowState::kOpening:
      return "opening";
    case FlowState::kOpen:
      return "open";
    case FlowState::kEnded:
      return "ended";
  }
  return "unknown";
}

std::vector<AgentFlow> FlowAgent::Flows(TimePoint now) const {
  std::vector<AgentFlow> flows;
  flows.reserve(flows_.size());
  for (const auto& [flow, entry] : flows_) {
    flows.push_back({flow, entry.balancer, NameOf(entry.state),
                     entry.request_in_flight, now - entry.last_packet});
  }
  return flows;
}

std::vector<AgentPeer> FlowAgent::Peers(TimePoint now) const {
  std::vector<AgentPeer> peers;
  for (const auto& [balancer, balancer_state] : balancers_) {
    peers.push_back({balancer, now - balancer_state.last_packet,
                     balancer_state.report_period});
  }
  return peers;
}

void FlowAgent::ReportToAll() {
  for (auto& [endpoint, balancer_state] : balancers_) {
    balancer_state.urgent = true;
  }
  urgent_ = true;
}

void FlowAgent::ReportToRecent(TimePoint now) {
  for (const auto& [balancer, last_packet] : recent_balancers_.Take(now)) {
    BalancerState state;
    state.last_packet = last_packet;
    balancers_.try_emplace(balancer, std::move(state));
  }
  ReportToAll();
}

void FlowAgent::BeginStop(TimePoint now) {
  stopping_ = true;
  stop_reports_left_ = kStopReports;
  next_stop_report_ = now;
  RepeatStopReports(now);
}

void FlowAgent::RepeatStopReports(TimePoint now) {
  if (stop_reports_left_ == 0 || now < next_stop_report_) return;
  --stop_reports_left_;
  next_stop_report_ = now + kStopReportPeriod;
  ReportToRecent(now);
}

}  // namespace sesamesaddle
