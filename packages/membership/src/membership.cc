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

constexpr size_t kBuckets = 64;
// Keeps a datagram of full records below a usual MTU.
constexpr size_t kRecordsPerDatagram = 12;
// Up to so many records an answer to a digest is filled with members that its
// sender may know already.
constexpr size_t kGuessedRecords = kRecordsPerDatagram;

size_t BucketOf(int64_t id) { return static_cast<uint64_t>(id) % kBuckets; }

// A bucket's hash is the XOR of its members' hashes, so that one change costs
// two hashes, whatever the size of the table.
// Only present members count: when each process forgets a dead one must not
// make tables differ.
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

schema::MemberNews ToNews(const schema::MemberRecord& record) {
  schema::MemberNews news;
  news.id = record.id;
  news.incarnation = record.incarnation;
  news.state = record.state;
  news.draining = record.draining;
  return news;
}

}  // namespace

size_t Allowance::Take(TimePoint now, size_t wanted) {
  const double elapsed = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  left_ = std::min(per_second_, left_ + elapsed * per_second_);
  const size_t taken = std::min(wanted, static_cast<size_t>(left_));
  left_ -= static_cast<double>(taken);
  return taken;
}

Membership::Membership(const schema::MemberRecord& self,
                       const MembershipOptions& options, RandomSource& random)
    : self_(self),
      options_(options),
      random_(random),
      buckets_(kBuckets, 0),
      bucket_members_(kBuckets),
      join_allowance_(options.records_per_second),
      news_allowance_(options.news_per_second),
      answer_allowance_(options.answer_datagrams_per_second) {
  self_.state = MemberState::kAlive;
  ToggleBucket(self_);
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
                          std::vector<GossipSend>& out) {
  if (left_) return;
  Merge(now, gossip.sender);
  const size_t known = members_.size();
  for (const schema::MemberRecord& record : gossip.records) Merge(now, record);
  for (const schema::MemberNews& news : gossip.news) MergeNews(now, news);
  switch (gossip.kind) {
    case GossipKind::kPing:
      AnswerPing(from, gossip, revision, out);
      break;
    case GossipKind::kPingRequest:
      RelayPing(from, gossip, revision, out);
      break;
    case GossipKind::kAck:
      probes_.erase(gossip.sequence);
      break;
    case GossipKind::kDigest:
      AnswerDigest(from, gossip, revision, out);
      break;
    case GossipKind::kRecords:
      OnDigestAnswer(now, gossip, members_.size() - known);
      break;
  }
}

void Membership::OnTick(TimePoint now, Revision revision,
                        std::vector<GossipSend>& out) {
  if (left_) return;
  NoticePause(now);
  last_tick_ = now;
  AdvanceProbes(now, revision, out);
  if (now >= next_probe_) {
    next_probe_ = now + options_.probe_period;
    StartProbe(now, revision, out);
  }
  ExpireSuspects(now);
  if (now >= next_digest_) SendDigest(now, revision, out);
  if (now >= next_dead_probe_) ProbeDead(now, revision, out);
  if (now >= next_forget_) ForgetGone(now);
}

void Membership::Leave(TimePoint now, Revision revision,
                       std::vector<GossipSend>& out) {
  constexpr size_t kLeaveFanout = 8;
  self_.state = MemberState::kLeft;
  schema::Gossip gossip = Make(GossipKind::kRecords, revision);
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
  ToggleBucket(self_);
  self_.draining = draining;
  ++self_.incarnation;
  ToggleBucket(self_);
  news_.Add(self_id());
}

void Membership::ProbeSoon(MemberId member) {
  const bool queued = std::find(probe_first_.begin(), probe_first_.end(),
                                member) != probe_first_.end();
  if (!queued) probe_first_.push_back(member);
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

// ---- Merging what others say.

void Membership::Merge(TimePoint now, const schema::MemberRecord& record) {
  if (record.id == self_.id) {
    MergeNews(now, ToNews(record));
    return;
  }
  if (members_.count(MemberId(record.id)) != 0) {
    MergeNews(now, ToNews(record));
    return;
  }
  Insert(now, record);
}

void Membership::MergeNews(TimePoint now, const schema::MemberNews& news) {
  if (news.id == self_.id) {
    const bool wrong = news.state != MemberState::kAlive;
    if (wrong && news.incarnation >= self_.incarnation) {
      Refute(news.incarnation);
    }
    return;
  }
  const auto it = members_.find(MemberId(news.id));
  if (it == members_.end()) return;  // A digest brings the whole record.
  Member& member = it->second;
  if (!Supersedes(news.incarnation, news.state, member.record.incarnation,
                  member.record.state)) {
    return;
  }
  const bool draining_changed = member.record.draining != news.draining;
  ToggleBucket(member.record);
  member.record.draining = news.draining;
  ToggleBucket(member.record);
  Transition(now, member, news.state, news.incarnation);
  if (draining_changed) changes_.push_back({member, member.present()});
}

void Membership::Refute(int32_t incarnation) {
  ToggleBucket(self_);
  self_.incarnation = incarnation + 1;
  ToggleBucket(self_);
  news_.Add(self_id());
}

void Membership::Transition(TimePoint now, Member& member,
                            MemberState::type state, int32_t incarnation) {
  const bool was_present = member.present();
  ToggleBucket(member.record);
  member.record.state = state;
  member.record.incarnation = incarnation;
  ToggleBucket(member.record);
  member.state_since = now;
  if (state == MemberState::kSuspect) {
    suspects_.insert_or_assign(member.id(), now + SuspicionTimeout());
  } else {
    suspects_.erase(member.id());
  }
  news_.Add(member.id());
  if (was_present != member.present()) NotePresence(member, was_present);
}

void Membership::Insert(TimePoint now, const schema::MemberRecord& record) {
  // A member that is gone and unknown here was forgotten; it stays so.
  if (!IsPresent(record.state)) return;
  if (!ReplaceEarlierLife(now, record)) return;
  Member& member = members_[MemberId(record.id)];
  member.record = record;
  member.state_since = now;
  bucket_members_[BucketOf(record.id)].push_back(member.id());
  ToggleBucket(record);
  if (record.state == MemberState::kSuspect) {
    suspects_.emplace(member.id(), now + SuspicionTimeout());
  }
  joins_.Add(member.id());
  // At a random place of the round under way: if new members waited for the
  // next one, nobody would probe a member that joined last for a whole round.
  const size_t place = random_.Below(probe_order_.size() + 1);
  probe_order_.push_back(member.id());
  std::swap(probe_order_[place], probe_order_.back());
  NotePresence(member, false);
}

/**
 * An address that a new process uses belongs to no earlier one.
 * @return false if `record` is itself of an earlier process
 */
bool Membership::ReplaceEarlierLife(TimePoint now,
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

void Membership::NotePresence(const Member& member, bool was_present) {
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

void Membership::ToggleBucket(const schema::MemberRecord& record) {
  if (!IsPresent(record.state)) return;
  buckets_[BucketOf(record.id)] ^= HashRecord(record);
}

// ---- Answering.

schema::Gossip Membership::Make(GossipKind::type kind, Revision revision) {
  schema::Gossip gossip;
  gossip.kind = kind;
  gossip.sequence = 0;
  gossip.sender = self_;
  gossip.subject = 0;
  gossip.reply_to = 0;
  gossip.revision = revision.value();
  const double decades = std::log10(static_cast<double>(members_.size() + 10));
  const int max_tells = static_cast<int>(std::ceil(8 * decades));
  // Whole records are large, and digests repair what was missed.
  const int record_tells = static_cast<int>(std::ceil(3 * decades));
  const size_t records = join_allowance_.Take(
      last_tick_, std::min(joins_.size(), options_.max_records));
  for (const MemberId id : joins_.Take(records, record_tells)) {
    const Member* member = Find(id);
    if (member != nullptr) gossip.records.push_back(member->record);
  }
  const size_t news = news_allowance_.Take(
      last_tick_, std::min(news_.size(), options_.max_news));
  for (const MemberId id : news_.Take(news, max_tells)) {
    const Member* member = Find(id);
    if (member == nullptr) continue;  // Ourselves: the sender field tells it.
    gossip.news.push_back(ToNews(member->record));
  }
  return gossip;
}

void Membership::AnswerPing(const Endpoint& from, const schema::Gossip& gossip,
                            Revision revision, std::vector<GossipSend>& out) {
  // A ping for an earlier process at this address must not prove it alive.
  if (gossip.subject != 0 && gossip.subject != self_.id) return;
  schema::Gossip ack = Make(GossipKind::kAck, revision);
  ack.sequence = gossip.sequence;
  ack.subject = self_.id;
  // Tell a process that is held suspect or dead, so that it can refute it.
  const Member* sender = Find(MemberId(gossip.sender.id));
  if (sender != nullptr && sender->record.state != MemberState::kAlive) {
    ack.news.push_back(ToNews(sender->record));
  }
  out.push_back(
      {gossip.reply_to == 0 ? from : Endpoint::Unpack(gossip.reply_to),
       std::move(ack)});
}

void Membership::RelayPing(const Endpoint& from, const schema::Gossip& gossip,
                           Revision revision, std::vector<GossipSend>& out) {
  const Member* target = Find(MemberId(gossip.subject));
  if (target == nullptr) return;
  schema::Gossip ping = Make(GossipKind::kPing, revision);
  ping.sequence = gossip.sequence;
  ping.subject = gossip.subject;
  ping.reply_to = from.Pack();
  out.push_back({target->endpoint(), std::move(ping)});
}

void Membership::AnswerDigest(const Endpoint& from,
                              const schema::Gossip& gossip, Revision revision,
                              std::vector<GossipSend>& out) {
  const std::vector<MemberId> missing = MissingIn(gossip);
  const size_t wanted = std::max<size_t>(
      1, (missing.size() + kRecordsPerDatagram - 1) / kRecordsPerDatagram);
  const size_t allowed = answer_allowance_.Take(last_tick_, wanted);
  const int64_t differing = DifferingBuckets(gossip);
  for (size_t i = 0; i < allowed; ++i) {
    schema::Gossip reply = Make(GossipKind::kRecords, revision);
    reply.__set_differing(differing);
    const size_t first = i * kRecordsPerDatagram;
    const size_t end = std::min(missing.size(), first + kRecordsPerDatagram);
    for (size_t j = first; j < end; ++j) {
      reply.records.push_back(members_.at(missing[j]).record);
    }
    out.push_back({from, std::move(reply)});
  }
}

int64_t Membership::DifferingBuckets(const schema::Gossip& digest) const {
  uint64_t differing = 0;
  for (size_t i = 0; i < kBuckets && i < digest.buckets.size(); ++i) {
    if (digest.buckets[i] != buckets_[i]) differing |= uint64_t{1} << i;
  }
  return static_cast<int64_t>(differing);
}

/**
 * Members that the sender of a digest lacks, or holds present though they are
 * gone: those of the bucket it lists, and of buckets where it knows nobody.
 * Members of other buckets that differ fill up the first datagram.
 */
std::vector<MemberId> Membership::MissingIn(
    const schema::Gossip& digest) const {
  std::vector<MemberId> missing;
  const std::unordered_set<int32_t> known(digest.known.begin(),
                                          digest.known.end());
  const size_t listed = static_cast<size_t>(digest.bucket) % kBuckets;
  for (const MemberId id : bucket_members_[listed]) {
    const Member& member = members_.at(id);
    const bool listed_there = known.count(ShortHash(member.record)) != 0;
    if (member.present() != listed_there) missing.push_back(id);
  }
  const size_t start = random_.Below(kBuckets);
  for (size_t i = 0; i < kBuckets && !digest.buckets.empty(); ++i) {
    const size_t bucket = (start + i) % kBuckets;
    const int64_t theirs = digest.buckets[bucket % digest.buckets.size()];
    if (bucket == listed || theirs == buckets_[bucket]) continue;
    // Where the sender knows some, a guess only fills up the datagrams.
    if (theirs != 0 && missing.size() >= kGuessedRecords) continue;
    for (const MemberId id : bucket_members_[bucket]) {
      if (members_.at(id).present()) missing.push_back(id);
    }
  }
  return missing;
}

// ---- Acting on time.

void Membership::NoticePause(TimePoint now) {
  const bool first = last_tick_ == TimePoint{};
  if (first || now - last_tick_ < options_.pause_threshold) return;
  // What others did meanwhile is unknown: blame nobody for our silence, and
  // take a new incarnation, as they may have found us dead.
  const Duration pause = now - last_tick_;
  probes_.clear();
  for (auto& [member, deadline] : suspects_) deadline += pause;
  Refute(self_.incarnation);
  resumed_ = true;
}

std::optional<MemberId> Membership::NextProbeTarget() {
  while (!probe_first_.empty()) {
    const MemberId id = probe_first_.front();
    probe_first_.pop_front();
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
                            std::vector<GossipSend>& out) {
  const std::optional<MemberId> target = NextProbeTarget();
  if (!target) return;
  Probe probe{*target, next_sequence_++, now + options_.direct_timeout,
              now + options_.probe_period};
  schema::Gossip ping = Make(GossipKind::kPing, revision);
  ping.sequence = probe.sequence;
  ping.subject = target->value();
  // A suspect hears of the suspicion with the probe, and can refute it.
  const Member& member = members_.at(*target);
  if (member.record.state != MemberState::kAlive) {
    ping.news.push_back(ToNews(member.record));
  }
  out.push_back({member.endpoint(), std::move(ping)});
  probes_.emplace(probe.sequence, probe);
}

void Membership::AdvanceProbes(TimePoint now, Revision revision,
                               std::vector<GossipSend>& out) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (now >= probe.fail_at) {
      const auto member = members_.find(probe.target);
      if (member != members_.end() &&
          member->second.record.state == MemberState::kAlive) {
        Transition(now, member->second, MemberState::kSuspect,
                   member->second.record.incarnation);
        // The next probe tells it of the suspicion, so that it can refute it.
        ProbeSoon(probe.target);
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
                              std::vector<GossipSend>& out) {
  for (size_t i = 0; i < options_.indirect_probes; ++i) {
    const Member* relay = RandomPresent();
    if (relay == nullptr || relay->id() == probe.target) continue;
    schema::Gossip request = Make(GossipKind::kPingRequest, revision);
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

void Membership::ForgetGone(TimePoint now) {
  constexpr Duration kForgetPeriod = std::chrono::seconds(10);
  next_forget_ = now + kForgetPeriod;
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
    ToggleBucket(member.record);
    joins_.Remove(member.id());
    news_.Remove(member.id());
    const auto owner = by_endpoint_.find(member.record.endpoint);
    if (owner != by_endpoint_.end() && owner->second == member.id()) {
      by_endpoint_.erase(owner);
    }
    it = members_.erase(it);
  }
}

void Membership::SendDigest(TimePoint now, Revision revision,
                            std::vector<GossipSend>& out) {
  // No answer says nothing of whether the tables differ.
  const Duration wait = std::max(digest_wait_, options_.first_digest_period);
  next_digest_ =
      now + (digest_answered_ ? wait : std::max(wait, options_.digest_retry));
  digest_answered_ = false;
  Endpoint to;
  const Member* member = RandomPresent();
  if (member != nullptr) {
    to = member->endpoint();
  } else if (!seeds_.empty()) {
    to = seeds_[random_.Below(seeds_.size())];
  } else {
    return;
  }
  schema::Gossip digest = Make(GossipKind::kDigest, revision);
  digest.__set_buckets(buckets_);
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

/** A bucket that is known to differ, or any. */
size_t Membership::ChooseBucket() const {
  const size_t start = random_.Below(kBuckets);
  for (size_t i = 0; i < kBuckets; ++i) {
    const size_t bucket = (start + i) % kBuckets;
    if ((static_cast<uint64_t>(differing_) >> bucket) & 1) return bucket;
  }
  return start;
}

/** Compares again soon after an answer that taught something new. */
void Membership::OnDigestAnswer(TimePoint now, const schema::Gossip& answer,
                                size_t learned) {
  digest_answered_ = true;
  differing_ = answer.differing;
  if (learned > 0) {
    digest_wait_ = options_.first_digest_period;
  } else {
    digest_wait_ =
        std::clamp(digest_wait_ * 2, options_.first_digest_period,
                   differing_ == 0 ? options_.digest_period
                                   : options_.differing_digest_period);
  }
  const Duration wait = std::max(digest_wait_, options_.first_digest_period);
  next_digest_ = std::min(next_digest_, now + wait);
}

void Membership::ProbeDead(TimePoint now, Revision revision,
                           std::vector<GossipSend>& out) {
  next_dead_probe_ = now + options_.dead_probe_period;
  std::vector<const Member*> dead;
  for (const auto& [id, member] : members_) {
    if (member.record.state == MemberState::kDead) dead.push_back(&member);
  }
  if (!dead.empty()) {
    const Member& member = *dead[random_.Below(dead.size())];
    schema::Gossip ping = Make(GossipKind::kPing, revision);
    ping.subject = member.record.id;
    ping.news.push_back(ToNews(member.record));
    out.push_back({member.endpoint(), std::move(ping)});
  }
  // A seed that is not a member shows a table that was split at the start.
  if (seeds_.empty()) return;
  const Endpoint& seed = seeds_[random_.Below(seeds_.size())];
  if (by_endpoint_.count(seed.Pack()) == 0) {
    out.push_back({seed, Make(GossipKind::kPing, revision)});
  }
}

Duration Membership::SuspicionTimeout() const {
  const double decades =
      std::max(1.0, std::log10(static_cast<double>(members_.size() + 1)));
  return std::chrono::duration_cast<Duration>(
      options_.probe_period * (options_.suspicion_factor * decades));
}

}  // namespace sesamesaddle
