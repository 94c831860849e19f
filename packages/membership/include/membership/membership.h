#ifndef SESAMESADDLE_MEMBERSHIP_MEMBERSHIP_H_
#define SESAMESADDLE_MEMBERSHIP_MEMBERSHIP_H_

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "membership/dissemination_queue.h"
#include "membership/member.h"

namespace sesamesaddle {

struct MembershipOptions {
  Duration probe_period = std::chrono::seconds(1);
  /** Indirect probes are sent if a direct probe is unanswered for this long. */
  Duration direct_timeout = std::chrono::milliseconds(300);
  size_t indirect_probes = 3;
  /** The suspicion timeout is this * max(1, log10(members)) probe periods. */
  int suspicion_factor = 3;
  /** Maximum digest interval while member tables are known to differ. */
  Duration max_differing_digest_period = std::chrono::seconds(2);
  /** Minimum interval after a digest that received no reply. */
  Duration digest_retry_period = std::chrono::milliseconds(500);
  /** Maximum interval at which a digest is sent to a random member. */
  Duration max_digest_period = std::chrono::seconds(30);
  /** Digest interval after a reply that contained new members; it doubles with
   * each reply that contains none. */
  Duration min_digest_period = std::chrono::milliseconds(250);
  /** A dead member is probed this often, to detect the end of a partition. */
  Duration dead_probe_period = std::chrono::seconds(5);
  /** Dead members are removed after this; longer than a partition lasts. */
  Duration dead_retention = std::chrono::hours(2);
  Duration left_retention = std::chrono::minutes(10);
  /** A gap between ticks of at least this means the process was paused. */
  Duration pause_threshold = std::chrono::seconds(2);
  /** Limits per message: */
  size_t max_updates = 40;
  size_t max_new_records = 10;
  /** Rate limits that keep control traffic within its budget when many members
   * change at once: */
  double updates_per_second = 150;
  double new_records_per_second = 15;
  double digest_reply_datagrams_per_second = 6;
};

/** Rate limiter that accumulates at most one second's worth of tokens. */
class RateLimiter {
 public:
  explicit RateLimiter(double per_second)
      : per_second_(per_second), tokens_(per_second) {}

  /** Takes up to `wanted` tokens and returns how many were taken. */
  size_t Take(TimePoint now, size_t wanted);

 private:
  double per_second_;
  double tokens_;
  TimePoint last_refill_{};
};

/** A gossip message to send. */
struct OutgoingGossip {
  Endpoint to;
  schema::Gossip gossip;
};

/** A change of a member's presence or draining flag. */
struct MemberChange {
  Member member;
  bool was_present = false;
};

/**
 * Implements the SWIM membership protocol (Das, Gupta, Motivala 2002): random
 * probes, indirect probes, suspicion and incarnations, with changes piggybacked
 * on the probes. Digests of the member table repair missed changes. Performs no
 * I/O; the owner passes in messages and the time.
 */
class Membership {
 public:
  Membership(const schema::MemberRecord& self, const MembershipOptions& options,
             RandomSource& random);

  /** Adds addresses to contact while no member is known, and to detect separate
   * groups. */
  void AddSeeds(const std::vector<Endpoint>& seeds);
  void OnGossip(TimePoint now, const Endpoint& from,
                const schema::Gossip& gossip, Revision revision,
                std::vector<OutgoingGossip>& out);
  void OnTick(TimePoint now, Revision revision,
              std::vector<OutgoingGossip>& out);

  /** Announces that this process stops. It sends no messages afterwards. */
  void Leave(TimePoint now, Revision revision,
             std::vector<OutgoingGossip>& out);
  /** Announces whether this instance is draining (takes no new work). */
  void SetDraining(bool draining);
  /** Probes a member next, e.g. because the data path received no reply. */
  void PrioritizeProbe(MemberId member);

  const Member* Find(MemberId id) const;
  const std::unordered_map<MemberId, Member>& members() const {
    return members_;
  }
  const schema::MemberRecord& self() const { return self_; }
  MemberId self_id() const { return MemberId(self_.id); }
  size_t present_count() const { return present_.size(); }
  /** Returns a random present member other than this process, or null. */
  const Member* RandomPresent() const;
  /** Returns whether several consecutive digest replies had no new members. */
  bool synchronized() const {
    return digest_interval_ >= kSynchronizedDigestInterval;
  }

  /** Returns and clears the changes since the last call, oldest first. */
  std::vector<MemberChange> TakeChanges();
  /** Returns true once after a pause of this process was detected. */
  bool TakeResumed();

 private:
  static constexpr Duration kSynchronizedDigestInterval =
      std::chrono::milliseconds(800);

  struct Probe {
    MemberId target;
    int64_t sequence;
    TimePoint indirect_at;
    TimePoint fail_at;
    bool indirect_sent = false;
  };

  void Merge(TimePoint now, const schema::MemberRecord& record);
  void MergeUpdate(TimePoint now, const schema::MemberNews& update);
  void Refute(int32_t incarnation);
  void Transition(TimePoint now, Member& member,
                  schema::MemberState::type state, int32_t incarnation);
  void Insert(TimePoint now, const schema::MemberRecord& record);
  bool ReplacePredecessor(TimePoint now, const schema::MemberRecord& record);
  void UpdatePresence(const Member& member, bool was_present);
  void ToggleInBucketHash(const schema::MemberRecord& record);

  schema::Gossip MakeGossip(schema::GossipKind::type kind, Revision revision);
  void ReplyToPing(const Endpoint& from, const schema::Gossip& gossip,
                   Revision revision, std::vector<OutgoingGossip>& out);
  void RelayPing(const Endpoint& from, const schema::Gossip& gossip,
                 Revision revision, std::vector<OutgoingGossip>& out);
  void ReplyToDigest(const Endpoint& from, const schema::Gossip& gossip,
                     Revision revision, std::vector<OutgoingGossip>& out);

  void DetectPause(TimePoint now);
  void StartProbe(TimePoint now, Revision revision,
                  std::vector<OutgoingGossip>& out);
  void AdvanceProbes(TimePoint now, Revision revision,
                     std::vector<OutgoingGossip>& out);
  void SendIndirect(const Probe& probe, Revision revision,
                    std::vector<OutgoingGossip>& out);
  void ExpireSuspects(TimePoint now);
  void PurgeExpiredMembers(TimePoint now);
  void SendDigest(TimePoint now, Revision revision,
                  std::vector<OutgoingGossip>& out);
  void OnDigestReply(TimePoint now, const schema::Gossip& reply,
                     size_t new_members);
  size_t ChooseBucket() const;
  int64_t DifferingBuckets(const schema::Gossip& digest) const;
  std::vector<MemberId> MembersToSend(const schema::Gossip& digest) const;
  void ProbeDeadMember(TimePoint now, Revision revision,
                       std::vector<OutgoingGossip>& out);
  std::optional<MemberId> NextProbeTarget();
  Duration SuspicionTimeout() const;

  schema::MemberRecord self_;
  MembershipOptions options_;
  RandomSource& random_;
  std::unordered_map<MemberId, Member> members_;
  std::unordered_map<int64_t, MemberId> by_endpoint_;
  std::vector<MemberId> present_;
  std::unordered_map<MemberId, size_t> present_index_;
  std::map<MemberId, TimePoint> suspects_;  // Time each is declared dead.
  std::vector<int64_t> bucket_hashes_;
  std::vector<std::vector<MemberId>> bucket_members_;
  std::vector<Endpoint> seeds_;
  // New members are sent as full records, other changes as short updates.
  DisseminationQueue join_queue_;
  DisseminationQueue update_queue_;
  RateLimiter join_limiter_;
  RateLimiter update_limiter_;
  RateLimiter digest_reply_limiter_;
  std::vector<MemberChange> changes_;

  std::vector<MemberId> probe_order_;
  std::deque<MemberId> priority_probes_;
  std::map<int64_t, Probe> probes_;
  int64_t next_sequence_ = 1;
  TimePoint last_tick_{};
  TimePoint next_probe_{};
  TimePoint next_digest_{};
  TimePoint next_dead_probe_{};
  TimePoint next_purge_{};
  Duration digest_interval_{};
  bool digest_reply_received_ = true;
  int64_t differing_buckets_ = 0;  // Bitmap from the last digest reply.
  bool left_ = false;
  bool resumed_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_MEMBERSHIP_MEMBERSHIP_H_
