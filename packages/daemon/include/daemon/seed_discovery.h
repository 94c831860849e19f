#ifndef SESAMESADDLE_DAEMON_SEED_DISCOVERY_H_
#define SESAMESADDLE_DAEMON_SEED_DISCOVERY_H_

#include <functional>
#include <string>
#include <vector>

#include "configuration/change_log.h"
#include "core/endpoint.h"
#include "core/random.h"
#include "store/store.h"

namespace sesamesaddle {

/**
 * Discovers gossip seeds through the platform's store. Each zone has
 * kSeedsPerZone keys, which balancers create under a lease. All other processes
 * only read them, rarely and at random times, which keeps the load on the store
 * low in a large cluster.
 */
class SeedDiscovery {
 public:
  using OnSeeds = std::function<void(const std::vector<Endpoint>& seeds)>;
  /** Returns whether other members are known; if so, seeds are not urgent. */
  using HasPeers = std::function<bool()>;

  static constexpr int kSeedsPerZone = 3;
  static constexpr Duration kLeaseTtl = std::chrono::seconds(15);
  static constexpr Duration kRenewalPeriod = std::chrono::seconds(5);

  SeedDiscovery(Store& store, Scheduler& scheduler, RandomSource& random,
                std::string zone, const Endpoint& self, bool may_register,
                OnSeeds on_seeds, HasPeers has_peers);

  /** Lists the seeds now and from then on periodically. */
  void Start();
  /** Removes the own key, so that another process can create it at once. */
  void Release();

 private:
  void ListSeeds();
  void OnSeedList(const schema::KeyValueList& list);
  void ScheduleList();
  void RegisterSeed(const std::string& key);
  void ScheduleRenewal();
  std::string SeedKey(int index) const;

  Store& store_;
  Scheduler& scheduler_;
  RandomSource& random_;
  std::string zone_;
  Endpoint self_;
  bool may_register_;
  OnSeeds on_seeds_;
  HasPeers has_peers_;
  LeaseId lease_ = kNoLease;
  std::string own_key_;
  Duration backoff_{};
  bool released_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_SEED_DISCOVERY_H_
