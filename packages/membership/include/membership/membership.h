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
#include "membership/member.h"
#include "membership/news_queue.h"

namespace sesamesaddle {

struct MembershipOptions {
  Duration probe_period = std::chrono::seconds(1);
  /** After this a probe goes through other members as well. */
  Duration direct_timeout = std::chrono::milliseconds(300);
  size_t indirect_probes = 3;
  /** Suspicion lasts this many probe periods per decade of members. */
  int suspicion_factor = 3;
  /** While tables are known to differ they are compared at least this often. */
  Duration differing_digest_period = std::chrono::seconds(2);
  /** One that was not answered is repeated after this. */
  Duration digest_retry = std::chrono::milliseconds(500);
  /** Table hashes are compared with a random member this often... */
  Duration digest_period = std::chrono::seconds(30);
  /** ...but so soon after a comparison that taught something; then the time
   * doubles with each that taught nothing. */
  Duration first_digest_period = std::chrono::milliseconds(250);
  /** A dead member is probed this often, to find the end of a partition. */
  Duration dead_probe_period = std::chrono::seconds(5);
  /** Dead members are forgotten after this; longer than a partition lasts. */
  Duration dead_retention = std::chrono::hours(2);
  Duration left_retention = std::chrono::minutes(10);
  /** A gap between ticks that shows this process was paused. */
  Duration pause_threshold = std::chrono::seconds(2);
  /** In one message: */
  size_t max_news = 40;
  size_t max_records = 10;
  /** In one second, so that a bad day stays within the control budget: */
  double news_per_second = 150;
  double records_per_second = 15;
  double answer_datagrams_per_second = 6;
};

/** Spends at most a fixed amount a second, with a second's worth at once. */
class Allowance {
 public:
  explicit Allowance(double per_second)
      : per_second_(per_second), left_(per_second) {}

  /** @return how many of `wanted` may be spent now; they are spent then. */
  size_t Take(TimePoint now, size_t wanted);

 private:
  double per_second_;
  double left_;
  TimePoint refilled_{};
};

/** A gossip message to send. */
struct GossipSend {
  Endpoint to;
  schema::Gossip gossip;
};

/** A member whose presence or draining flag changed. */
struct MemberChange {
  Member member;
  bool was_present = false;
};

/**
 * Membership by SWIM (Das, Gupta, Motivala 2002): random probes, indirect
 * probes, suspicion, incarnations; changes ride on the probes. Table digests
 * repair what was missed. No I/O; the owner delivers messages and time.
 */
class Membership {
 public:
  Membership(const schema::MemberRecord& self, const MembershipOptions& options,
             RandomSource& random);

  /** Adds processes to ask for the member table. */
  void AddSeeds(const std::vector<Endpoint>& seeds);
  void OnGossip(TimePoint now, const Endpoint& from,
                const schema::Gossip& gossip, Revision revision,
                std::vector<GossipSend>& out);
  void OnTick(TimePoint now, Revision revision, std::vector<GossipSend>& out);

  /** Announces that this process stops; it stays silent afterwards. */
  void Leave(TimePoint now, Revision revision, std::vector<GossipSend>& out);
  /** Announces whether this instance takes new work. */
  void SetDraining(bool draining);
  /** The data path heard nothing from a member: probe it next. */
  void ProbeSoon(MemberId member);

  const Member* Find(MemberId id) const;
  const std::unordered_map<MemberId, Member>& members() const {
    return members_;
  }
  const schema::MemberRecord& self() const { return self_; }
  MemberId self_id() const { return MemberId(self_.id); }
  size_t present_count() const { return present_.size(); }
  /** @return a random present member besides this process, or null. */
  const Member* RandomPresent() const;
  /** Whether several comparisons in a row have taught nothing new. */
  bool synchronized() const { return digest_wait_ >= kSynchronizedWait; }

  /** @return changes since the last call, oldest first. */
  std::vector<MemberChange> TakeChanges();
  /** @return true once after a pause of this process was noticed. */
  bool TakeResumed();

 private:
  static constexpr Duration kSynchronizedWait = std::chrono::milliseconds(800);

  struct Probe {
    MemberId target;
    int64_t sequence;
    TimePoint indirect_at;
    TimePoint fail_at;
    bool indirect_sent = false;
  };

  void Merge(TimePoint now, const schema::MemberRecord& record);
  void MergeNews(TimePoint now, const schema::MemberNews& news);
  void Refute(int32_t incarnation);
  void Transition(TimePoint now, Member& member,
                  schema::MemberState::type state, int32_t incarnation);
  void Insert(TimePoint now, const schema::MemberRecord& record);
  bool ReplaceEarlierLife(TimePoint now, const schema::MemberRecord& record);
  void NotePresence(const Member& member, bool was_present);
  void ToggleBucket(const schema::MemberRecord& record);

  schema::Gossip Make(schema::GossipKind::type kind, Revision revision);
  void AnswerPing(const Endpoint& from, const schema::Gossip& gossip,
                  Revision revision, std::vector<GossipSend>& out);
  void RelayPing(const Endpoint& from, const schema::Gossip& gossip,
                 Revision revision, std::vector<GossipSend>& out);
  void AnswerDigest(const Endpoint& from, const schema::Gossip& gossip,
                    Revision revision, std::vector<GossipSend>& out);

  void NoticePause(TimePoint now);
  void StartProbe(TimePoint now, Revision revision,
                  std::vector<GossipSend>& out);
  void AdvanceProbes(TimePoint now, Revision revision,
                     std::vector<GossipSend>& out);
  void SendIndirect(const Probe& probe, Revision revision,
                    std::vector<GossipSend>& out);
  void ExpireSuspects(TimePoint now);
  void ForgetGone(TimePoint now);
  void SendDigest(TimePoint now, Revision revision,
                  std::vector<GossipSend>& out);
  void OnDigestAnswer(TimePoint now, const schema::Gossip& answer,
                      size_t learned);
  size_t ChooseBucket() const;
  int64_t DifferingBuckets(const schema::Gossip& digest) const;
  std::vector<MemberId> MissingIn(const schema::Gossip& digest) const;
  void ProbeDead(TimePoint now, Revision revision,
                 std::vector<GossipSend>& out);
  std::optional<MemberId> NextProbeTarget();
  Duration SuspicionTimeout() const;

  schema::MemberRecord self_;
  MembershipOptions options_;
  RandomSource& random_;
  std::unordered_map<MemberId, Member> members_;
  std::unordered_map<int64_t, MemberId> by_endpoint_;
  std::vector<MemberId> present_;
  std::unordered_map<MemberId, size_t> present_index_;
  std::map<MemberId, TimePoint> suspects_;  // When each becomes dead.
  std::vector<int64_t> buckets_;
  std::vector<std::vector<MemberId>> bucket_members_;
  std::vector<Endpoint> seeds_;
  // New members are told as whole records, other changes in short.
  NewsQueue joins_;
  NewsQueue news_;
  Allowance join_allowance_;
  Allowance news_allowance_;
  Allowance answer_allowance_;
  std::vector<MemberChange> changes_;

  std::vector<MemberId> probe_order_;
  std::deque<MemberId> probe_first_;
  std::map<int64_t, Probe> probes_;
  int64_t next_sequence_ = 1;
  TimePoint last_tick_{};
  TimePoint next_probe_{};
  TimePoint next_digest_{};
  TimePoint next_dead_probe_{};
  TimePoint next_forget_{};
  Duration digest_wait_{};
  bool digest_answered_ = true;
  int64_t differing_ = 0;  // Buckets, by the last answer to a digest.
  bool left_ = false;
  bool resumed_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_MEMBERSHIP_MEMBERSHIP_H_
