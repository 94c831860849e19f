// The agent's queue of new flows, its count of work to come, and its reports.

#include <algorithm>
#include <utility>

#include "schema/flow_key.h"
#include "steering/flow_agent.h"

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "agent";
constexpr Duration kSweepPeriod = std::chrono::seconds(1);

std::vector<schema::FlowKey> TakeKeys(std::vector<Flow>& flows, size_t limit) {
  std::vector<schema::FlowKey> keys;
  const size_t count = std::min(flows.size(), limit);
  for (size_t i = 0; i < count; ++i) keys.push_back(ToKey(flows[i]));
  flows.erase(flows.begin(), flows.begin() + static_cast<ptrdiff_t>(count));
  return keys;
}

}  // namespace

void FlowAgent::ServeQueue(TimePoint now) {
  const int slots = target_monitor_.announcement().slots;
  while (!queue_.empty() && SynQueue::HasRoom(in_flight_ + expected_, slots)) {
    auto syn = queue_.Pop(now);
    Open(now, syn->balancer, syn->flow, syn->sequence, syn->packet.data(),
         syn->packet.size());
  }
}

void FlowAgent::ExpireQueue(TimePoint now) {
  if (queue_.empty()) return;
  if (stopping_ || !target_monitor_.TakesFlows(now)) {
    ReturnQueued(now, queue_.TakeAll(), HopKind::kRefused);
  } else {
    ReturnQueued(now, queue_.TakeExpired(now), HopKind::kYielded);
  }
}

void FlowAgent::ReturnQueued(TimePoint now, std::vector<WaitingSyn> syns,
                             HopKind kind) {
  for (WaitingSyn& syn : syns) {
    ++counters_.yielded;
    const Duration waited = syn.waited_before + (now - syn.arrived);
    LogLine(log_, EventKind::kRefused, kPart, "syn-returned")
        .Add("flow", syn.flow)
        .Add("waited", waited)
        .Add("target", target_monitor_.announcement().id)
        .Add("waiting", in_flight_)
        .Add("queued", queue_.size())
        .Add("balancer", syn.balancer);
    TouchUrgently(now, syn.balancer);
    codec_.SetHop(syn.packet.data(), {kind, ServiceCheck(service())},
                  SynTimes{waited, Duration::zero()}.Pack());
    output_.ToBalancer(syn.balancer, syn.packet);
  }
}

void FlowAgent::Expect(TimePoint now, const Flow& flow, FlowEntry& entry) {
  entry.expected = true;
  ++expected_;
  expectations_.emplace_back(now, flow);
}

void FlowAgent::StopExpecting(FlowEntry& entry) {
  if (!entry.expected) return;
  entry.expected = false;
  --expected_;
}

/** A client that opened its flow elsewhere sends no request here. */
void FlowAgent::ExpireExpectations(TimePoint now) {
  while (!expectations_.empty() &&
         now - expectations_.front().first > handshakes_.Limit()) {
    const auto it = flows_.find(expectations_.front().second);
    if (it != flows_.end()) StopExpecting(it->second);
    expectations_.pop_front();
  }
}

void FlowAgent::OnTick(TimePoint now) {
  urgent_ = false;
  ExpireExpectations(now);
  ExpireQueue(now);
  ServeQueue(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepPeriod;
    ForgetOldFlows(now);
  }
  for (auto it = balancers_.begin(); it != balancers_.end();) {
    BalancerView& view = it->second;
    if (ReportDue(now, view)) SendReport(now, it->first, view);
    // A balancer that comes back soon still gets no more than it wants.
    const Duration kept = std::max(kBalancerIdle, view.report_period);
    it = now - view.last_packet > kept ? balancers_.erase(it) : std::next(it);
  }
}

bool FlowAgent::ReportDue(TimePoint now, const BalancerView& view) const {
  if (view.urgent) return true;
  const Duration since = now - view.last_report;
  const bool answers = view.owes_answer || !view.accepted.empty() ||
                       !view.held.empty() || !view.not_held.empty() ||
                       !view.unsure.empty();
  if (answers) return since >= kReportPeriod;
  const bool active = now - view.last_packet <= kBalancerIdle;
  const bool news =
      view.packets_since_report || view.reported_in_flight != in_flight_;
  return active && news && since >= view.report_period;
}

void FlowAgent::SendReport(TimePoint now, const Endpoint& balancer,
                           BalancerView& view) {
  schema::AgentReport report;
  report.agent = options_.self.Pack();
  report.service_name = service();
  report.state = target_monitor_.state();
  report.silent = target_monitor_.Silent(now);
  report.queued = static_cast<int32_t>(queue_.size());
  report.slots = target_monitor_.announcement().slots;
  report.waiting = in_flight_;
  report.opening = expected_;
  report.flows = static_cast<int32_t>(flows_.size());
  report.response_us = static_cast<int32_t>(response_time_.count());
  report.accepted = TakeKeys(view.accepted, kMaxFlowsPerReport);
  report.held = TakeKeys(view.held, kMaxFlowsPerReport);
  report.not_held = TakeKeys(view.not_held, kMaxFlowsPerReport);
  report.unsure = TakeKeys(view.unsure, kMaxFlowsPerReport);
  report.__set_failing(failing_);
  report.restarting = stopping_ && !target_monitor_.gone();
  view.packets_since_report = false;
  view.owes_answer = false;
  view.urgent = false;
  view.last_report = now;
  view.reported_in_flight = in_flight_;
  ++counters_.reports;
  output_.Report(balancer, report);
}

FlowAgent::BalancerView& FlowAgent::Touch(TimePoint now,
                                          const Endpoint& balancer) {
  BalancerView& view = balancers_[balancer];
  view.last_packet = now;
  return view;
}

FlowAgent::BalancerView& FlowAgent::TouchUrgently(TimePoint now,
                                                  const Endpoint& balancer) {
  urgent_ = true;
  BalancerView& view = Touch(now, balancer);
  view.urgent = true;
  return view;
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
  for (const auto& [balancer, view] : balancers_) {
    peers.push_back({balancer, now - view.last_packet, view.report_period});
  }
  return peers;
}

void FlowAgent::ReportToAll() {
  for (auto& [endpoint, view] : balancers_) view.urgent = true;
  urgent_ = true;
}

}  // namespace sesamesaddle
