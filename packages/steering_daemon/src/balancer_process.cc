#include "steering_daemon/balancer_process.h"

#include <algorithm>
#include <utility>

#include "core/text.h"
#include "schema/codec.h"
#include "schema/readable_json.h"
#include "steering_daemon/steering_tables.h"

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "balancer";
// Retries of SYNs and searches are due in steps of this size.
constexpr Duration kFastTick = std::chrono::milliseconds(10);
// Belief in targets, signals and stops are looked at this often.
constexpr Duration kSlowTick = std::chrono::milliseconds(200);
// The platform asks twice a second and takes a process out after two misses.
constexpr Duration kLeaveRotation = std::chrono::milliseconds(1300);
// No client's packet for so long: the routers have gone elsewhere.
constexpr Duration kQuiet = std::chrono::milliseconds(400);
// The platform wants a process out of rotation four seconds after SIGTERM; two
// of them are left for its probes.
constexpr Duration kLongestStay = std::chrono::seconds(2);
// Left of the time that the platform gives for a stop.
constexpr Duration kStopReserve = std::chrono::milliseconds(700);

ReplicaKeys Keys(const ConfigurationDecoder& decoder) {
  return {decoder.store_key(), DirectoryKeys::kPrefix};
}

Topology TopologyOf(const SteeringSettings& settings) {
  return {settings.zone, settings.regions};
}

}  // namespace

BalancerProcess::BalancerProcess(SteeringParts parts, SteeringSettings settings,
                                 PlacementKind placement)
    : parts_(parts),
      settings_(std::move(settings)),
      settings_watcher_(parts.settings_source, parts.log),
      placement_(MakePlacement(placement, TopologyOf(settings_), directory_)),
      balancer_({TopologyOf(settings_), settings_.flow_lifetime}, parts.codec,
                directory_, *placement_, *this, parts.log),
      follower_(parts.store, parts.scheduler, parts.random, parts.log,
                Keys(parts.decoder), FollowerTimes(),
                ReadAllowance(settings_.store_reads_per_second), *this),
      exchange_(parts.loop, parts.random, parts.log, follower_,
                [this](const Endpoint& control,
                       const schema::ReplicaVersion& version) {
                  SendVersion(control, version);
                }),
      registration_(parts.store, parts.scheduler, parts.random, parts.log,
                    TimesOfEntry(settings_),
                    DirectoryKeys::OfBalancer(PeerEndpoint(
                        settings_, settings_.ip, PeerPort::kControl))),
      rotation_(settings_.zone) {}

tl::expected<void, NetError> BalancerProcess::Open() {
  auto opened = OpenSockets();
  if (!opened) return opened;
  const InspectionSources sources{
      [this] { return FormatMetrics(Counters(), nullptr); },
      [this] { return State(); },
      [this] { return EncodeCompact(follower_.Snapshot()); }, commands_};
  auto inspected =
      inspection_.Open(parts_.loop, settings_, parts_.log, sources);
  if (!inspected) return inspected;
  AddSeeds();
  return {};
}

void BalancerProcess::AddSeeds() {
  std::vector<Endpoint> replicas;
  for (const Endpoint& seed : settings_.seeds) {
    if (seed.ip() == settings_.ip) continue;
    replicas.push_back(PeerEndpoint(settings_, seed.ip(), PeerPort::kReplica));
  }
  exchange_.SetSeeds(std::move(replicas));
}

tl::expected<void, NetError> BalancerProcess::OpenSockets() {
  const auto flush = [this] { Flush(); };
  auto opened =
      OpenSocket(parts_.loop, settings_.packets,
                 {[this](const Endpoint& /*from*/, char* bytes, size_t size) {
                    last_client_packet_ = parts_.loop.Now();
                    balancer_.OnClientPacket(last_client_packet_, bytes, size);
                  },
                  flush, nullptr},
                 clients_);
  if (!opened) return opened;
  opened = OpenSocket(
      parts_.loop, PeerEndpoint(settings_, settings_.ip, PeerPort::kReturned),
      {[this](const Endpoint& from, char* bytes, size_t size) {
         balancer_.OnAgentPacket(parts_.loop.Now(), from, bytes, size);
       },
       flush, nullptr},
      agents_);
  if (!opened) return opened;
  return OpenSocket(parts_.loop,
                    PeerEndpoint(settings_, settings_.ip, PeerPort::kControl),
                    {[this](const Endpoint& from, char* bytes, size_t size) {
                       OnControl(from, std::string_view(bytes, size));
                     },
                     flush, nullptr},
                    control_);
}

void BalancerProcess::Run() {
  LogLine(parts_.log, EventKind::kProcess, kPart, "start")
      .Add("name", settings_.name)
      .Add("zone", settings_.zone)
      .Add("packets", settings_.packets)
      .Add("store", settings_.store)
      .Add("seeds", settings_.seeds.size());
  schema::BalancerRecord record;
  record.name = settings_.name;
  record.zone = settings_.zone;
  record.control =
      PeerEndpoint(settings_, settings_.ip, PeerPort::kControl).Pack();
  record.replica =
      PeerEndpoint(settings_, settings_.ip, PeerPort::kReplica).Pack();
  registration_.Publish(EncodeCompact(record));
  follower_.Start();
  slow_timer_ = parts_.loop.Every(kSlowTick, [this] { SlowTick(); });
  exchange_timer_ = parts_.loop.Every(ReplicaExchange::kPeriod, [this] {
    exchange_.OnPeriod();
    Flush();
  });
  parts_.loop.Run();
  LogLine(parts_.log, EventKind::kProcess, kPart, "stop")
      .Add("name", settings_.name)
      .Add("flows", balancer_.flow_count());
}

bool BalancerProcess::Ready() {
  return !leaving_ && configured_ && follower_.loaded();
}

void BalancerProcess::ToAgent(const Endpoint& agent, std::string_view packet) {
  agents_->Queue(agent, packet);
}

void BalancerProcess::ToClient(const Endpoint& client,
                               std::string_view packet) {
  clients_->Queue(Endpoint(client.ip(), settings_.packets.port()), packet);
}

void BalancerProcess::Query(const Endpoint& agent,
                            const schema::FlowQuery& query) {
  schema::SteeringMessage message;
  message.__set_query(query);
  control_->Queue(PeerEndpoint(settings_, agent.ip(), PeerPort::kControl),
                  EncodeCompact(message));
}

void BalancerProcess::OnConfiguration(const std::string& document,
                                      int64_t revision, bool gap) {
  auto routes = parts_.decoder.Decode(document);
  if (!routes) {
    LogLine(parts_.log, EventKind::kBelief, kPart, "configuration-refused")
        .Add("revision", revision)
        .Add("reason", routes.error());
    return;
  }
  LogLine(parts_.log, EventKind::kBelief, kPart, "configuration")
      .Add("version", routes->version)
      .Add("before", balancer_.routes().version)
      .Add("revision", revision)
      .Add("routes", routes->routes.size());
  configured_ = true;
  balancer_.Apply(
      parts_.loop.Now(), std::move(*routes),
      gap ? UpdateContinuity::kAfterGap : UpdateContinuity::kContiguous);
  Flush();
}

void BalancerProcess::OnEntry(const std::string& key, const std::string& value,
                              int64_t revision) {
  if (HasPrefix(key, DirectoryKeys::kBalancerPrefix)) {
    const auto record = DecodeCompact<schema::BalancerRecord>(value);
    if (!record || record->name == settings_.name) return;
    exchange_.AddPeer(key, Endpoint::Unpack(record->control),
                      Endpoint::Unpack(record->replica));
    rotation_.OnListed(parts_.loop.Now(), key, record->zone);
    return;
  }
  if (!HasPrefix(key, DirectoryKeys::kTargetPrefix)) return;
  const auto record = DecodeCompact<schema::TargetRecord>(value);
  if (!record) {
    LogLine(parts_.log, EventKind::kMalformed, kPart, "entry-unreadable")
        .Add("key", key)
        .Add("revision", revision);
    return;
  }
  LogLine(parts_.log, EventKind::kBelief, kPart, "target-listed")
      .Add("target", record->id)
      .Add("service", record->service_name)
      .Add("agent", Endpoint::Unpack(record->agent))
      .Add("zone", record->zone)
      .Add("state", static_cast<int>(record->state))
      .Add("slots", record->slots)
      .Add("revision", revision);
  directory_.Put(parts_.loop.Now(), key, *record, revision);
}

void BalancerProcess::OnEntryRemoved(const std::string& key, int64_t revision) {
  exchange_.RemovePeer(key);
  rotation_.OnRemoved(parts_.loop.Now(), key);
  LogLine(parts_.log, EventKind::kBelief, kPart, "entry-removed")
      .Add("key", key)
      .Add("revision", revision);
  directory_.Remove(parts_.loop.Now(), key, revision);
}

void BalancerProcess::OnRead(TimePoint as_of) {
  balancer_.OnDirectoryRead(parts_.loop.Now(), as_of);
  Flush();
}

tl::expected<void, std::string> BalancerProcess::OnAnnouncement(
    const Endpoint& /*address*/, const TargetAnnouncement& /*announcement*/) {
  return tl::unexpected(
      std::string("a balancer takes no announcements; ask the agent"));
}

void BalancerProcess::OnDeregister(const std::string& id) {
  LogLine(parts_.log, EventKind::kMalformed, kPart, "deregister-ignored")
      .Add("target", id);
}

void BalancerProcess::OnBadAnnouncement(const std::string& reason) {
  LogLine(parts_.log, EventKind::kMalformed, kPart, "announcement-refused")
      .Add("reason", reason);
}

void BalancerProcess::OnControl(const Endpoint& from, std::string_view bytes) {
  const auto message = DecodeCompact<schema::SteeringMessage>(bytes);
  if (!message) {
    ++malformed_control_;
    return;
  }
  if (message->__isset.report) {
    balancer_.OnReport(parts_.loop.Now(), message->report);
  }
  if (message->__isset.version) {
    exchange_.OnVersion(from,
                        PeerEndpoint(settings_, from.ip(), PeerPort::kReplica),
                        message->version);
  }
}

void BalancerProcess::SendVersion(const Endpoint& control,
                                  const schema::ReplicaVersion& version) {
  schema::SteeringMessage message;
  message.__set_version(version);
  control_->Queue(control, EncodeCompact(message));
}

void BalancerProcess::Flush() {
  balancer_.FlushQueries(parts_.loop.Now());
  clients_->Flush();
  agents_->Flush();
  control_->Flush();
  ScheduleTick();
}

void BalancerProcess::ScheduleTick() {
  if (fast_timer_set_ || !balancer_.busy()) return;
  fast_timer_set_ = true;
  fast_timer_ = parts_.loop.After(kFastTick, [this] { Tick(); });
}

void BalancerProcess::Tick() {
  fast_timer_set_ = false;
  balancer_.OnTick(parts_.loop.Now());
  Flush();
}

void BalancerProcess::SlowTick() {
  const TimePoint now = parts_.loop.Now();
  follower_.SetFollowers(exchange_.peer_count() + 1);
  balancer_.SetStoreCurrent(follower_.current());
  const auto gone = directory_.Expire(now, follower_.current());
  if (!gone.empty()) balancer_.OnAgentsRemoved(now, gone);
  balancer_.OnTick(now);
  Flush();
  const auto changed = settings_watcher_.Check(
      now, parts_.signals.reload.exchange(false), settings_);
  if (changed) {
    settings_ = *changed;
    AddSeeds();
  }
  if (parts_.signals.stop && !stopping_) BeginStop();
  if (stopping_) AdvanceStop();
}

void BalancerProcess::BeginStop() {
  stopping_ = true;
  stop_began_ = parts_.loop.Now();
  LogLine(parts_.log, EventKind::kProcess, kPart, "stop-begins")
      .Add("flows", balancer_.flow_count());
  // Peers may have begun to stop just before.
  follower_.Refresh();
}

void BalancerProcess::TryToLeave() {
  const TimePoint now = parts_.loop.Now();
  const Duration since = now - stop_began_;
  if (since < kSlowTick) return;  // The refresh is under way.
  const Duration longest_wait =
      std::min(kLongestStay,
               settings_.stop_grace - kStopReserve - kLeaveRotation - kQuiet);
  if (since < longest_wait && !rotation_.MayLeave(now)) return;
  leaving_ = true;
  leave_began_ = now;
  LogLine(parts_.log, EventKind::kProcess, kPart, "leaves-rotation")
      .Add("waited", since)
      .Add("flows", balancer_.flow_count());
  registration_.Withdraw([] {});
}

void BalancerProcess::AdvanceStop() {
  if (!leaving_) TryToLeave();
  if (!leaving_) return;
  const TimePoint now = parts_.loop.Now();
  const bool quiet =
      now - leave_began_ > kLeaveRotation && now - last_client_packet_ > kQuiet;
  const bool late = now - stop_began_ > settings_.stop_grace - kStopReserve;
  if (quiet || late) parts_.loop.Stop();
}

CounterValues BalancerProcess::Counters() const {
  const FlowBalancerCounters& c = balancer_.counters();
  CounterValues values = {
      {"client_packets_total", c.packets},
      {"syns_total", c.syns},
      {"flows_placed_total", c.placed},
      {"flows_placed_again_total", c.placed_again},
      {"syns_refused_by_agents_total", c.refused_by_agents},
      {"syns_yielded_by_agents_total", c.yielded_by_agents},
      {"packets_offered_total", c.offers},
      {"flow_queries_total", c.queries},
      {"agent_probes_total", c.probes},
      {"reports_received_total", c.reports},
      {"report_period_ms",
       balancer_.report_period() / std::chrono::milliseconds(1)},
      {"flow_searches_total", c.searches},
      {"resets_no_route_total", c.resets_no_route},
      {"resets_no_target_total", c.resets_no_target},
      {"resets_overload_total", c.resets_overload},
      {"flows_waited_for_room_total", c.waited_for_room},
      {"resets_nobody_holds_total", c.resets_nobody_holds},
      {"resets_target_gone_total", c.resets_target_gone},
      {"resets_target_silent_total", c.resets_target_silent},
      {"malformed_packets_total", c.malformed},
      {"malformed_control_total", malformed_control_},
      {"flows", static_cast<int64_t>(balancer_.flow_count())},
      {"targets", static_cast<int64_t>(directory_.size())},
      {"peers", static_cast<int64_t>(exchange_.peer_count())},
      {"configuration_version", balancer_.routes().version},
      {"configuration_revision", follower_.configuration_revision()},
      {"directory_revision", follower_.directory_revision()},
      {"store_current", follower_.current() ? 1 : 0},
      {"send_failures_total",
       clients_->send_failures() + agents_->send_failures()},
  };
  AddStoreCalls(parts_.store.counts(), values);
  AddLogCounts(parts_.log.counts(), values);
  return values;
}

tl::expected<schema::Table, std::string> BalancerProcess::TableOf(
    Subject subject) const {
  return MakeTable(
      subject, BalancerTableSources{parts_.loop.Now(), balancer_, directory_,
                                    exchange_.peers(),
                                    follower_.configuration_revision()});
}

std::string BalancerProcess::State() {
  schema::SteeringState state;
  state.name = settings_.name;
  state.role = "balancer";
  state.zone = settings_.zone;
  state.ready = Ready();
  state.stopping = stopping_;
  state.version = follower_.Snapshot().version;
  for (const AgentView* view : directory_.All()) {
    state.targets.push_back(view->record);
  }
  state.counters = Counters();
  return EncodeReadableJson(state);
}

}  // namespace sesamesaddle
