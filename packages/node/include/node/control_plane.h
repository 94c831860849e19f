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
 * The state that all roles share: the member table, the configuration in force
 * and the service table derived from both. Processes send new configuration
 * records to random members and fetch missing ones from peers that are ahead.
 */
class ControlPlane {
 public:
  ControlPlane(const schema::MemberRecord& self,
               const MembershipOptions& options, RandomSource& random);

  /** Returns whether the message was a control plane message. */
  bool OnMessage(TimePoint now, const Endpoint& from,
                 const schema::PeerMessage& message, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);

  /** Handles a record that was read from the store or appended to it. */
  void OnRecord(const schema::ChangeRecord& record, Outbox& out);
  void OnSnapshot(const schema::Configuration& snapshot);
  /** Fetches configuration from a peer if its revision is a later one. */
  void OnPeerRevision(TimePoint now, const Endpoint& peer, Revision revision,
                      Outbox& out);
  /**
   * Time after the first tick following a pause in which datagrams queued in
   * the sockets may still be read, because an event loop may run timers first.
   */
  static constexpr Duration kBacklogDuration = std::chrono::milliseconds(250);

  /**
   * Returns whether this process was paused recently, so that datagrams that
   * arrived during the pause may still be queued. Such datagrams from callers
   * are stale: the callers have retransmitted them, and a response to a stale
   * datagram could arrive in the middle of a later exchange.
   */
  bool RecentlyPaused(TimePoint now) const;

  /** Announces that this instance takes no new work from now on. */
  void BeginStop();
  /** Announces that this process stops. */
  void Leave(TimePoint now, Outbox& out);
  /** Returns whether `endpoint` is a present balancer that is not draining. */
  bool IsUsableBalancer(const Endpoint& endpoint) const;
  /** Returns a random usable balancer other than `avoid`, or else `avoid`. */
  Endpoint RandomBalancer(const Endpoint& avoid) const;
  /**
   * Returns the number of present members, including this process, known to
   * have `revision` or a later one.
   */
  size_t CountMembersWithRevision(Revision revision) const;
  /** Pings up to `limit` present members that are not known to have `revision`,
   * whose acks contain their revisions. */
  void RequestRevisions(Revision revision, size_t limit, Outbox& out);

  /** Pings members from which the data path is waiting for a reply. */
  void ProbeSilentPeers(TimePoint now, PeerLiveness& liveness, Outbox& out);

  /** Returns whether this process is one of the few that watch the store. */
  bool ShouldWatchStore() const;

  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }
  const ConfigurationReplica& replica() const { return replica_; }
  const ServiceTable& services() const { return services_; }
  MemberId self_id() const { return membership_.self_id(); }
  Endpoint self_endpoint() const {
    return Endpoint::Unpack(membership_.self().endpoint);
  }
  /** Returns the mode that operators set for this instance. */
  schema::InstanceMode::type mode() const;
  /**
   * Returns whether this instance gets no new work by an operator's command: it
   * is drained or retired, or its availability zone is evacuated.
   */
  bool DrainedByOperators() const;

  /** Returns and clears the member changes since the last call. */
  std::vector<MemberChange> TakeMemberChanges();
  /** Returns true once after the configuration or the stop state changed. */
  bool TakeConfigurationChanged();

 private:
  bool TickOverdue(TimePoint now) const;
  schema::Gossip MakePing(MemberId member) const;
  void OnConfigurationFetch(const Endpoint& from,
                            const schema::ConfigurationFetch& fetch,
                            Outbox& out);
  void OnConfigurationUpdate(TimePoint now, const Endpoint& from,
                             const schema::ConfigurationNews& update,
                             Outbox& out);
  void OnSnapshotPart(const Endpoint& from,
                      const schema::ConfigurationNews& update, Outbox& out);
  void OnSnapshotFetch(const Endpoint& from, const schema::SnapshotFetch& fetch,
                       Outbox& out);
  void BroadcastRecord(const schema::ChangeRecord& record, Outbox& out);
  void OnConfigurationApplied();
  void UpdateSelfMember();
  void UpdateBalancer(const Member& member);
  void ProcessMemberChanges();

  RandomSource& random_;
  Membership membership_;
  ConfigurationReplica replica_;
  ServiceTable services_;
  std::vector<MemberChange> changes_;
  bool configuration_changed_ = false;
  bool stopping_ = false;
  TimePoint last_tick_{};
  TimePoint backlog_until_{};
  // The highest revision that each member has reported.
  std::unordered_map<MemberId, Revision> revisions_;
  // Present balancers that are not draining.
  std::vector<Endpoint> balancers_;
  std::unordered_map<Endpoint, size_t> balancer_index_;

  TimePoint next_fetch_{};
  // The snapshot being fetched from a peer, and the one being sent to peers.
  int64_t incoming_revision_ = 0;
  std::string incoming_snapshot_;
  int64_t outgoing_revision_ = 0;
  std::string outgoing_snapshot_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NODE_CONTROL_PLANE_H_
