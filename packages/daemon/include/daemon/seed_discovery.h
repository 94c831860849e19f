#ifndef SESAMESADDLE_DAEMON_SEED_KEEPER_H_
#define SESAMESADDLE_DAEMON_SEED_KEEPER_H_

#include <functional>
#include <string>
#include <vector>

#include "configuration/change_log.h"
#include "core/endpoint.h"
#include "core/random.h"
#include "store/store.h"

namespace sesamesaddle {

/**
 * Finds processes to start gossip from, and keeps a few such addresses in the
 * platform's store: each zone has some slots, which balancers take under a
 * lease. Everybody else only reads, seldom and at random times, so that the
 * load on the store does not grow with the fleet.
 */
class SeedKeeper {
 public:
  using OnSeeds = std::function<void(const std::vector<Endpoint>& seeds)>;
  /** Whether other members are known, so that seeds are not urgent. */
  using Connected = std::function<bool()>;

  static constexpr int kSlotsPerZone = 3;
  static constexpr Duration kLease = std::chrono::seconds(15);
  static constexpr Duration kRenewal = std::chrono::seconds(5);

  SeedKeeper(Store& store, Scheduler& scheduler, RandomSource& random,
             std::string zone, const Endpoint& self, bool may_hold,
             OnSeeds on_seeds, Connected connected);

  void Start();
  /** Gives up the slot, so that another process can take it at once. */
  void Release();

 private:
  void List();
  void OnList(const schema::KeyValueList& list);
  void ListLater();
  void TakeSlot(const std::string& key);
  void RenewLater();
  std::string SlotKey(int slot) const;

  Store& store_;
  Scheduler& scheduler_;
  RandomSource& random_;
  std::string zone_;
  Endpoint self_;
  bool may_hold_;
  OnSeeds on_seeds_;
  Connected connected_;
  LeaseId lease_ = kNoLease;
  std::string held_key_;
  Duration backoff_{};
  bool released_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_SEED_KEEPER_H_
