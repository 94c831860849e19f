#ifndef SESAMESADDLE_NODE_CONTROL_PLANE_H_
#define SESAMESADDLE_NODE_CONTROL_PLANE_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "configuration/replica.h"
#include "core/random.h"
#include "core/time.h"
#include "membership/membership.h"
#include "node/outbox.h"
#include "routing/peer_liveness.h"
#include "routing/service_table.h"

namespace sesamesaddle {

/**
 * What every role shares: the member table, the configuration in force and
 * the service table made of both. Configuration spreads between processes by
 * fan-out of new records, and by fetching from a peer that is ahead.
 */
class ControlPlane {
 public:
  ControlPlane(const schema::MemberRecord& self,
               const MembershipOptions& options, RandomSource& random);

  /** @return whether the message was one of the control plane's. */
  bool OnMessage(TimePoint now, const Endpoint& from,
                 const schema::PeerMessage& message, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);

  /** A record read from the store, or appended to it. */
  void OnRecord(const schema::ChangeRecord& record, Outbox& out);
  void OnSnapshot(const schema::Configuration& snapshot);
  /** A message showed that a peer has a later revision. */
  void OnPeerRevision(TimePoint now, const Endpoint& peer, Revision revision,
                      Outbox& out);
  /**
   * After the first tick that follows a pause, datagrams that waited in the
   * sockets are read for so long; an event loop may run timers first.
   */
  static constexpr Duration kBacklogDuration = std::chrono::milliseconds(250);

  /**
   * Whether this process was paused and may not have read yet what waited for
   * it. Callers' datagrams among that are old: they have been repeated, and old
   * ones could be answered in the middle of later exchanges.
   */
  bool RecentlyPaused(TimePoint now) const;

  /** From now on this instance takes no new work. */
  void BeginStop();
  void Leave(TimePoint now, Outbox& out);
  /** Whether answers may go through a balancer at that address. */
  bool IsUsableBalancer(const Endpoint& endpoint) const;
  /** @return a random usable balancer besides `avoid`, or `avoid`. */
  Endpoint RandomBalancer(const Endpoint& avoid) const;
  /** @return how many present members, this one included, have a revision. */
  size_t CountMembersWithRevision(Revision revision) const;
  /** Asks up to `limit` members that are not known to have a revision. */
  void RequestRevisions(Revision revision, size_t limit, Outbox& out);

  /** Asks members that owe the data path an answer for a sign of life. */
  void ProbeSilentPeers(TimePoint now, PeerLiveness& liveness, Outbox& out);

  /** Whether this process is one of the few that watch the store. */
  bool ShouldWatchStore() const;

  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }
  const ConfigurationReplica& replica() const { return replica_; }
  const ServiceTable& services() const { return services_; }
  MemberId self_id() const { return membership_.self_id(); }
  Endpoint self_endpoint() const {
    return Endpoint::Unpack(membership_.self().endpoint);
  }
  /** The operators' mode of this instance. */
  schema::InstanceMode::type mode() const;

  /** @return changes of members since the last call. */
  std::vector<MemberChange> TakeMemberChanges();
  /** @return true once after the configuration changed. */
  bool TakeConfigurationChanged();

 private:
  bool TickOverdue(TimePoint now) const;
  schema::Gossip MakePing(MemberId member) const;
  void OnFetch(const Endpoint& from, const schema::ConfigurationFetch& fetch,
               Outbox& out);
  void OnNews(TimePoint now, const Endpoint& from,
              const schema::ConfigurationNews& news, Outbox& out);
  void OnSnapshotPart(const Endpoint& from,
                      const schema::ConfigurationNews& news, Outbox& out);
  void OnSnapshotFetch(const Endpoint& from, const schema::SnapshotFetch& fetch,
                       Outbox& out);
  void SpreadRecord(const schema::ChangeRecord& record, Outbox& out);
  void TakeOverConfiguration();
  void UpdateSelf();
  void NoteBalancer(const Member& member);
  void SyncMembers();

  RandomSource& random_;
  Membership membership_;
  ConfigurationReplica replica_;
  ServiceTable services_;
  std::vector<MemberChange> changes_;
  bool configuration_changed_ = false;
  bool stopping_ = false;
  TimePoint last_tick_{};
  TimePoint backlog_until_{};
  // What members last said of their revision.
  std::unordered_map<MemberId, Revision> revisions_;
  // Present balancers that are not draining.
  std::vector<Endpoint> balancers_;
  std::unordered_map<Endpoint, size_t> balancer_index_;

  TimePoint next_fetch_{};
  // The snapshot that is being fetched from a peer, and the one served.
  int64_t incoming_revision_ = 0;
  std::string incoming_;
  int64_t outgoing_revision_ = 0;
  std::string outgoing_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NODE_CONTROL_PLANE_H_
