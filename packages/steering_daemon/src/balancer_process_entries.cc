// The part of BalancerProcess that reads the entries of the directory.

#include "core/text.h"
#include "schema/codec.h"
#include "steering_daemon/balancer_process.h"
#include "steering_daemon/directory_entries.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";

}  // namespace

void BalancerProcess::OnEntry(const std::string& key, const std::string& value,
                              StoreRevision revision) {
  if (IsEvacuationKey(key)) {
    OnEvacuation(key, true, revision);
    return;
  }
  if (HasPrefix(key, DirectoryKeys::kBalancerPrefix)) {
    const auto record = DecodeBalancerEntry(key, value);
    if (record) {
      OnBalancerEntry(key, *record, revision);
    } else {
      LogRefusedEntry(key, revision, record.error());
    }
    return;
  }
  if (!HasPrefix(key, DirectoryKeys::kTargetPrefix)) return;
  const auto record = DecodeTargetEntry(key, value);
  if (!record) {
    LogRefusedEntry(key, revision, record.error());
    OnUnusableTargetEntry(key, revision);
    return;
  }
  // One line reports the first read as a whole.
  if (follower_.loaded()) LogTarget(*record, revision);
  directory_.Put(deps_.loop.Now(), key, *record, revision);
  balancer_.OnAgentListed(deps_.loop.Now(), Endpoint::Unpack(record->agent));
  // Sends a notice that is due for it.
  ScheduleTick();
}

void BalancerProcess::OnUnusableTargetEntry(const std::string& key,
                                            StoreRevision revision) {
  // The key still names an agent, which may run and is not listed by it.
  const auto agent =
      Endpoint::Parse(key.substr(sizeof(DirectoryKeys::kTargetPrefix) - 1));
  if (!agent) return;
  const TimePoint now = deps_.loop.Now();
  if (directory_.Remove(now, key, revision)) {
    balancer_.OnAgentUnlisted(now, *agent);
  } else {
    balancer_.OnUnlistedAgent(now, *agent);
  }
  ScheduleTick();
}

void BalancerProcess::AskForUnlistedAgents() {
  if (!balancer_.NeedsUnlistedAgents(deps_.loop.Now())) return;
  const StoreRevision revision = balancer_.directory_revision();
  schema::UnlistedQuery query;
  query.era = revision.era.value();
  query.revision = revision.number;
  schema::SteeringMessage message;
  message.__set_unlisted_query(query);
  exchange_.SendToRandomPeers(message);
}

void BalancerProcess::OnUnlistedQuery(const Endpoint& control,
                                      const schema::UnlistedQuery& query) {
  const auto agents = balancer_.UnlistedAgents(
      deps_.loop.Now(), {StoreEra(query.era), query.revision});
  if (!agents) return;
  const StoreRevision revision = balancer_.directory_revision();
  schema::UnlistedReply reply;
  reply.era = revision.era.value();
  reply.revision = revision.number;
  for (const Endpoint& agent : *agents) reply.agents.push_back(agent.Pack());
  schema::SteeringMessage message;
  message.__set_unlisted_reply(reply);
  control_socket_->Queue(control, EncodeCompact(message));
}

void BalancerProcess::OnUnlistedReply(const Endpoint& control,
                                      const schema::UnlistedReply& reply) {
  std::vector<Endpoint> agents;
  agents.reserve(reply.agents.size());
  for (const int64_t agent : reply.agents) {
    agents.push_back(Endpoint::Unpack(agent));
  }
  balancer_.OnUnlistedAgents(deps_.loop.Now(), control,
                             {StoreEra(reply.era), reply.revision}, agents);
}

void BalancerProcess::LogRefusedEntry(const std::string& key,
                                      StoreRevision revision,
                                      std::string_view reason) {
  ++refused_entries_;
  LogLine(deps_.log, EventKind::kMalformedInput, kLogComponent, "entry-refused")
      .Add("key", key)
      .Add("revision", revision.number)
      .Add("reason", reason);
}

void BalancerProcess::LogTarget(const schema::TargetRecord& record,
                                StoreRevision revision) {
  LogLine(deps_.log, EventKind::kStateChange, kLogComponent, "target-listed")
      .Add("target", record.id)
      .Add("service", record.service_name)
      .Add("agent", Endpoint::Unpack(record.agent))
      .Add("zone", record.zone)
      .Add("state", static_cast<int>(record.state))
      .Add("slots", record.slots)
      .Add("era", revision.era.value())
      .Add("revision", revision.number);
}

}  // namespace sesamesaddle
