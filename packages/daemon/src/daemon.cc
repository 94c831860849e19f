#include "daemon/daemon.h"

#include <utility>

#include "daemon/agent_role.h"
#include "daemon/balancer_role.h"
#include "daemon/log.h"
#include "daemon/settings.h"
#include "schema/codec.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "daemon: ";
constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
constexpr Duration kStoreTimeout = std::chrono::seconds(2);
constexpr Duration kAgentLoadDelay = std::chrono::seconds(5);
constexpr Duration kLoadRetryDelay = std::chrono::seconds(2);
constexpr Duration kWatchCheckPeriod = std::chrono::seconds(1);
constexpr Duration kStopLogPeriod = std::chrono::seconds(1);

bool IsControlMessage(const schema::PeerMessage& message) {
  return message.__isset.gossip || message.__isset.configuration_news ||
         message.__isset.configuration_fetch ||
         message.__isset.snapshot_fetch || message.__isset.load_report ||
         message.__isset.directory_update || message.__isset.directory_ack;
}

}  // namespace

tl::expected<std::unique_ptr<Daemon>, NetError> Daemon::Open(
    EventLoop& loop, const schema::DaemonSettings& settings,
    RandomSource& random) {
  auto daemon = std::make_unique<Daemon>(loop, settings, random);
  auto opened = daemon->OpenSockets();
  if (!opened) return tl::unexpected(opened.error());
  return daemon;
}

Daemon::Daemon(EventLoop& loop, const schema::DaemonSettings& settings,
               RandomSource& random)
    : loop_(loop),
      settings_(settings),
      random_(random),
      scheduler_(loop),
      log_(clock_, WriteLogLine),
      store_(loop, log_, Endpoint::Unpack(settings.platform), kStoreTimeout) {}

tl::expected<void, NetError> Daemon::OpenSockets() {
  const auto execute_actions = [this](Outbox& out) { ExecuteActions(out); };
  auto socket =
      UdpSocket::Open(loop_, Endpoint::Unpack(settings_.listen),
                      [this](const Endpoint& from, std::string_view bytes) {
                        OnDatagram(from, bytes);
                      });
  if (!socket) return tl::unexpected(socket.error());
  socket_ = std::move(*socket);
  const schema::MemberRecord self = MakeSelfRecord();
  if (settings_.role == schema::Role::kBalancer) {
    auto role =
        BalancerRole::Open(loop_, settings_, self, random_, execute_actions);
    if (!role) return tl::unexpected(role.error());
    role_ = std::move(*role);
  } else {
    role_ = std::make_unique<AgentRole>(loop_, settings_, self, random_,
                                        execute_actions);
  }
  ControlPlane& control = role_->control();
  change_log_ = std::make_unique<ChangeLog>(
      store_, scheduler_, control.replica(),
      [this](const schema::ChangeRecord& record) {
        Outbox out;
        role_->control().OnRecord(record, out);
        ExecuteActions(out);
      },
      [this](const schema::Configuration& snapshot) {
        role_->control().OnSnapshot(snapshot);
      });
  seed_discovery_ = std::make_unique<SeedDiscovery>(
      store_, scheduler_, random_, settings_.zone,
      Endpoint::Unpack(settings_.listen),
      settings_.role == schema::Role::kBalancer,
      [this](const std::vector<Endpoint>& seeds) {
        role_->control().membership().AddSeeds(seeds);
      },
      [this] { return role_->control().membership().present_count() > 0; });
  commands_ = std::make_unique<OperatorCommands>(
      *role_, *change_log_, scheduler_, random_, execute_actions);
  auto admin = AdminServer::Open(
      loop_, Endpoint::Unpack(settings_.admin_listen), settings_.admin_token,
      {[this] { return MakeStateDump(); }, [this] { return CollectCounters(); },
       [this] { return IsReady(); }},
      *commands_);
  if (!admin) return tl::unexpected(admin.error());
  admin_ = std::move(*admin);
  return {};
}

schema::MemberRecord Daemon::MakeSelfRecord() const {
  schema::MemberRecord self;
  self.name = settings_.name;
  self.role = settings_.role;
  self.endpoint = settings_.listen;
  self.zone = settings_.zone;
  self.incarnation = 0;
  self.state = schema::MemberState::kAlive;
  self.slots = settings_.slots;
  self.draining = false;
  self.born_ms = WallClockMs();
  self.admin = settings_.admin_listen;
  self.id = MakeMemberId(self.name, self.born_ms).value();
  return self;
}

void Daemon::Run(const std::atomic<bool>& stop_requested) {
  LOG(INFO) << kLogComponent << settings_.name << " is listening on "
            << Endpoint::Unpack(settings_.listen).ToString() << ", API on "
            << Endpoint::Unpack(settings_.admin_listen).ToString() << ".";
  std::vector<Endpoint> peers;
  for (const int64_t peer : settings_.peers) {
    peers.push_back(Endpoint::Unpack(peer));
  }
  role_->control().membership().AddSeeds(peers);
  seed_discovery_->Start();
  if (settings_.role == schema::Role::kBalancer) {
    LoadConfiguration();
  } else {
    // Peers send the configuration within this delay, unless there are none
    // yet.
    scheduler_.After(kAgentLoadDelay, [this] { LoadConfiguration(); });
  }
  const auto timer = loop_.Every(
      kTickPeriod, [this, &stop_requested] { Tick(stop_requested); });
  loop_.Run();
  LOG(INFO) << kLogComponent << settings_.name << " has stopped.";
}

void Daemon::LoadConfiguration() {
  // Balancers always read the store; agents only if no peer is known and no
  // configuration has been received.
  const bool from_peers = settings_.role == schema::Role::kAgent &&
                          (role_->control().membership().present_count() > 0 ||
                           role_->control().replica().revision() != Revision());
  if (from_peers) return;
  change_log_->Load([this](bool loaded) {
    if (loaded) {
      LOG(INFO) << kLogComponent << "configuration revision "
                << role_->control().replica().revision().value() << " loaded.";
      return;
    }
    LOG(WARNING) << kLogComponent
                 << "the configuration cannot be loaded from the "
                    "platform; retrying.";
    scheduler_.After(kLoadRetryDelay, [this] { LoadConfiguration(); });
  });
}

void Daemon::UpdateStoreWatch() {
  if (role_->control().ShouldWatchStore() && !stopping_) {
    change_log_->Follow();
  } else {
    change_log_->StopFollowing();
  }
}

void Daemon::OnDatagram(const Endpoint& from, std::string_view bytes) {
  const auto message = DecodeCompact<schema::PeerMessage>(bytes);
  if (!message) {
    ++malformed_;
    return;
  }
  Outbox out;
  role_->OnMessage(loop_.Now(), from, *message, out);
  ExecuteActions(out);
}

void Daemon::ExecuteActions(Outbox& out) {
  for (const Action& action : out.Take()) {
    const auto* send = std::get_if<SendToPeer>(&action);
    if (send == nullptr) {
      role_->ExecuteAction(action);
      continue;
    }
    const std::string bytes = EncodeCompact(send->message);
    ++sent_datagrams_;
    sent_bytes_ += static_cast<int64_t>(bytes.size());
    if (IsControlMessage(send->message)) {
      control_bytes_ += static_cast<int64_t>(bytes.size());
    }
    socket_->Send(send->to, bytes);
  }
}

void Daemon::Tick(const std::atomic<bool>& stop_requested) {
  const TimePoint now = loop_.Now();
  Outbox out;
  role_->OnTick(now, out);
  ExecuteActions(out);
  if (now >= next_watch_check_) {
    next_watch_check_ = now + kWatchCheckPeriod;
    UpdateStoreWatch();
  }
  if (stop_requested && !stopping_) {
    stopping_ = true;
    stop_deadline_ = now + std::chrono::milliseconds(settings_.stop_timeout_ms);
    LOG(INFO) << kLogComponent << "graceful shutdown begins.";
    seed_discovery_->Release();
    change_log_->StopFollowing();
    role_->BeginStop();
  }
  if (stopping_) AdvanceStop(now);
}

void Daemon::AdvanceStop(TimePoint now) {
  const std::string pending = role_->PendingWork(now);
  if (!pending.empty() && now < stop_deadline_) {
    if (now < next_stop_log_) return;
    next_stop_log_ = now + kStopLogPeriod;
    LOG(INFO) << kLogComponent << "waiting for " << pending << ".";
    return;
  }
  if (!pending.empty()) {
    LOG(WARNING) << kLogComponent
                 << "the stop timeout has expired while waiting for " << pending
                 << ".";
  }
  Outbox out;
  role_->Leave(now, out);
  ExecuteActions(out);
  loop_.Stop();
}

bool Daemon::IsReady() {
  const ControlPlane& control = role_->control();
  return !stopping_ && control.replica().revision() != Revision() &&
         (control.membership().synchronized() ||
          control.membership().present_count() == 0);
}

schema::StateDump Daemon::MakeStateDump() {
  const ControlPlane& control = role_->control();
  schema::StateDump dump;
  dump.name = settings_.name;
  dump.role = settings_.role == schema::Role::kBalancer ? "balancer" : "agent";
  dump.zone = settings_.zone;
  dump.version = kVersion;
  dump.revision = control.replica().revision().value();
  dump.ready = IsReady();
  dump.stopping = stopping_;
  dump.configuration = control.replica().current();
  dump.members.push_back(control.membership().self());
  for (const auto& [id, member] : control.membership().members()) {
    dump.members.push_back(member.record);
  }
  dump.counters = CollectCounters();
  role_->FillDump(loop_.Now(), dump);
  return dump;
}

Counters Daemon::CollectCounters() {
  Counters counters = role_->counters();
  counters["malformed_peer_messages_total"] = malformed_;
  counters["peer_datagrams_sent_total"] = sent_datagrams_;
  counters["peer_bytes_sent_total"] = sent_bytes_;
  counters["control_bytes_sent_total"] = control_bytes_;
  counters["platform_calls_total"] = store_.calls();
  counters["members_present"] =
      static_cast<int64_t>(role_->control().membership().present_count());
  counters["configuration_revision"] =
      role_->control().replica().revision().value();
  return counters;
}

}  // namespace sesamesaddle
