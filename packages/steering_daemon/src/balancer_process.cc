#include "steering_daemon/balancer_process.h"

#include <algorithm>
#include <utility>

#include "core/text.h"
#include "schema/codec.h"
#include "schema/readable_json.h"
#include "steering_daemon/balancer_record.h"
#include "steering_daemon/control_message.h"
#include "steering_daemon/steering_tables.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";
// Granularity of the retries of SYNs and flow searches.
constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
// Interval of checks for expired targets, signals and progress of a stop.
constexpr Duration kHousekeepingPeriod = std::chrono::milliseconds(200);
// A SYN that is read in an idle loop has arrived within this time, well before
// its client sends a copy.
constexpr auto kMaxPoll = std::chrono::milliseconds(100);
// The platform probes readiness twice a second and removes a process from the
// rotation after two failures.
constexpr Duration kRotationExitTime = std::chrono::milliseconds(1300);
// After this time without client packets the routers have stopped using it.
constexpr Duration kQuietPeriod = std::chrono::milliseconds(400);
// The platform requires a process to be out of rotation 4 s after SIGTERM; 2 s
// of them are reserved for its probes.
constexpr Duration kMaxRotationWait = std::chrono::seconds(2);
// Reserve at the end of the platform's stop timeout.
constexpr Duration kStopReserve = std::chrono::milliseconds(700);

ReplicaKeys MakeReplicaKeys(const ConfigurationDecoder& decoder) {
  return {decoder.store_key(), DirectoryKeys::kPrefix,
          decoder.evacuation_prefix()};
}

Topology MakeTopology(const SteeringSettings& settings) {
  return {settings.zone, settings.regions};
}

}  // namespace

BalancerProcess::BalancerProcess(SteeringDependencies deps,
                                 SteeringSettings settings,
                                 PlacementOptions placement)
    : deps_(deps),
      settings_(std::move(settings)),
      settings_watcher_(deps.settings_source, deps.log),
      own_key_(DirectoryKeys::OfBalancer(
          PeerEndpoint(settings_, settings_.ip, PeerPort::kControl))),
      placement_(
          MakePlacement(placement.kind, MakeTopology(settings_), directory_)),
      balancer_({MakeTopology(settings_), settings_.flow_lifetime,
                 placement.split, settings_.admission,
                 RegistrationOptions().silent_verification_interval},
                deps.codec, directory_, zones_, *placement_, *this, deps.log),
      follower_(deps.store, deps.scheduler, deps.random, deps.log,
                MakeReplicaKeys(deps.decoder), FollowerOptions(),
                StoreReadBudget(settings_.store_reads_per_second), *this),
      exchange_(deps.loop, deps.random, deps.log, follower_, own_key_,
                [this](const Endpoint& control,
                       const schema::SteeringMessage& message) {
                  control_socket_->Queue(control, EncodeCompact(message));
                }),
      registration_(deps.store, deps.scheduler, deps.random, deps.log,
                    MakeRegistrationOptions(settings_), own_key_),
      rotation_(settings_.zone),
      startup_(deps.log, {settings_.zone, settings_.capacity}),
      loop_lag_(deps.loop, deps.log, histograms_, kLogComponent,
                [this] { return balancer_.flow_count(); }) {}

tl::expected<void, NetError> BalancerProcess::Open() {
  auto opened = OpenSockets();
  if (!opened) return opened;
  const StatusSources sources{
      [this] { return FormatMetrics(CollectMetrics(), &histograms_); },
      [this] { return State(); },
      [this] { return EncodeCompact(follower_.Snapshot()); }, commands_};
  auto serving_status =
      status_server_.Open(deps_.loop, settings_, deps_.log, sources);
  if (!serving_status) return serving_status;
  UpdateSeeds();
  return {};
}

void BalancerProcess::UpdateSeeds() {
  std::vector<Endpoint> replicas;
  for (const Endpoint& seed : settings_.seeds) {
    if (seed.ip() == settings_.ip) continue;
    replicas.push_back(PeerEndpoint(settings_, seed.ip(), PeerPort::kReplica));
  }
  exchange_.SetSeeds(std::move(replicas));
}

tl::expected<void, NetError> BalancerProcess::OpenSockets() {
  opened_at_ = deps_.loop.Now();
  const auto flush = [this] { Flush(); };
  auto opened =
      OpenSocket(deps_.loop, settings_.packet_address,
                 {[this](const Endpoint& /*from*/, char* bytes, size_t size) {
                    last_client_packet_ = deps_.loop.Now();
                    balancer_.OnClientPacket(last_client_packet_, bytes, size);
                  },
                  flush, nullptr},
                 client_socket_);
  if (!opened) return opened;
  opened = OpenSocket(
      deps_.loop,
      PeerEndpoint(settings_, settings_.ip, PeerPort::kAgentPackets),
      {[this](const Endpoint& from, char* bytes, size_t size) {
         balancer_.OnAgentPacket(deps_.loop.Now(), from, bytes, size);
       },
       flush, nullptr},
      agent_socket_);
  if (!opened) return opened;
  return OpenSocket(deps_.loop,
                    PeerEndpoint(settings_, settings_.ip, PeerPort::kControl),
                    {[this](const Endpoint& from, char* bytes, size_t size) {
                       OnControl(from, std::string_view(bytes, size));
                     },
                     flush, nullptr},
                    control_socket_);
}

void BalancerProcess::Run() {
  LogLine(deps_.log, EventKind::kProcess, kLogComponent, "start")
      .Add("name", settings_.name)
      .Add("zone", settings_.zone)
      .Add("packets", settings_.packet_address)
      .Add("store", settings_.store)
      .Add("seeds", settings_.seeds.size());
  deps_.loop.SetMaxPoll(kMaxPoll);
  // Nothing arrived before the sockets were opened.
  directory_.OnAllRead(opened_at_);
  deps_.loop.SetPollObserver([this](TimePoint poll_began) {
    if (client_socket_->drained() && agent_socket_->drained() &&
        control_socket_->drained()) {
      directory_.OnAllRead(poll_began);
    }
  });
  startup_.Start(deps_.loop.Now());
  registration_.Publish(EncodeCompact(MakeBalancerRecord(settings_)));
  follower_.Start();
  housekeeping_timer_ =
      deps_.loop.Every(kHousekeepingPeriod, [this] { RunHousekeeping(); });
  exchange_timer_ = deps_.loop.Every(ReplicaExchange::kPeriod, [this] {
    exchange_.RunRound();
    AskForUnlistedAgents();
    Flush();
  });
  deps_.loop.Run();
  LogLine(deps_.log, EventKind::kProcess, kLogComponent, "stop")
      .Add("name", settings_.name)
      .Add("flows", balancer_.flow_count());
}

bool BalancerProcess::Ready() {
  return !leaving_rotation_ && configured_ && follower_.loaded() &&
         startup_.Allows(deps_.loop.Now());
}

void BalancerProcess::ToAgent(const Endpoint& agent, std::string_view packet) {
  agent_socket_->Queue(agent, packet);
}

void BalancerProcess::ToClient(const Endpoint& client,
                               std::string_view packet) {
  client_socket_->Queue(Endpoint(client.ip(), settings_.packet_address.port()),
                        packet);
}

void BalancerProcess::Query(const Endpoint& agent,
                            const schema::FlowQuery& query) {
  schema::SteeringMessage message;
  message.__set_query(query);
  SendToAgent(agent, message);
}

void BalancerProcess::Notify(const Endpoint& agent,
                             const schema::AgentNotice& notice) {
  schema::SteeringMessage message;
  message.__set_notice(notice);
  SendToAgent(agent, message);
}

void BalancerProcess::SendToAgent(const Endpoint& agent,
                                  const schema::SteeringMessage& message) {
  control_socket_->Queue(
      PeerEndpoint(settings_, agent.ip(), PeerPort::kControl),
      EncodeCompact(message));
}

bool BalancerProcess::ProbeInstance(const Endpoint& agent) {
  const Endpoint port = PeerEndpoint(settings_, agent.ip(), PeerPort::kReplica);
  return instance_prober_.Probe(
      port, TargetDirectory::kSilenceTimeout,
      [this, agent](ConnectionResult result) {
        if (result == ConnectionResult::kNoAnswer) return;
        balancer_.OnInstanceAnswer(agent, result == ConnectionResult::kRefused
                                              ? InstanceAnswer::kRefused
                                              : InstanceAnswer::kAccepted);
      });
}

bool BalancerProcess::OnConfiguration(const std::string& document,
                                      StoreRevision revision, bool after_gap) {
  auto routes = deps_.decoder.Decode(document);
  configuration_unreadable_ = !routes;
  if (!routes) {
    LogLine(deps_.log, EventKind::kStateChange, kLogComponent,
            "configuration-refused")
        .Add("revision", revision.number)
        .Add("reason", routes.error());
    return false;
  }
  if (routes->version < balancer_.routes().version) {
    LogLine(deps_.log, EventKind::kStateChange, kLogComponent,
            "configuration-older")
        .Add("version", routes->version)
        .Add("in_force", balancer_.routes().version)
        .Add("era", revision.era.value())
        .Add("revision", revision.number);
    return false;
  }
  LogLine(deps_.log, EventKind::kStateChange, kLogComponent, "configuration")
      .Add("version", routes->version)
      .Add("before", balancer_.routes().version)
      .Add("era", revision.era.value())
      .Add("revision", revision.number)
      .Add("routes", routes->routes.size());
  configured_ = true;
  balancer_.Apply(
      deps_.loop.Now(), std::move(*routes),
      after_gap ? UpdateContinuity::kAfterGap : UpdateContinuity::kContiguous);
  Flush();
  return true;
}

void BalancerProcess::OnBalancerEntry(const std::string& key,
                                      const schema::BalancerRecord& record,
                                      StoreRevision revision) {
  const bool own = key == DirectoryKeys::OfBalancer(PeerEndpoint(
                              settings_, settings_.ip, PeerPort::kControl));
  if (own || record.name == settings_.name) {
    if (!follower_.loaded()) startup_.OnEarlierEntry();
    return;
  }
  exchange_.AddPeer(key, Endpoint::Unpack(record.control),
                    Endpoint::Unpack(record.replica));
  rotation_.OnPeerListed(deps_.loop.Now(), key, record.zone);
  UpdateNotifiers();
  // The first read of a later era returns entries restored from a copy.
  const bool written_since =
      follower_.loaded() && revision.era == follower_.directory_revision().era;
  startup_.OnPeerListed(
      key, {record.zone, CapacityOf(record)},
      written_since ? EntryAge::kWrittenSince : EntryAge::kMayBeEarlier);
}

void BalancerProcess::OnEntryRemoved(const std::string& key,
                                     StoreRevision revision) {
  if (IsEvacuationKey(key)) {
    OnEvacuation(key, false, revision);
    return;
  }
  exchange_.RemovePeer(key);
  startup_.OnPeerRemoved(key);
  UpdateNotifiers();
  rotation_.OnPeerRemoved(deps_.loop.Now(), key);
  LogLine(deps_.log, EventKind::kStateChange, kLogComponent, "entry-removed")
      .Add("key", key)
      .Add("era", revision.era.value())
      .Add("revision", revision.number);
  if (key == own_key_) registration_.VerifyNow(revision);
  const TimePoint now = deps_.loop.Now();
  const auto agent = directory_.Remove(now, key, revision);
  if (agent) balancer_.OnAgentUnlisted(now, *agent);
}

void BalancerProcess::OnSynchronized(TimePoint as_of) {
  if (!synchronized_) {
    synchronized_ = true;
    const StoreRevision revision = follower_.directory_revision();
    LogLine(deps_.log, EventKind::kStateChange, kLogComponent, "directory-read")
        .Add("targets", directory_.size())
        .Add("peers", exchange_.peer_count())
        .Add("era", revision.era.value())
        .Add("revision", revision.number);
  }
  balancer_.OnDirectoryRead(deps_.loop.Now(), as_of,
                            follower_.directory_revision(),
                            !configuration_unreadable_);
  Flush();
}

tl::expected<void, AnnouncementRefusal> BalancerProcess::OnAnnouncement(
    const Endpoint& /*address*/, const TargetAnnouncement& /*announcement*/) {
  return tl::unexpected(AnnouncementRefusal{
      false, "a balancer takes no announcements; ask the agent"});
}

void BalancerProcess::OnDeregister(const std::string& id,
                                   TimePoint /*sent_after*/) {
  LogLine(deps_.log, EventKind::kMalformedInput, kLogComponent,
          "deregister-ignored")
      .Add("target", id);
}

void BalancerProcess::OnInvalidAnnouncement(const std::string& reason) {
  LogLine(deps_.log, EventKind::kMalformedInput, kLogComponent,
          "announcement-refused")
      .Add("reason", reason);
}

void BalancerProcess::OnControl(const Endpoint& from, std::string_view bytes) {
  const auto message = DecodeControlMessage(from, bytes);
  if (!message) {
    ++malformed_control_;
    LogLine(deps_.log, EventKind::kMalformedInput, kLogComponent,
            "control-refused")
        .Add("from", from)
        .Add("reason", message.error());
    return;
  }
  if (message->__isset.report) {
    balancer_.OnReport(deps_.loop.Now(), message->report);
  }
  if (message->__isset.version) {
    startup_.OnPeerVersion(DirectoryKeys::OfBalancer(from));
    exchange_.OnPeerVersion(
        from, PeerEndpoint(settings_, from.ip(), PeerPort::kReplica),
        message->version);
  }
  if (message->__isset.changes) exchange_.OnPeerChanges(message->changes);
  if (message->__isset.revision_query) {
    exchange_.OnRevisionQuery(from, message->revision_query);
  }
  if (message->__isset.revision_reply) {
    exchange_.OnRevisionReply(message->revision_reply);
  }
  if (message->__isset.unlisted_query) {
    OnUnlistedQuery(from, message->unlisted_query);
  }
  if (message->__isset.unlisted_reply) {
    OnUnlistedReply(from, message->unlisted_reply);
  }
}

void BalancerProcess::Flush() {
  balancer_.FlushQueries(deps_.loop.Now());
  client_socket_->Flush();
  // A notice is sent before the SYN that it applies to.
  control_socket_->Flush();
  agent_socket_->Flush();
  ScheduleTick();
}

void BalancerProcess::ScheduleTick() {
  if (tick_scheduled_ || !balancer_.busy()) return;
  tick_scheduled_ = true;
  tick_timer_ = deps_.loop.After(kTickPeriod, [this] { Tick(); });
}

void BalancerProcess::Tick() {
  tick_scheduled_ = false;
  balancer_.OnTick(deps_.loop.Now());
  Flush();
}

void BalancerProcess::RunHousekeeping() {
  const TimePoint now = deps_.loop.Now();
  follower_.SetFollowerCount(exchange_.peer_count() + 1);
  balancer_.SetStoreCurrent(now, follower_.current());
  exchange_.SendChanges();
  Ready();  // Logs the end of a startup wait also between probes.
  const auto gone = directory_.Expire(now, follower_.current());
  if (!gone.empty()) balancer_.OnTargetsDropped(gone);
  balancer_.OnTick(now);
  Flush();
  const auto changed = settings_watcher_.Check(
      now, deps_.signals.reload.exchange(false), settings_);
  if (changed) {
    settings_ = *changed;
    UpdateSeeds();
  }
  if (deps_.signals.stop && !stopping_) BeginStop();
  if (stopping_) AdvanceStop();
}

void BalancerProcess::BeginStop() {
  stopping_ = true;
  stop_began_ = deps_.loop.Now();
  LogLine(deps_.log, EventKind::kProcess, kLogComponent, "stop-begins")
      .Add("flows", balancer_.flow_count());
  // Detects peers that began to stop shortly before.
  follower_.Refresh();
}

void BalancerProcess::TryLeaveRotation() {
  const TimePoint now = deps_.loop.Now();
  const Duration since = now - stop_began_;
  if (since < kHousekeepingPeriod) return;  // The refresh is in flight.
  const Duration longest_wait =
      std::min(kMaxRotationWait, settings_.stop_grace - kStopReserve -
                                     kRotationExitTime - kQuietPeriod);
  if (since < longest_wait && !rotation_.MayLeave(now)) return;
  leaving_rotation_ = true;
  leave_began_ = now;
  LogLine(deps_.log, EventKind::kProcess, kLogComponent, "leaves-rotation")
      .Add("waited", since)
      .Add("flows", balancer_.flow_count());
  registration_.Withdraw([] {});
}

void BalancerProcess::AdvanceStop() {
  if (!leaving_rotation_) TryLeaveRotation();
  if (!leaving_rotation_) return;
  const TimePoint now = deps_.loop.Now();
  const bool quiet = now - leave_began_ > kRotationExitTime &&
                     now - last_client_packet_ > kQuietPeriod;
  const bool late = now - stop_began_ > settings_.stop_grace - kStopReserve;
  if (quiet || late) deps_.loop.Stop();
}

tl::expected<schema::Table, std::string> BalancerProcess::BuildTable(
    Subject subject) const {
  return MakeTable(
      subject, BalancerTableSources{deps_.loop.Now(), balancer_, directory_,
                                    zones_, exchange_.peers(),
                                    follower_.configuration_revision().number});
}

std::string BalancerProcess::State() {
  schema::SteeringState state;
  state.name = settings_.name;
  state.role = "balancer";
  state.zone = settings_.zone;
  state.ready = Ready();
  state.stopping = stopping_;
  state.version = follower_.Version();
  for (const AgentView* view : directory_.All()) {
    state.targets.push_back(view->record);
  }
  state.counters = CollectMetrics();
  return EncodeReadableJson(state);
}

}  // namespace sesamesaddle
