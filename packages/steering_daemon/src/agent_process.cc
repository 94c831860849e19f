#include "steering_daemon/agent_process.h"

#include <utility>

#include "core/time.h"
#include "schema/codec.h"
#include "schema/readable_json.h"
#include "steering_daemon/control_message.h"
#include "steering_daemon/steering_tables.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "agent";
// Interval of checks for signals, changed settings and progress of a stop.
constexpr Duration kHousekeepingPeriod = std::chrono::milliseconds(200);
// Limit of waiting for requests in progress; below the platform's grace period.
constexpr Duration kMaxStopTime = std::chrono::seconds(1);
// Time for sending the last reports and for removing the entry of a target that
// terminated.
constexpr Duration kMinStopTime = std::chrono::milliseconds(300);

FlowAgentOptions MakeOptions(const SteeringSettings& settings) {
  FlowAgentOptions options;
  options.self = settings.packet_address;
  options.service = settings.service;
  options.flow_lifetime = settings.flow_lifetime;
  options.admission = settings.admission;
  options.zone = settings.zone;
  return options;
}

}  // namespace

AgentProcess::AgentProcess(SteeringDependencies deps, SteeringSettings settings)
    : deps_(deps),
      settings_(std::move(settings)),
      settings_watcher_(deps.settings_source, deps.log),
      response_times_(histograms_, "response_seconds",
                      "From the first packet of a request at the target to the "
                      "first packet of its answer"),
      agent_(deps.loop.Now(), MakeOptions(settings_), deps.codec, *this,
             deps.log, response_times_),
      loop_lag_(deps.loop, deps.log, histograms_, kLogComponent,
                [this] { return agent_.flow_count(); }),
      registration_(deps.store, deps.scheduler, deps.random, deps.log,
                    MakeRegistrationOptions(settings_),
                    DirectoryKeys::OfTarget(settings_.packet_address)),
      flow_record_(deps.store, deps.scheduler, deps.random, deps.log,
                   registration_,
                   DirectoryKeys::OfFlowRecord(settings_.packet_address)),
      record_policy_(settings_.store_writes_per_second) {}

tl::expected<void, NetError> AgentProcess::Open() {
  auto opened = OpenSockets();
  if (!opened) return opened;
  const StatusSources sources{
      [this] { return FormatMetrics(CollectMetrics(), &histograms_); },
      [this] { return State(); }, nullptr, commands_};
  auto serving_status =
      status_server_.Open(deps_.loop, settings_, deps_.log, sources);
  if (!serving_status) return serving_status;
  return {};
}

tl::expected<void, NetError> AgentProcess::OpenSockets() {
  const auto flush = [this] { Flush(); };
  auto opened = OpenSocket(
      deps_.loop, settings_.packet_address,
      {[this](const Endpoint& from, char* bytes, size_t size) {
         agent_.OnBalancerPacket(deps_.loop.Now(), from, bytes, size);
       },
       flush, nullptr},
      balancer_socket_);
  if (!opened) return opened;
  opened = OpenSocket(
      deps_.loop, settings_.outbound,
      {[this](const Endpoint& /*from*/, char* bytes, size_t size) {
         agent_.OnTargetPacket(deps_.loop.Now(), bytes, size);
       },
       flush, [this] { agent_.OnTargetUnreachable(deps_.loop.Now()); }},
      target_socket_);
  if (!opened) return opened;
  return OpenSocket(deps_.loop,
                    PeerEndpoint(settings_, settings_.ip, PeerPort::kControl),
                    {[this](const Endpoint& from, char* bytes, size_t size) {
                       OnControl(from, std::string_view(bytes, size));
                     },
                     flush, nullptr},
                    control_socket_);
}

void AgentProcess::OnControl(const Endpoint& from, std::string_view bytes) {
  const auto message = DecodeControlMessage(from, bytes);
  if (!message) {
    ++malformed_control_;
    LogLine(deps_.log, EventKind::kMalformedInput, kLogComponent,
            "control-refused")
        .Add("from", from)
        .Add("reason", message.error());
    return;
  }
  // Balancers are identified by the socket that they send packets from.
  const Endpoint balancer =
      PeerEndpoint(settings_, from.ip(), PeerPort::kAgentPackets);
  const TimePoint now = deps_.loop.Now();
  if (message->__isset.query) agent_.OnQuery(now, balancer, message->query);
  if (message->__isset.notice) OnNotice(now, balancer, message->notice);
}

void AgentProcess::OnNotice(TimePoint now, const Endpoint& balancer,
                            const schema::AgentNotice& notice) {
  if (notice.__isset.entry_missing) {
    const schema::EntryRemoval& removal = notice.entry_missing;
    registration_.VerifyNow({StoreEra(removal.era), removal.revision});
  }
  agent_.OnNotice(now, balancer, notice);
}

void AgentProcess::Run() {
  LogLine(deps_.log, EventKind::kProcess, kLogComponent, "start")
      .Add("name", settings_.name)
      .Add("zone", settings_.zone)
      .Add("service", settings_.service)
      .Add("target", settings_.target)
      .Add("store", settings_.store);
  RecallFlows();
  housekeeping_timer_ =
      deps_.loop.Every(kHousekeepingPeriod, [this] { RunHousekeeping(); });
  deps_.loop.Run();
  LogLine(deps_.log, EventKind::kProcess, kLogComponent, "stop")
      .Add("name", settings_.name)
      .Add("flows", agent_.flow_count());
}

bool AgentProcess::MatchesService(const std::string& service) {
  if (service == settings_.service) return true;
  // The settings may have changed without a signal.
  ReloadSettings(true);
  return service == settings_.service;
}

tl::expected<void, AnnouncementRefusal> AgentProcess::OnAnnouncement(
    const Endpoint& address, const TargetAnnouncement& announcement) {
  ++announcements_;
  if (address != settings_.target) {
    OnInvalidAnnouncement("the address does not match this agent's target");
    return tl::unexpected(
        AnnouncementRefusal{false, "the address is of another target"});
  }
  if (!MatchesService(announcement.service)) {
    OnInvalidAnnouncement("the service does not match the settings");
    return tl::unexpected(
        AnnouncementRefusal{false, "the service is another one"});
  }
  const TimePoint now = deps_.loop.Now();
  const AnnouncementEffect effect = agent_.OnAnnouncement(now, announcement);
  if (effect == AnnouncementEffect::kStale) {
    LogLine(deps_.log, EventKind::kStateChange, kLogComponent,
            "announcement-stale")
        .Add("target", announcement.id)
        .Add("sequence", announcement.sequence)
        .Add("born", announcement.born_ms);
    return tl::unexpected(AnnouncementRefusal{
        true, "it is older than the announcements in force"});
  }
  if (effect != AnnouncementEffect::kUnchanged) {
    LogLine(deps_.log, EventKind::kStateChange, kLogComponent,
            "target-announced")
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

void AgentProcess::OnDeregister(const std::string& id, TimePoint sent_after) {
  const bool present = agent_.OnDeregister(deps_.loop.Now(), id, sent_after);
  LogLine(deps_.log, EventKind::kStateChange, kLogComponent,
          "target-deregistered")
      .Add("target", id)
      .Add("present", present);
  if (!present) return;
  Flush();
  registration_.Withdraw([] {});
}

void AgentProcess::OnInvalidAnnouncement(const std::string& reason) {
  ++invalid_announcements_;
  LogLine(deps_.log, EventKind::kMalformedInput, kLogComponent,
          "announcement-refused")
      .Add("reason", reason);
}

schema::TargetRecord AgentProcess::MakeRecord() const {
  const TargetAnnouncement& target = agent_.target_monitor().announcement();
  schema::TargetRecord record;
  record.id = target.id;
  record.born_ms = target.born_ms;
  record.service_name = target.service;
  record.target = settings_.target.Pack();
  record.agent = settings_.packet_address.Pack();
  record.zone = settings_.zone;
  record.slots = target.slots;
  record.state = agent_.target_monitor().state();
  record.slow_start_ms = target.slow_start_ms;
  if (stopping_) record.__set_agent_stopping(true);
  record.__set_reads_wide_check(true);
  return record;
}

void AgentProcess::PublishTarget() {
  registration_.Publish(EncodeCompact(MakeRecord()));
}

void AgentProcess::RecallFlows() {
  flow_record_.Recall([this](const std::optional<std::string>& value) {
    if (!value) return;
    auto record = DecodeCompact<schema::FlowRecord>(*value);
    if (!record) {
      LogLine(deps_.log, EventKind::kMalformedInput, kLogComponent,
              "record-unreadable")
          .Add("bytes", value->size());
      return;
    }
    if (record->__isset.complete_at_ms) {
      TakeCompleteRecord(*std::move(record));
      return;
    }
    agent_.Recall(deps_.loop.Now(), *std::move(record));
    Flush();
  });
}

void AgentProcess::TakeCompleteRecord(schema::FlowRecord record) {
  const int64_t now_ms = WallClockMs();
  registration_.ReadRevision([this, record = std::move(record),
                              now_ms](std::optional<KeyVersion> entry) {
    const auto recall = [this, record](bool complete) {
      agent_.Recall(deps_.loop.Now(), record, complete);
      Flush();
    };
    const auto revision =
        entry ? std::make_optional(entry->value()) : std::nullopt;
    if (!HasAllFlows(record, now_ms, revision)) {
      recall(false);
      return;
    }
    // The next process must not take it for complete again, as this one opens
    // further flows.
    flow_record_.Discard(recall);
  });
}

void AgentProcess::RecordFlows() {
  if (!flow_record_.writable() || agent_.target_monitor().gone()) return;
  if (flow_record_.lost()) record_policy_.OnFailed();
  const TimePoint now = deps_.loop.Now();
  const schema::FlowRecord record = agent_.RecordFlows(now);
  if (!record_policy_.IsDue(now, agent_.EstimateAgentCount(), record)) return;
  record_policy_.OnSent(now);
  flow_record_.Write(EncodeCompact(record), [this, record](bool written) {
    if (written) {
      ++records_written_;
      record_policy_.OnWritten(record);
    } else {
      record_policy_.OnFailed();
    }
  });
}

void AgentProcess::ToTarget(std::string_view packet) {
  target_socket_->Queue(settings_.target, packet);
}

void AgentProcess::ToClient(const Endpoint& client, std::string_view packet) {
  balancer_socket_->Queue(
      Endpoint(client.ip(), settings_.packet_address.port()), packet);
}

void AgentProcess::ToBalancer(const Endpoint& balancer,
                              std::string_view packet) {
  balancer_socket_->Queue(balancer, packet);
}

void AgentProcess::Report(const Endpoint& balancer,
                          const schema::AgentReport& report) {
  schema::SteeringMessage message;
  message.__set_report(report);
  control_socket_->Queue(
      PeerEndpoint(settings_, balancer.ip(), PeerPort::kControl),
      EncodeCompact(message));
}

void AgentProcess::Flush() {
  target_socket_->Flush();
  balancer_socket_->Flush();
  ScheduleReports();
}

void AgentProcess::ScheduleReports() {
  if (!agent_.busy()) return;
  const TimePoint due =
      deps_.loop.Now() + (agent_.urgent()     ? FlowAgent::kUrgentReportDelay
                          : agent_.queueing() ? FlowAgent::kQueueCheckPeriod
                                              : FlowAgent::kReportPeriod);
  if (report_scheduled_ && report_due_ <= due) return;
  report_scheduled_ = true;
  report_due_ = due;
  report_timer_ =
      deps_.loop.After(due - deps_.loop.Now(), [this] { SendReports(); });
}

void AgentProcess::SendReports() {
  report_scheduled_ = false;
  agent_.OnTick(deps_.loop.Now());
  control_socket_->Flush();
  Flush();
}

void AgentProcess::ReloadSettings(bool requested) {
  const auto changed =
      settings_watcher_.Check(deps_.loop.Now(), requested, settings_);
  if (changed) settings_ = *changed;
}

void AgentProcess::RunHousekeeping() {
  ReloadSettings(deps_.signals.reload.exchange(false));
  if (deps_.signals.stop && !stopping_) BeginStop();
  if (stopping_) {
    AdvanceStop();
  } else {
    RecordFlows();
    // Balancers that start now know this process only by its entry.
    if (agent_.AtSilence(deps_.loop.Now())) registration_.VerifyAtSilence();
  }
}

void AgentProcess::BeginStop() {
  stopping_ = true;
  stop_began_ = deps_.loop.Now();
  LogLine(deps_.log, EventKind::kProcess, kLogComponent, "stop-begins")
      .Add("flows", agent_.flow_count())
      .Add("target_gone", agent_.target_monitor().gone());
  agent_.BeginStop(stop_began_);
  const TargetMonitor& target = agent_.target_monitor();
  // Balancers that start meanwhile learn of the restart from the entry.
  if (target.known() && !target.gone()) PublishTarget();
  Flush();
}

void AgentProcess::AdvanceStop() {
  const Duration since = deps_.loop.Now() - stop_began_;
  if (since < kMinStopTime) return;
  // A running target keeps its flows, and both ends retransmit what is lost
  // during the restart of this process, so a shorter stop is better for
  // callers.
  const bool idle = agent_.target_monitor().gone() || agent_.in_flight() == 0;
  if (leaving_record_) {
    deps_.loop.Stop();  // The store has not answered.
  } else if (idle || since > kMaxStopTime) {
    StopWithRecord();
  }
}

void AgentProcess::StopWithRecord() {
  const auto record = agent_.RecordAllFlows(deps_.loop.Now(), WallClockMs(),
                                            registration_.revision().value());
  if (!record || !flow_record_.writable()) {
    deps_.loop.Stop();
    return;
  }
  leaving_record_ = true;
  flow_record_.Write(EncodeCompact(*record), [this, record](bool written) {
    LogLine(deps_.log, EventKind::kStateChange, kLogComponent, "record-left")
        .Add("flows", record->flows.size())
        .Add("written", written ? 1 : 0);
    deps_.loop.Stop();
  });
}

MetricValues AgentProcess::CollectMetrics() const {
  const FlowAgentCounters& c = agent_.counters();
  MetricValues values = {
      {"packets_to_target_total", c.packets_to_target},
      {"packets_to_clients_total", c.packets_to_clients},
      {"syns_total", c.syns},
      {"syns_late_total", c.late_syns},
      {"flows_accepted_total", c.accepted},
      {"syns_refused_total", c.refused},
      {"syns_refused_evacuated_total", c.refused_evacuated},
      {"zones_evacuated", agent_.zone_evacuated() ? 1 : 0},
      {"syns_queued_total", c.queued},
      {"syns_held_slow_start_total", c.held_slow_start},
      {"syns_yielded_total", c.yielded},
      {"syns_displaced_total", c.displaced},
      {"packets_returned_by_target_total", c.returned_by_target},
      {"packets_not_held_total", c.not_held},
      {"packets_of_other_service_total", c.wrong_service},
      {"packets_with_narrow_check_total", c.narrow_checks},
      {"resets_total", c.resets},
      {"resets_recalled_total", c.resets_recalled},
      {"flow_records_written_total", records_written_},
      {"malformed_packets_total", c.malformed},
      {"malformed_control_total", malformed_control_},
      {"reports_total", c.reports},
      {"digests_sent_total", c.digests},
      {"digests_left_out_total", c.digests_left_out},
      {"target_failing", agent_.failing() ? 1 : 0},
      {"target_failing_total", c.failing},
      {"target_cold", agent_.slow_start().Cold(deps_.loop.Now()) ? 1 : 0},
      {"announcements_total", announcements_},
      {"announcements_refused_total", invalid_announcements_},
      {"flows", static_cast<int64_t>(agent_.flow_count())},
      {"requests_waiting", agent_.in_flight()},
      {"target_state", static_cast<int64_t>(agent_.target_monitor().state())},
      {"entry_published", registration_.published() ? 1 : 0},
      {"send_failures_total",
       balancer_socket_->send_failures() + target_socket_->send_failures()},
  };
  AddStoreMetrics(deps_.store.counts(), values);
  AddLogMetrics(deps_.log.counts(), values);
  loop_lag_.AddMetrics(values);
  return values;
}

tl::expected<schema::Table, std::string> AgentProcess::BuildTable(
    Subject subject) const {
  return MakeTable(subject,
                   AgentTableSources{deps_.loop.Now(), agent_, MakeRecord()});
}

std::string AgentProcess::State() const {
  schema::SteeringState state;
  state.name = settings_.name;
  state.role = "agent";
  state.zone = settings_.zone;
  state.ready = !stopping_;
  state.stopping = stopping_;
  if (agent_.target_monitor().known()) state.targets.push_back(MakeRecord());
  state.counters = CollectMetrics();
  return EncodeReadableJson(state);
}

}  // namespace sesamesaddle
