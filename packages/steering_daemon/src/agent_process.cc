#include "steering_daemon/agent_process.h"

#include <utility>

#include "schema/codec.h"
#include "schema/readable_json.h"
#include "steering_daemon/steering_tables.h"

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "agent";
// Signals and stops are looked at this often.
constexpr Duration kSlowTick = std::chrono::milliseconds(200);
// Requests in progress are waited for so long; under the platform's grace.
constexpr Duration kLongestStop = std::chrono::seconds(1);
// Time for the last reports, and for the end of the entry of a target that
// left.
constexpr Duration kFarewell = std::chrono::milliseconds(300);

FlowAgentOptions MakeOptions(const SteeringSettings& settings) {
  FlowAgentOptions options;
  options.self = settings.packets;
  options.service = settings.service;
  options.flow_lifetime = settings.flow_lifetime;
  return options;
}

}  // namespace

AgentProcess::AgentProcess(SteeringParts parts, SteeringSettings settings)
    : parts_(parts),
      settings_(std::move(settings)),
      settings_watcher_(parts.settings_source, parts.log),
      response_times_(histograms_, "response_seconds",
                      "From the first packet of a request at the target to the "
                      "first packet of its answer"),
      agent_(parts.loop.Now(), MakeOptions(settings_), parts.codec, *this,
             parts.log, response_times_),
      registration_(parts.store, parts.scheduler, parts.random, parts.log,
                    TimesOfEntry(settings_),
                    DirectoryKeys::OfTarget(settings_.packets)) {}

tl::expected<void, NetError> AgentProcess::Open() {
  auto opened = OpenSockets();
  if (!opened) return opened;
  const InspectionSources sources{
      [this] { return FormatMetrics(Counters(), &histograms_); },
      [this] { return State(); }, nullptr, commands_};
  auto inspected =
      inspection_.Open(parts_.loop, settings_, parts_.log, sources);
  if (!inspected) return inspected;
  return {};
}

tl::expected<void, NetError> AgentProcess::OpenSockets() {
  const auto flush = [this] { Flush(); };
  auto opened = OpenSocket(
      parts_.loop, settings_.packets,
      {[this](const Endpoint& from, char* bytes, size_t size) {
         agent_.OnBalancerPacket(parts_.loop.Now(), from, bytes, size);
       },
       flush, nullptr},
      balancers_);
  if (!opened) return opened;
  opened = OpenSocket(
      parts_.loop, settings_.outbound,
      {[this](const Endpoint& /*from*/, char* bytes, size_t size) {
         agent_.OnTargetPacket(parts_.loop.Now(), bytes, size);
       },
       flush, [this] { agent_.OnTargetUnreachable(parts_.loop.Now()); }},
      target_);
  if (!opened) return opened;
  return OpenSocket(parts_.loop,
                    PeerEndpoint(settings_, settings_.ip, PeerPort::kControl),
                    {[this](const Endpoint& from, char* bytes, size_t size) {
                       OnControl(from, std::string_view(bytes, size));
                     },
                     flush, nullptr},
                    control_);
}

void AgentProcess::OnControl(const Endpoint& from, std::string_view bytes) {
  const auto message = DecodeCompact<schema::SteeringMessage>(bytes);
  if (!message) {
    ++malformed_control_;
    return;
  }
  if (!message->__isset.query) return;
  // Balancers are known by the socket that they send packets from.
  agent_.OnQuery(parts_.loop.Now(),
                 PeerEndpoint(settings_, from.ip(), PeerPort::kReturned),
                 message->query);
}

void AgentProcess::Run() {
  LogLine(parts_.log, EventKind::kProcess, kPart, "start")
      .Add("name", settings_.name)
      .Add("zone", settings_.zone)
      .Add("service", settings_.service)
      .Add("target", settings_.target)
      .Add("store", settings_.store);
  slow_timer_ = parts_.loop.Every(kSlowTick, [this] { SlowTick(); });
  parts_.loop.Run();
  LogLine(parts_.log, EventKind::kProcess, kPart, "stop")
      .Add("name", settings_.name)
      .Add("flows", agent_.flow_count());
}

bool AgentProcess::ServiceIsOurs(const std::string& service) {
  if (service == settings_.service) return true;
  // The settings may have changed without a signal.
  Reload(true);
  return service == settings_.service;
}

tl::expected<void, std::string> AgentProcess::OnAnnouncement(
    const Endpoint& address, const TargetAnnouncement& announcement) {
  ++announcements_;
  if (address != settings_.target) {
    OnBadAnnouncement("the address is not that of this agent's target");
    return tl::unexpected(std::string("the address is of another target"));
  }
  if (!ServiceIsOurs(announcement.service)) {
    OnBadAnnouncement("the service is not that of the settings");
    return tl::unexpected(std::string("the service is another one"));
  }
  const TimePoint now = parts_.loop.Now();
  const AnnouncementEffect effect = agent_.OnAnnouncement(now, announcement);
  if (effect == AnnouncementEffect::kStale) {
    LogLine(parts_.log, EventKind::kBelief, kPart, "announcement-stale")
        .Add("target", announcement.id)
        .Add("sequence", announcement.sequence)
        .Add("born", announcement.born_ms);
    return {};
  }
  if (effect != AnnouncementEffect::kUnchanged) {
    LogLine(parts_.log, EventKind::kBelief, kPart, "target-announced")
        .Add("target", announcement.id)
        .Add("service", announcement.service)
        .Add("born", announcement.born_ms)
        .Add("sequence", announcement.sequence)
        .Add("draining", announcement.draining)
        .Add("slots", announcement.slots)
        .Add("flows", agent_.flow_count());
    PublishTarget();
  }
  return {};
}

void AgentProcess::OnDeregister(const std::string& id) {
  const bool present = agent_.OnDeregister(parts_.loop.Now(), id);
  LogLine(parts_.log, EventKind::kBelief, kPart, "target-deregistered")
      .Add("target", id)
      .Add("present", present);
  if (!present) return;
  Flush();
  registration_.Withdraw([] {});
}

void AgentProcess::OnBadAnnouncement(const std::string& reason) {
  ++bad_announcements_;
  LogLine(parts_.log, EventKind::kMalformed, kPart, "announcement-refused")
      .Add("reason", reason);
}

schema::TargetRecord AgentProcess::MakeRecord() const {
  const TargetAnnouncement& target = agent_.target_monitor().announcement();
  schema::TargetRecord record;
  record.id = target.id;
  record.born_ms = target.born_ms;
  record.service_name = target.service;
  record.target = settings_.target.Pack();
  record.agent = settings_.packets.Pack();
  record.zone = settings_.zone;
  record.slots = target.slots;
  record.state = agent_.target_monitor().state();
  record.slow_start_ms = target.slow_start_ms;
  return record;
}

void AgentProcess::PublishTarget() {
  registration_.Publish(EncodeCompact(MakeRecord()));
}

void AgentProcess::ToTarget(std::string_view packet) {
  target_->Queue(settings_.target, packet);
}

void AgentProcess::ToClient(const Endpoint& client, std::string_view packet) {
  balancers_->Queue(Endpoint(client.ip(), settings_.packets.port()), packet);
}

void AgentProcess::ToBalancer(const Endpoint& balancer,
                              std::string_view packet) {
  balancers_->Queue(balancer, packet);
}

void AgentProcess::Report(const Endpoint& balancer,
                          const schema::AgentReport& report) {
  schema::SteeringMessage message;
  message.__set_report(report);
  control_->Queue(PeerEndpoint(settings_, balancer.ip(), PeerPort::kControl),
                  EncodeCompact(message));
}

void AgentProcess::Flush() {
  target_->Flush();
  balancers_->Flush();
  ScheduleReports();
}

void AgentProcess::ScheduleReports() {
  if (!agent_.busy()) return;
  const TimePoint due =
      parts_.loop.Now() + (agent_.urgent()     ? FlowAgent::kUrgentReportDelay
                           : agent_.queueing() ? FlowAgent::kQueueCheckPeriod
                                               : FlowAgent::kReportPeriod);
  if (report_timer_set_ && report_due_ <= due) return;
  report_timer_set_ = true;
  report_due_ = due;
  report_timer_ =
      parts_.loop.After(due - parts_.loop.Now(), [this] { SendReports(); });
}

void AgentProcess::SendReports() {
  report_timer_set_ = false;
  agent_.OnTick(parts_.loop.Now());
  control_->Flush();
  Flush();
}

void AgentProcess::Reload(bool requested) {
  const auto changed =
      settings_watcher_.Check(parts_.loop.Now(), requested, settings_);
  if (changed) settings_ = *changed;
}

void AgentProcess::SlowTick() {
  Reload(parts_.signals.reload.exchange(false));
  if (parts_.signals.stop && !stopping_) BeginStop();
  if (stopping_) AdvanceStop();
}

void AgentProcess::BeginStop() {
  stopping_ = true;
  stop_began_ = parts_.loop.Now();
  LogLine(parts_.log, EventKind::kProcess, kPart, "stop-begins")
      .Add("flows", agent_.flow_count())
      .Add("target_gone", agent_.target_monitor().gone());
  agent_.BeginStop();
}

void AgentProcess::AdvanceStop() {
  const Duration since = parts_.loop.Now() - stop_began_;
  if (since < kFarewell) return;
  // A living target keeps its flows, and both ends repeat what is lost while
  // this process starts anew: the shorter that takes, the better for callers.
  const bool idle = agent_.target_monitor().gone() || agent_.in_flight() == 0;
  if (idle || since > kLongestStop) parts_.loop.Stop();
}

CounterValues AgentProcess::Counters() const {
  const FlowAgentCounters& c = agent_.counters();
  CounterValues values = {
      {"packets_to_target_total", c.packets_to_target},
      {"packets_to_clients_total", c.packets_to_clients},
      {"syns_total", c.syns},
      {"syns_late_total", c.late_syns},
      {"flows_accepted_total", c.accepted},
      {"syns_refused_total", c.refused},
      {"syns_queued_total", c.queued},
      {"syns_yielded_total", c.yielded},
      {"packets_returned_by_target_total", c.returned_by_target},
      {"packets_not_held_total", c.not_held},
      {"packets_of_other_service_total", c.wrong_service},
      {"resets_total", c.resets},
      {"malformed_packets_total", c.malformed},
      {"malformed_control_total", malformed_control_},
      {"reports_total", c.reports},
      {"target_failing", agent_.failing() ? 1 : 0},
      {"target_failing_total", c.failing},
      {"announcements_total", announcements_},
      {"announcements_refused_total", bad_announcements_},
      {"flows", static_cast<int64_t>(agent_.flow_count())},
      {"requests_waiting", agent_.in_flight()},
      {"target_state", static_cast<int64_t>(agent_.target_monitor().state())},
      {"entry_published", registration_.published() ? 1 : 0},
      {"send_failures_total",
       balancers_->send_failures() + target_->send_failures()},
  };
  AddStoreCalls(parts_.store.counts(), values);
  AddLogCounts(parts_.log.counts(), values);
  return values;
}

tl::expected<schema::Table, std::string> AgentProcess::TableOf(
    Subject subject) const {
  return MakeTable(subject,
                   AgentTableSources{parts_.loop.Now(), agent_, MakeRecord()});
}

std::string AgentProcess::State() const {
  schema::SteeringState state;
  state.name = settings_.name;
  state.role = "agent";
  state.zone = settings_.zone;
  state.ready = !stopping_;
  state.stopping = stopping_;
  if (agent_.target_monitor().known()) state.targets.push_back(MakeRecord());
  state.counters = Counters();
  return EncodeReadableJson(state);
}

}  // namespace sesamesaddle
