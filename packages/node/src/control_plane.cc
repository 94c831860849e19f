#include "node/control_plane.h"

#include <algorithm>
#include <utility>

#include "configuration/change_rules.h"
#include "configuration/zone_mode.h"
#include "schema/codec.h"

namespace sesamesaddle {
namespace {

constexpr size_t kBroadcastFanout = 4;
constexpr size_t kMaxRecordsPerUpdate = 8;
constexpr size_t kSnapshotPartBytes = 1100;
// Ticks come every 10 ms; a caller retransmits a datagram after 2 s or more.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(1000);
constexpr Duration kMinFetchInterval = std::chrono::milliseconds(200);
// Tolerates two concurrent failures while keeping the load on the store low.
constexpr size_t kWatchersPerZone = 3;

}  // namespace

ControlPlane::ControlPlane(const schema::MemberRecord& self,
                           const MembershipOptions& options,
                           RandomSource& random)
    : random_(random), membership_(self, options, random) {
  UpdateSelfMember();
}

bool ControlPlane::OnMessage(TimePoint now, const Endpoint& from,
                             const schema::PeerMessage& message, Outbox& out) {
  if (message.__isset.gossip) {
    std::vector<OutgoingGossip> sends;
    membership_.OnGossip(now, from, message.gossip, replica_.revision(), sends);
    for (OutgoingGossip& send : sends) {
      out.Send(send.to, std::move(send.gossip));
    }
    ProcessMemberChanges();
    Revision& known = revisions_[MemberId(message.gossip.sender.id)];
    known = std::max(known, Revision(message.gossip.revision));
    OnPeerRevision(now, from, Revision(message.gossip.revision), out);
    return true;
  }
  if (message.__isset.configuration_fetch) {
    OnConfigurationFetch(from, message.configuration_fetch, out);
    return true;
  }
  if (message.__isset.configuration_news) {
    OnConfigurationUpdate(now, from, message.configuration_news, out);
    return true;
  }
  if (message.__isset.snapshot_fetch) {
    OnSnapshotFetch(from, message.snapshot_fetch, out);
    return true;
  }
  return false;
}

bool ControlPlane::TickOverdue(TimePoint now) const {
  return last_tick_ != TimePoint{} && now - last_tick_ >= kPauseThreshold;
}

bool ControlPlane::RecentlyPaused(TimePoint now) const {
  return TickOverdue(now) || now < backlog_until_;
}

void ControlPlane::OnTick(TimePoint now, Outbox& out) {
  if (TickOverdue(now)) backlog_until_ = now + kBacklogDuration;
  last_tick_ = now;
  std::vector<OutgoingGossip> sends;
  membership_.OnTick(now, replica_.revision(), sends);
  for (OutgoingGossip& send : sends) out.Send(send.to, std::move(send.gossip));
  ProcessMemberChanges();
}

void ControlPlane::OnRecord(const schema::ChangeRecord& record, Outbox& out) {
  const Revision before = replica_.revision();
  replica_.OfferRecord(record);
  if (replica_.revision() == before) return;
  for (const auto& applied :
       replica_.RecordsAfter(before, ConfigurationReplica::kMaxRecentRecords)) {
    BroadcastRecord(applied, out);
  }
  OnConfigurationApplied();
}

void ControlPlane::OnSnapshot(const schema::Configuration& snapshot) {
  if (replica_.OfferSnapshot(snapshot) == OfferResult::kApplied) {
    OnConfigurationApplied();
  }
}

void ControlPlane::OnPeerRevision(TimePoint now, const Endpoint& peer,
                                  Revision revision, Outbox& out) {
  if (!(replica_.revision() < revision) || now < next_fetch_) return;
  next_fetch_ = now + kMinFetchInterval;
  schema::ConfigurationFetch fetch;
  fetch.after_revision = replica_.revision().value();
  out.Send(peer, fetch);
}

void ControlPlane::BeginStop() {
  stopping_ = true;
  UpdateSelfMember();
  configuration_changed_ = true;
}

bool ControlPlane::IsUsableBalancer(const Endpoint& endpoint) const {
  return balancer_index_.count(endpoint) != 0;
}

Endpoint ControlPlane::RandomBalancer(const Endpoint& avoid) const {
  if (balancers_.empty()) return avoid;
  const size_t index = random_.Below(balancers_.size());
  if (balancers_[index] != avoid) return balancers_[index];
  return balancers_[(index + 1) % balancers_.size()];
}

void ControlPlane::UpdateBalancer(const Member& member) {
  if (member.is_agent()) return;
  const Endpoint endpoint = member.endpoint();
  const bool usable = member.present() && !member.record.draining;
  const auto known = balancer_index_.find(endpoint);
  if (usable == (known != balancer_index_.end())) return;
  if (usable) {
    balancer_index_[endpoint] = balancers_.size();
    balancers_.push_back(endpoint);
    return;
  }
  const size_t index = known->second;
  balancer_index_.erase(known);
  if (index + 1 != balancers_.size()) {
    balancers_[index] = balancers_.back();
    balancer_index_[balancers_[index]] = index;
  }
  balancers_.pop_back();
}

size_t ControlPlane::CountMembersWithRevision(Revision revision) const {
  size_t count = replica_.revision() < revision ? 0 : 1;
  for (const auto& [id, member] : membership_.members()) {
    const auto known = revisions_.find(id);
    if (member.present() && known != revisions_.end() &&
        !(known->second < revision)) {
      ++count;
    }
  }
  return count;
}

void ControlPlane::RequestRevisions(Revision revision, size_t limit,
                                    Outbox& out) {
  for (const auto& [id, member] : membership_.members()) {
    if (limit == 0) return;
    const auto known = revisions_.find(id);
    const bool has = known != revisions_.end() && !(known->second < revision);
    if (!member.present() || has) continue;
    out.Send(member.endpoint(), MakePing(id));
    --limit;
  }
}

void ControlPlane::Leave(TimePoint now, Outbox& out) {
  std::vector<OutgoingGossip> sends;
  membership_.Leave(now, replica_.revision(), sends);
  for (OutgoingGossip& send : sends) out.Send(send.to, std::move(send.gossip));
}

schema::Gossip ControlPlane::MakePing(MemberId member) const {
  schema::Gossip ping;
  ping.kind = schema::GossipKind::kPing;
  ping.sequence = 0;
  ping.sender = membership_.self();
  ping.subject = member.value();
  ping.reply_to = 0;
  ping.revision = replica_.revision().value();
  return ping;
}

void ControlPlane::ProbeSilentPeers(TimePoint now, PeerLiveness& liveness,
                                    Outbox& out) {
  for (const MemberId id : liveness.TakePeersToProbe(now)) {
    const Member* member = membership_.Find(id);
    if (member == nullptr || !member->present()) {
      liveness.Forget(id);
      continue;
    }
    out.Send(member->endpoint(), MakePing(id));
    if (liveness.Silent(now, id)) membership_.PrioritizeProbe(id);
  }
}

bool ControlPlane::ShouldWatchStore() const {
  const schema::MemberRecord& self = membership_.self();
  if (self.role != schema::Role::kBalancer) return false;
  size_t lower_ids = 0;
  for (const auto& [id, member] : membership_.members()) {
    const bool candidate = member.present() && !member.is_agent() &&
                           member.record.zone == self.zone;
    if (candidate && id < membership_.self_id()) ++lower_ids;
  }
  return lower_ids < kWatchersPerZone;
}

schema::InstanceMode::type ControlPlane::mode() const {
  return ModeOf(replica_.current(), membership_.self().name);
}

bool ControlPlane::DrainedByOperators() const {
  return mode() != schema::InstanceMode::kServing ||
         IsEvacuated(replica_.current(), membership_.self().zone);
}

std::vector<MemberChange> ControlPlane::TakeMemberChanges() {
  return std::exchange(changes_, {});
}

bool ControlPlane::TakeConfigurationChanged() {
  return std::exchange(configuration_changed_, false);
}

void ControlPlane::OnConfigurationFetch(const Endpoint& from,
                                        const schema::ConfigurationFetch& fetch,
                                        Outbox& out) {
  const Revision after(fetch.after_revision);
  if (!(after < replica_.revision())) return;
  if (!replica_.HasRecordsAfter(after)) {
    schema::SnapshotFetch first_part;
    first_part.revision = replica_.revision().value();
    first_part.offset = 0;
    OnSnapshotFetch(from, first_part, out);
    return;
  }
  schema::ConfigurationNews update;
  update.first_revision = fetch.after_revision + 1;
  for (const auto& record :
       replica_.RecordsAfter(after, kMaxRecordsPerUpdate)) {
    update.records.push_back(EncodeCompact(record));
  }
  out.Send(from, std::move(update));
}

void ControlPlane::OnConfigurationUpdate(
    TimePoint now, const Endpoint& from,
    const schema::ConfigurationNews& update, Outbox& out) {
  if (update.__isset.snapshot_revision) {
    OnSnapshotPart(from, update, out);
    return;
  }
  Revision latest;
  for (const std::string& bytes : update.records) {
    const auto record = DecodeCompact<schema::ChangeRecord>(bytes);
    if (!record) continue;
    OnRecord(*record, out);
    latest = std::max(latest, Revision(record->revision));
  }
  if (update.records.size() == kMaxRecordsPerUpdate) {
    // The update is full, so there may be more records; fetch them immediately.
    next_fetch_ = now;
    latest = Revision(latest.value() + 1);
  }
  OnPeerRevision(now, from, latest, out);
}

void ControlPlane::OnSnapshotPart(const Endpoint& from,
                                  const schema::ConfigurationNews& update,
                                  Outbox& out) {
  if (update.snapshot_revision <= replica_.revision().value()) return;
  if (update.snapshot_revision != incoming_revision_) {
    if (update.offset != 0) return;
    incoming_revision_ = update.snapshot_revision;
    incoming_snapshot_.clear();
  }
  if (update.offset != static_cast<int32_t>(incoming_snapshot_.size())) return;
  incoming_snapshot_ += update.part;
  if (static_cast<int32_t>(incoming_snapshot_.size()) < update.snapshot_bytes) {
    schema::SnapshotFetch next;
    next.revision = incoming_revision_;
    next.offset = static_cast<int32_t>(incoming_snapshot_.size());
    out.Send(from, next);
    return;
  }
  const auto snapshot =
      DecodeCompact<schema::Configuration>(incoming_snapshot_);
  incoming_revision_ = 0;
  incoming_snapshot_.clear();
  if (snapshot) OnSnapshot(*snapshot);
}

void ControlPlane::OnSnapshotFetch(const Endpoint& from,
                                   const schema::SnapshotFetch& fetch,
                                   Outbox& out) {
  int32_t offset = fetch.offset;
  if (outgoing_revision_ != fetch.revision || outgoing_snapshot_.empty()) {
    // The requested snapshot is not cached: restart with the current one.
    outgoing_revision_ = replica_.revision().value();
    outgoing_snapshot_ = EncodeCompact(replica_.current());
    if (outgoing_revision_ != fetch.revision) offset = 0;
  }
  if (offset < 0 || static_cast<size_t>(offset) >= outgoing_snapshot_.size()) {
    return;
  }
  schema::ConfigurationNews update;
  update.first_revision = 0;
  update.__set_snapshot_revision(outgoing_revision_);
  update.__set_snapshot_bytes(static_cast<int32_t>(outgoing_snapshot_.size()));
  update.__set_offset(offset);
  update.__set_part(outgoing_snapshot_.substr(static_cast<size_t>(offset),
                                              kSnapshotPartBytes));
  out.Send(from, std::move(update));
}

void ControlPlane::BroadcastRecord(const schema::ChangeRecord& record,
                                   Outbox& out) {
  schema::ConfigurationNews update;
  update.first_revision = record.revision;
  update.records.push_back(EncodeCompact(record));
  for (size_t i = 0; i < kBroadcastFanout; ++i) {
    const Member* member = membership_.RandomPresent();
    if (member != nullptr) out.Send(member->endpoint(), update);
  }
}

void ControlPlane::OnConfigurationApplied() {
  services_.SetConfiguration(replica_.current());
  configuration_changed_ = true;
  UpdateSelfMember();
}

void ControlPlane::UpdateSelfMember() {
  membership_.SetDraining(stopping_ || DrainedByOperators());
  Member own;
  own.record = membership_.self();
  services_.SetMember(own);
}

void ControlPlane::ProcessMemberChanges() {
  for (MemberChange& change : membership_.TakeChanges()) {
    services_.SetMember(change.member);
    UpdateBalancer(change.member);
    if (!change.member.present()) revisions_.erase(change.member.id());
    changes_.push_back(std::move(change));
  }
}

}  // namespace sesamesaddle
