#ifndef SESAMESADDLE_REGISTRY_WATCHER_CHOICE_H_
#define SESAMESADDLE_REGISTRY_WATCHER_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "registry/replica_follower.h"

namespace sesamesaddle {

/**
 * Chooses the balancers that watch the store for the others, without agreement:
 * each computes the choice from the balancers that the directory lists. Two
 * that see different lists have more or fewer watchers for a moment; one that
 * receives nothing from a watcher watches itself (ReplicaFollower).
 *
 * It answers for the calls to the store, which would otherwise grow with the
 * number of balancers times the number of changes.
 */
class WatcherChoice {
 public:
  /** With fewer, the loss of two at once would stop the changes. */
  static constexpr size_t kMinWatchers = 3;
  /** Balancers per watcher, which sends each change to all it serves. */
  static constexpr size_t kBalancersPerWatcher = 16;
  /** Watchers that send their changes to a balancer. */
  static constexpr size_t kWatchersPerBalancer = 2;

  /**
   * @param self     key of this balancer's entry
   * @param members  keys of the listed balancers, in any order
   */
  void Update(const std::string& self, std::vector<std::string> members);

  /** Whether this balancer watches the store. */
  bool watches() const { return watches_; }
  /** Returns for whom this balancer watches. */
  WatchRole role() const;
  /** Balancers that this one sends changes to; none if it does not watch. */
  const std::vector<std::string>& followers() const { return followers_; }
  /** Watchers that this balancer receives changes from, preferred first. */
  const std::vector<std::string>& sources() const { return sources_; }
  /** Returns the number of watchers of a fleet. */
  static size_t WatcherCount(size_t members);

 private:
  bool watches_ = true;
  std::vector<std::string> followers_;
  std::vector<std::string> sources_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_WATCHER_CHOICE_H_
