#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

#include "core/hash.h"

namespace sesamesaddle {
namespace {

using schema::GossipKind;
using schema::MemberState;

constexpr size_t kBucketCount = 64;
// Keeps a datagram of full records below a typical MTU.
constexpr size_t kMaxRecordsPerDatagram = 12;
// A digest reply is filled up to this many records with members that the sender
// of the digest may already know.
constexpr size_t kMaxSpeculativeRecords = kMaxRecordsPerDatagram;

size_t BucketOf(int64_t id) { return static_cast<uint64_t>(id) % kBucketCount; }

// A bucket's hash is the XOR of its members' hashes, so that one change costs
// two hashes, regardless of the table size. Only present members are included,
// because processes remove dead members at different times, which must not make
// their tables differ.
int64_t HashRecord(const schema::MemberRecord& record) {
  return static_cast<int64_t>(
      HashPair(static_cast<uint64_t>(record.id),
               static_cast<uint64_t>(record.incarnation), record.draining));
}

int32_t ShortHash(const schema::MemberRecord& record) {
  return static_cast<int32_t>(HashRecord(record));
}

bool IsPresent(MemberState::type state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

schema::MemberNews ToUpdate(const schema::MemberRecord& record) {
  schema::MemberNews update;
  update.id = record.id;
  update.incarnation = record.incarnation;
  update.state = record.state;
  update.draining = record.draining;
  return update;
}

}  // namespace

size_t RateLimiter::Take(TimePoint now, size_t wanted) {
  const double elapsed =
      std::chrono::duration<double>(now - last_refill_).count();
  last_refill_ = now;
  tokens_ = std::min(per_second_, tokens_ + elapsed * per_second_);
  const size_t taken = std::min(wanted, static_cast<size_t>(tokens_));
  tokens_ -= static_cast<double>(taken);
  return taken;
}

Membership::Membership(const schema::MemberRecord& self,
                       const MembershipOptions& options, RandomSource& random)
    : self_(self),
      options_(options),
      random_(random),
      bucket_hashes_(kBucketCount, 0),
      bucket_members_(kBucketCount),
      join_limiter_(options.new_records_per_second),
      update_limiter_(options.updates_per_second),
      digest_reply_limiter_(options.digest_reply_datagrams_per_second) {
  self_.state = MemberState::kAlive;
  ToggleInBucketHash(self_);
}

void Membership::AddSeeds(const std::vector<Endpoint>& seeds) {
  for (const Endpoint& seed : seeds) {
    const bool known =
        std::find(seeds_.begin(), seeds_.end(), seed) != seeds_.end();
    if (!known && seed.Pack() != self_.endpoint) seeds_.push_back(seed);
  }
}

void Membership::OnGossip(TimePoint now, const Endpoint& from,
                          const schema::Gossip& gossip, Revision revision,
                          std::vector<OutgoingGossip>& out) {
  if (left_) return;
  Merge(now, gossip.sender);
  const size_t known = members_.size();
  for (const schema::MemberRecord& record : gossip.records) Merge(now, record);
  for (const schema::MemberNews& update : gossip.news) MergeUpdate(now, update);
  switch (gossip.kind) {
    case GossipKind::kPing:
      ReplyToPing(from, gossip, revision, out);
      break;
    case GossipKind::kPingRequest:
      RelayPing(from, gossip, revision, out);
      break;
    case GossipKind::kAck:
      probes_.erase(gossip.sequence);
      break;
    case GossipKind::kDigest:
      ReplyToDigest(from, gossip, revision, out);
      break;
    case GossipKind::kRecords:
      OnDigestReply(now, gossip, members_.size() - known);
      break;
  }
}

void Membership::OnTick(TimePoint now, Revision revision,
                        std::vector<OutgoingGossip>& out) {
  if (left_) return;
  DetectPause(now);
  last_tick_ = now;
  AdvanceProbes(now, revision, out);
  if (now >= next_probe_) {
    next_probe_ = now + options_.probe_period;
    StartProbe(now, revision, out);
  }
  ExpireSuspects(now);
  if (now >= next_digest_) SendDigest(now, revision, out);
  if (now >= next_dead_probe_) ProbeDeadMember(now, revision, out);
  if (now >= next_purge_) PurgeExpiredMembers(now);
}

void Membership::Leave(TimePoint now, Revision revision,
                       std::vector<OutgoingGossip>& out) {
  constexpr size_t kLeaveFanout = 8;
  self_.state = MemberState::kLeft;
  schema::Gossip gossip = MakeGossip(GossipKind::kRecords, revision);
  gossip.records = {self_};
  for (size_t i = 0; i < kLeaveFanout; ++i) {
    const Member* member = RandomPresent();
    if (member != nullptr) out.push_back({member->endpoint(), gossip});
  }
  left_ = true;
  last_tick_ = now;
}

void Membership::SetDraining(bool draining) {
  if (self_.draining == draining) return;
  ToggleInBucketHash(self_);
  self_.draining = draining;
  ++self_.incarnation;
  ToggleInBucketHash(self_);
  update_queue_.Add(self_id());
}

void Membership::PrioritizeProbe(MemberId member) {
  const bool queued =
      std::find(priority_probes_.begin(), priority_probes_.end(), member) !=
      priority_probes_.end();
  if (!queued) priority_probes_.push_back(member);
}

const Member* Membership::Find(MemberId id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

const Member* Membership::RandomPresent() const {
  if (present_.empty()) return nullptr;
  return Find(present_[random_.Below(present_.size())]);
}

std::vector<MemberChange> Membership::TakeChanges() {
  return std::exchange(changes_, {});
}

bool Membership::TakeResumed() { return std::exchange(resumed_, false); }

// ---- Merging received state.

void Membership::Merge(TimePoint now, const schema::MemberRecord& record) {
  if (record.id == self_.id) {
    MergeUpdate(now, ToUpdate(record));
    return;
  }
  if (members_.count(MemberId(record.id)) != 0) {
    MergeUpdate(now, ToUpdate(record));
    return;
  }
  Insert(now, record);
}

void Membership::MergeUpdate(TimePoint now, const schema::MemberNews& update) {
  if (update.id == self_.id) {
    const bool refutable = update.state != MemberState::kAlive;
    if (refutable && update.incarnation >= self_.incarnation) {
      Refute(update.incarnation);
    }
    return;
  }
  const auto it = members_.find(MemberId(update.id));
  // The full record of an unknown member arrives with a digest reply.
  if (it == members_.end()) return;
  Member& member = it->second;
  if (!Supersedes(update.incarnation, update.state, member.record.incarnation,
                  member.record.state)) {
    return;
  }
  const bool draining_changed = member.record.draining != update.draining;
  ToggleInBucketHash(member.record);
  member.record.draining = update.draining;
  ToggleInBucketHash(member.record);
  Transition(now, member, update.state, update.incarnation);
  if (draining_changed) changes_.push_back({member, member.present()});
}

void Membership::Refute(int32_t incarnation) {
  ToggleInBucketHash(self_);
  self_.incarnation = incarnation + 1;
  ToggleInBucketHash(self_);
  update_queue_.Add(self_id());
}

void Membership::Transition(TimePoint now, Member& member,
                            MemberState::type state, int32_t incarnation) {
  const bool was_present = member.present();
  ToggleInBucketHash(member.record);
  member.record.state = state;
  member.record.incarnation = incarnation;
  ToggleInBucketHash(member.record);
  member.state_since = now;
  if (state == MemberState::kSuspect) {
    suspects_.insert_or_assign(member.id(), now + SuspicionTimeout());
  } else {
    suspects_.erase(member.id());
  }
  update_queue_.Add(member.id());
  if (was_present != member.present()) UpdatePresence(member, was_present);
}

void Membership::Insert(TimePoint now, const schema::MemberRecord& record) {
  // An unknown member that is dead or left is not added: it may have been
  // removed here already.
  if (!IsPresent(record.state)) return;
  if (!ReplacePredecessor(now, record)) return;
  Member& member = members_[MemberId(record.id)];
  member.record = record;
  member.state_since = now;
  bucket_members_[BucketOf(record.id)].push_back(member.id());
  ToggleInBucketHash(record);
  if (record.state == MemberState::kSuspect) {
    suspects_.emplace(member.id(), now + SuspicionTimeout());
  }
  join_queue_.Add(member.id());
  // Inserted at a random position of the current probe round: otherwise the
  // last member to join would not be probed by any process for a whole round.
  const size_t place = random_.Below(probe_order_.size() + 1);
  probe_order_.push_back(member.id());
  std::swap(probe_order_[place], probe_order_.back());
  UpdatePresence(member, false);
}

/**
 * Marks an earlier process at the address of `record` as left.
 * @return false if `record` itself belongs to an earlier process
 */
bool Membership::ReplacePredecessor(TimePoint now,
                                    const schema::MemberRecord& record) {
  const auto it = by_endpoint_.find(record.endpoint);
  if (it != by_endpoint_.end()) {
    Member& other = members_.at(it->second);
    if (other.record.born_ms > record.born_ms) return false;
    if (other.present()) {
      Transition(now, other, MemberState::kLeft, other.record.incarnation);
    }
  }
  by_endpoint_[record.endpoint] = MemberId(record.id);
  return true;
}

void Membership::UpdatePresence(const Member& member, bool was_present) {
  const MemberId id = member.id();
  if (member.present()) {
    present_index_[id] = present_.size();
    present_.push_back(id);
  } else if (const auto it = present_index_.find(id);
             it != present_index_.end()) {
    const size_t index = it->second;
    present_index_.erase(it);
    if (index + 1 != present_.size()) {
      present_[index] = present_.back();
      present_index_[present_[index]] = index;
    }
    present_.pop_back();
  }
  changes_.push_back({member, was_present});
}

void Membership::ToggleInBucketHash(const schema::MemberRecord& record) {
  if (!IsPresent(record.state)) return;
  bucket_hashes_[BucketOf(record.id)] ^= HashRecord(record);
}

// ---- Sending and replying.

schema::Gossip Membership::MakeGossip(GossipKind::type kind,
                                      Revision revision) {
  schema::Gossip gossip;
  gossip.kind = kind;
  gossip.sequence = 0;
  gossip.sender = self_;
  gossip.subject = 0;
  gossip.reply_to = 0;
  gossip.revision = revision.value();
  const double decades = std::log10(static_cast<double>(members_.size() + 10));
  const int max_transmissions = static_cast<int>(std::ceil(8 * decades));
  // Fewer than for updates, as full records are large and digests repair missed
  // ones.
  const int max_join_transmissions = static_cast<int>(std::ceil(3 * decades));
  const size_t records = join_limiter_.Take(
      last_tick_, std::min(join_queue_.size(), options_.max_new_records));
  for (const MemberId id : join_queue_.Take(records, max_join_transmissions)) {
    const Member* member = Find(id);
    if (member != nullptr) gossip.records.push_back(member->record);
  }
  const size_t updates = update_limiter_.Take(
      last_tick_, std::min(update_queue_.size(), options_.max_updates));
  for (const MemberId id : update_queue_.Take(updates, max_transmissions)) {
    const Member* member = Find(id);
    // This process itself: its state is in the sender field.
    if (member == nullptr) continue;
    gossip.news.push_back(ToUpdate(member->record));
  }
  return gossip;
}

void Membership::ReplyToPing(const Endpoint& from, const schema::Gossip& gossip,
                             Revision revision,
                             std::vector<OutgoingGossip>& out) {
  // An ack to a ping for an earlier process at this address would keep that
  // process alive in the sender's table.
  if (gossip.subject != 0 && gossip.subject != self_.id) return;
  schema::Gossip ack = MakeGossip(GossipKind::kAck, revision);
  ack.sequence = gossip.sequence;
  ack.subject = self_.id;
  // Informs a sender that is marked suspect, dead or left, so that it can
  // refute that.
  const Member* sender = Find(MemberId(gossip.sender.id));
  if (sender != nullptr && sender->record.state != MemberState::kAlive) {
    ack.news.push_back(ToUpdate(sender->record));
  }
  out.push_back(
      {gossip.reply_to == 0 ? from : Endpoint::Unpack(gossip.reply_to),
       std::move(ack)});
}

void Membership::RelayPing(const Endpoint& from, const schema::Gossip& gossip,
                           Revision revision,
                           std::vector<OutgoingGossip>& out) {
  const Member* target = Find(MemberId(gossip.subject));
  if (target == nullptr) return;
  schema::Gossip ping = MakeGossip(GossipKind::kPing, revision);
  ping.sequence = gossip.sequence;
  ping.subject = gossip.subject;
  ping.reply_to = from.Pack();
  out.push_back({target->endpoint(), std::move(ping)});
}

void Membership::ReplyToDigest(const Endpoint& from,
                               const schema::Gossip& gossip, Revision revision,
                               std::vector<OutgoingGossip>& out) {
  const std::vector<MemberId> missing = MembersToSend(gossip);
  const size_t wanted =
      std::max<size_t>(1, (missing.size() + kMaxRecordsPerDatagram - 1) /
                              kMaxRecordsPerDatagram);
  const size_t allowed = digest_reply_limiter_.Take(last_tick_, wanted);
  const int64_t differing = DifferingBuckets(gossip);
  for (size_t i = 0; i < allowed; ++i) {
    schema::Gossip reply = MakeGossip(GossipKind::kRecords, revision);
    reply.__set_differing(differing);
    const size_t first = i * kMaxRecordsPerDatagram;
    const size_t end = std::min(missing.size(), first + kMaxRecordsPerDatagram);
    for (size_t j = first; j < end; ++j) {
      reply.records.push_back(members_.at(missing[j]).record);
    }
    out.push_back({from, std::move(reply)});
  }
}

int64_t Membership::DifferingBuckets(const schema::Gossip& digest) const {
  uint64_t differing = 0;
  for (size_t i = 0; i < kBucketCount && i < digest.buckets.size(); ++i) {
    if (digest.buckets[i] != bucket_hashes_[i]) differing |= uint64_t{1} << i;
  }
  return static_cast<int64_t>(differing);
}

/**
 * Returns the members to send in reply to a digest: those of the listed bucket
 * that its sender lacks or wrongly lists as present, and all present members of
 * differing buckets that are empty at the sender. Present members of other
 * differing buckets fill up the first datagram.
 */
std::vector<MemberId> Membership::MembersToSend(
    const schema::Gossip& digest) const {
  std::vector<MemberId> missing;
  const std::unordered_set<int32_t> known(digest.known.begin(),
                                          digest.known.end());
  const size_t listed = static_cast<size_t>(digest.bucket) % kBucketCount;
  for (const MemberId id : bucket_members_[listed]) {
    const Member& member = members_.at(id);
    const bool listed_there = known.count(ShortHash(member.record)) != 0;
    if (member.present() != listed_there) missing.push_back(id);
  }
  const size_t start = random_.Below(kBucketCount);
  for (size_t i = 0; i < kBucketCount && !digest.buckets.empty(); ++i) {
    const size_t bucket = (start + i) % kBucketCount;
    const int64_t theirs = digest.buckets[bucket % digest.buckets.size()];
    if (bucket == listed || theirs == bucket_hashes_[bucket]) continue;
    // If the sender's bucket is not empty, it may already know these members,
    // so they are only sent while there is space.
    if (theirs != 0 && missing.size() >= kMaxSpeculativeRecords) continue;
    for (const MemberId id : bucket_members_[bucket]) {
      if (members_.at(id).present()) missing.push_back(id);
    }
  }
  return missing;
}

// ---- Timers.

void Membership::DetectPause(TimePoint now) {
  const bool first = last_tick_ == TimePoint{};
  if (first || now - last_tick_ < options_.pause_threshold) return;
  // Acks may have been missed during the pause, so pending probes are dropped
  // and suspicion deadlines extended. A new incarnation is needed because other
  // members may have declared this process dead.
  const Duration pause = now - last_tick_;
  probes_.clear();
  for (auto& [member, deadline] : suspects_) deadline += pause;
  Refute(self_.incarnation);
  resumed_ = true;
}

std::optional<MemberId> Membership::NextProbeTarget() {
  while (!priority_probes_.empty()) {
    const MemberId id = priority_probes_.front();
    priority_probes_.pop_front();
    const Member* member = Find(id);
    if (member != nullptr && member->present()) return id;
  }
  while (true) {
    if (probe_order_.empty()) {
      if (present_.empty()) return {};
      probe_order_ = present_;
      for (size_t i = probe_order_.size(); i > 1; --i) {
        std::swap(probe_order_[i - 1], probe_order_[random_.Below(i)]);
      }
    }
    const MemberId id = probe_order_.back();
    probe_order_.pop_back();
    const Member* member = Find(id);
    if (member != nullptr && member->present()) return id;
  }
}

void Membership::StartProbe(TimePoint now, Revision revision,
                            std::vector<OutgoingGossip>& out) {
  const std::optional<MemberId> target = NextProbeTarget();
  if (!target) return;
  Probe probe{*target, next_sequence_++, now + options_.direct_timeout,
              now + options_.probe_period};
  schema::Gossip ping = MakeGossip(GossipKind::kPing, revision);
  ping.sequence = probe.sequence;
  ping.subject = target->value();
  // Informs a suspect of the suspicion, so that it can refute it.
  const Member& member = members_.at(*target);
  if (member.record.state != MemberState::kAlive) {
    ping.news.push_back(ToUpdate(member.record));
  }
  out.push_back({member.endpoint(), std::move(ping)});
  probes_.emplace(probe.sequence, probe);
}

void Membership::AdvanceProbes(TimePoint now, Revision revision,
                               std::vector<OutgoingGossip>& out) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (now >= probe.fail_at) {
      const auto member = members_.find(probe.target);
      if (member != members_.end() &&
          member->second.record.state == MemberState::kAlive) {
        Transition(now, member->second, MemberState::kSuspect,
                   member->second.record.incarnation);
        // The next probe carries the suspicion, so that the member can refute
        // it.
        PrioritizeProbe(probe.target);
      }
      it = probes_.erase(it);
      continue;
    }
    if (!probe.indirect_sent && now >= probe.indirect_at) {
      probe.indirect_sent = true;
      SendIndirect(probe, revision, out);
    }
    ++it;
  }
}

void Membership::SendIndirect(const Probe& probe, Revision revision,
                              std::vector<OutgoingGossip>& out) {
  for (size_t i = 0; i < options_.indirect_probes; ++i) {
    const Member* relay = RandomPresent();
    if (relay == nullptr || relay->id() == probe.target) continue;
    schema::Gossip request = MakeGossip(GossipKind::kPingRequest, revision);
    request.sequence = probe.sequence;
    request.subject = probe.target.value();
    out.push_back({relay->endpoint(), std::move(request)});
  }
}

void Membership::ExpireSuspects(TimePoint now) {
  std::vector<MemberId> expired;
  for (const auto& [member, deadline] : suspects_) {
    if (now >= deadline) expired.push_back(member);
  }
  for (const MemberId id : expired) {
    Member& member = members_.at(id);
    Transition(now, member, MemberState::kDead, member.record.incarnation);
  }
}

void Membership::PurgeExpiredMembers(TimePoint now) {
  constexpr Duration kPurgePeriod = std::chrono::seconds(10);
  next_purge_ = now + kPurgePeriod;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const Duration retention = member.record.state == MemberState::kLeft
                                   ? options_.left_retention
                                   : options_.dead_retention;
    if (member.present() || now - member.state_since < retention) {
      ++it;
      continue;
    }
    auto& bucket = bucket_members_[BucketOf(member.record.id)];
    bucket.erase(std::find(bucket.begin(), bucket.end(), member.id()));
    ToggleInBucketHash(member.record);
    join_queue_.Remove(member.id());
    update_queue_.Remove(member.id());
    const auto owner = by_endpoint_.find(member.record.endpoint);
    if (owner != by_endpoint_.end() && owner->second == member.id()) {
      by_endpoint_.erase(owner);
    }
    it = members_.erase(it);
  }
}

void Membership::SendDigest(TimePoint now, Revision revision,
                            std::vector<OutgoingGossip>& out) {
  // A missing reply does not indicate whether the tables differ, so it leaves
  // the interval unchanged.
  const Duration wait = std::max(digest_interval_, options_.min_digest_period);
  next_digest_ = now + (digest_reply_received_
                            ? wait
                            : std::max(wait, options_.digest_retry_period));
  digest_reply_received_ = false;
  Endpoint to;
  const Member* member = RandomPresent();
  if (member != nullptr) {
    to = member->endpoint();
  } else if (!seeds_.empty()) {
    to = seeds_[random_.Below(seeds_.size())];
  } else {
    return;
  }
  schema::Gossip digest = MakeGossip(GossipKind::kDigest, revision);
  digest.__set_buckets(bucket_hashes_);
  const size_t bucket = ChooseBucket();
  digest.__set_bucket(static_cast<int32_t>(bucket));
  std::vector<int32_t> known;
  for (const MemberId id : bucket_members_[bucket]) {
    const Member& listed = members_.at(id);
    if (listed.present()) known.push_back(ShortHash(listed.record));
  }
  digest.__set_known(known);
  out.push_back({to, std::move(digest)});
}

/** Returns a bucket that is known to differ, or else a random one. */
size_t Membership::ChooseBucket() const {
  const size_t start = random_.Below(kBucketCount);
  for (size_t i = 0; i < kBucketCount; ++i) {
    const size_t bucket = (start + i) % kBucketCount;
    if ((static_cast<uint64_t>(differing_buckets_) >> bucket) & 1) {
      return bucket;
    }
  }
  return start;
}

/** Shortens the digest interval if the reply had new members, or doubles it. */
void Membership::OnDigestReply(TimePoint now, const schema::Gossip& reply,
                               size_t new_members) {
  digest_reply_received_ = true;
  differing_buckets_ = reply.differing;
  if (new_members > 0) {
    digest_interval_ = options_.min_digest_period;
  } else {
    digest_interval_ = std::clamp(
        digest_interval_ * 2, options_.min_digest_period,
        differing_buckets_ == 0 ? options_.max_digest_period
                                : options_.max_differing_digest_period);
  }
  const Duration wait = std::max(digest_interval_, options_.min_digest_period);
  next_digest_ = std::min(next_digest_, now + wait);
}

void Membership::ProbeDeadMember(TimePoint now, Revision revision,
                                 std::vector<OutgoingGossip>& out) {
  next_dead_probe_ = now + options_.dead_probe_period;
  std::vector<const Member*> dead;
  for (const auto& [id, member] : members_) {
    if (member.record.state == MemberState::kDead) dead.push_back(&member);
  }
  if (!dead.empty()) {
    const Member& member = *dead[random_.Below(dead.size())];
    schema::Gossip ping = MakeGossip(GossipKind::kPing, revision);
    ping.subject = member.record.id;
    ping.news.push_back(ToUpdate(member.record));
    out.push_back({member.endpoint(), std::move(ping)});
  }
  // A seed that is not a known member may belong to a separate group that
  // formed at startup.
  if (seeds_.empty()) return;
  const Endpoint& seed = seeds_[random_.Below(seeds_.size())];
  if (by_endpoint_.count(seed.Pack()) == 0) {
    out.push_back({seed, MakeGossip(GossipKind::kPing, revision)});
  }
}

Duration Membership::SuspicionTimeout() const {
  const double decades =
      std::max(1.0, std::log10(static_cast<double>(members_.size() + 1)));
  return std::chrono::duration_cast<Duration>(
      options_.probe_period * (options_.suspicion_factor * decades));
}

}  // namespace sesamesaddle
