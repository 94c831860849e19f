#ifndef SESAMESADDLE_STEERING_DAEMON_REPLICA_EXCHANGE_H_
#define SESAMESADDLE_STEERING_DAEMON_REPLICA_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/event_log.h"
#include "core/random.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "registry/replica_follower.h"
#include "registry/watcher_choice.h"
#include "steering_types.h"

namespace sesamesaddle {

/**
 * Exchanges replica versions with other balancers and fetches a snapshot from a
 * peer with a newer replica. This keeps a balancer without access to the store
 * up to date while others have access. Also sends the changes of a balancer
 * that watches the store to those that do not, and reads the revision for them.
 */
class ReplicaExchange : public RevisionSource {
 public:
  using Send = std::function<void(const Endpoint& control,
                                  const schema::SteeringMessage&)>;

  /** Interval of rounds; each sends the version to two random peers. */
  static constexpr Duration kPeriod = std::chrono::milliseconds(1000);
  static constexpr int kPeersPerRound = 2;
  /** Timeout of fetching a snapshot from a peer. */
  static constexpr Duration kFetchTimeout = std::chrono::milliseconds(800);
  /**
   * A watcher that has no news sends its position after this time, three times
   * within FollowerOptions::peer_timeout.
   */
  static constexpr Duration kSignPeriod = std::chrono::milliseconds(400);
  /** Interval of a watcher's reads of the revision for others. */
  static constexpr Duration kMinReadInterval = std::chrono::milliseconds(50);
  /** Time after which the process reads the revision itself. */
  static constexpr Duration kRevisionTimeout = std::chrono::milliseconds(120);

  ReplicaExchange(EventLoop& loop, RandomSource& random, EventLog& log,
                  ReplicaFollower& follower, std::string own_key, Send send);

  /**
   * Adds or updates a balancer.
   * @param control  address for control messages
   * @param replica  address that serves its replica
   */
  void AddPeer(const std::string& key, const Endpoint& control,
               const Endpoint& replica);
  void RemovePeer(const std::string& key);
  /** Sets the balancers to fetch a snapshot from before the first load. */
  void SetSeeds(std::vector<Endpoint> replicas) {
    seeds_ = std::move(replicas);
  }

  /** Runs one round of the exchange; to be called every kPeriod. */
  void RunRound();
  /** Sends the message to kPeersPerRound random peers, if there are any. */
  void SendToRandomPeers(const schema::SteeringMessage& message);
  /**
   * Handles the version of a peer: replies with the local version if that is
   * newer, or fetches a snapshot if the peer is ahead.
   */
  void OnPeerVersion(const Endpoint& control, const Endpoint& replica,
                     const schema::ReplicaVersion& version);

  /**
   * Sends the latest changes to the followers if there are new ones or
   * kSignPeriod has passed; called several times within it.
   */
  void SendChanges();
  void OnPeerChanges(const schema::ReplicaChanges& changes) {
    follower_.OnPeerChanges(changes);
  }
  /** Reads the revision for a follower, together with other queries. */
  void OnRevisionQuery(const Endpoint& control,
                       const schema::RevisionQuery& query);
  void OnRevisionReply(const schema::RevisionReply& reply);
  /** Asks a watcher for the store's revision. */
  bool ReadRevision(Done done) override;

  size_t peer_count() const { return peers_.size(); }
  /** Returns the number of balancers that this one watches the store for. */
  size_t follower_count() const { return choice_.followers().size(); }

  struct Peer {
    Endpoint control;
    Endpoint replica;
  };
  /** Returns the peers by their keys in the directory. */
  const std::map<std::string, Peer>& peers() const { return peers_; }

 private:
  /** A query that waits for the next read of the revision. */
  struct WaitingQuery {
    Endpoint control;
    int64_t token = 0;
  };

  /** Computes the watchers again after a change of the peers. */
  void ChooseWatchers();
  void SendVersion(const Endpoint& control);
  schema::SteeringMessage VersionMessage() const;
  void ReadRevisionForOthers();
  void FetchSnapshot(const Endpoint& replica);
  HttpClient& HttpClientFor(const Endpoint& replica);

  EventLoop& loop_;
  RandomSource& random_;
  EventLog& log_;
  ReplicaFollower& follower_;
  std::string own_key_;
  Send send_;
  WatcherChoice choice_;
  StoreRevision sent_revision_;
  TimePoint last_sign_{};
  /** Queries that arrived since the last read of the revision began. */
  std::vector<WaitingQuery> queries_;
  bool reading_revision_ = false;
  TimePoint last_read_{};
  /** The query of this process that has no reply yet, if any. */
  Done pending_done_;
  int64_t token_;
  EventLoop::Timer revision_timer_;
  EventLoop::Timer read_timer_;
  std::map<std::string, Peer> peers_;
  std::vector<Endpoint> seeds_;
  std::map<Endpoint, std::unique_ptr<HttpClient>> clients_;
  std::unique_ptr<HttpCall> fetch_call_;
  EventLoop::Timer fetch_timer_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_REPLICA_EXCHANGE_H_
