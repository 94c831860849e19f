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
#include "steering_types.h"

namespace sesamesaddle {

/**
 * Balancers tell each other how new their replicas are; one that is behind
 * copies from one that is ahead. So a balancer that the store turns away keeps
 * up with those that it serves.
 */
class ReplicaExchange {
 public:
  using SendVersion = std::function<void(const Endpoint& control,
                                         const schema::ReplicaVersion&)>;

  /** Each period two peers at random are told. */
  static constexpr Duration kPeriod = std::chrono::milliseconds(1000);
  static constexpr int kPeersPerPeriod = 2;
  /** Bound on copying a replica from a peer. */
  static constexpr Duration kCopyTimeout = std::chrono::milliseconds(800);

  ReplicaExchange(EventLoop& loop, RandomSource& random, EventLog& log,
                  ReplicaFollower& follower, SendVersion send);

  /** Addresses of a balancer: control messages and replica. */
  void AddPeer(const std::string& key, const Endpoint& control,
               const Endpoint& replica);
  void RemovePeer(const std::string& key);
  /** Balancers that may be asked before any peer is known. */
  void SetSeeds(std::vector<Endpoint> replicas) {
    seeds_ = std::move(replicas);
  }

  /** Call it every kPeriod. */
  void OnPeriod();
  /** A peer tells its version. */
  void OnVersion(const Endpoint& control, const Endpoint& replica,
                 const schema::ReplicaVersion& version);

  size_t peer_count() const { return peers_.size(); }

  struct Peer {
    Endpoint control;
    Endpoint replica;
  };
  /** Peers by their keys in the directory. */
  const std::map<std::string, Peer>& peers() const { return peers_; }

 private:
  schema::ReplicaVersion OwnVersion() const;
  void CopyFrom(const Endpoint& replica);
  HttpClient& ClientOf(const Endpoint& replica);

  EventLoop& loop_;
  RandomSource& random_;
  EventLog& log_;
  ReplicaFollower& follower_;
  SendVersion send_;
  std::map<std::string, Peer> peers_;
  std::vector<Endpoint> seeds_;
  std::map<Endpoint, std::unique_ptr<HttpClient>> clients_;
  std::unique_ptr<HttpCall> call_;
  EventLoop::Timer timeout_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_REPLICA_EXCHANGE_H_
