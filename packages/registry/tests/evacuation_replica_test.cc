// Evacuations of availability zones are keys of the operators. An evacuation
// that a replica misses violates their request; one that it ends late costs
// capacity.

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "fake_store.h"
#include "memory_store.h"
#include "registry/replica_follower.h"
#include "silent_log.h"
#include "virtual_scheduler.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kEast[] = "op/evacuate/east";
constexpr char kWest[] = "op/evacuate/west";

class EvacuationListener : public ReplicaListener {
 public:
  bool OnConfiguration(const std::string& /*document*/,
                       StoreRevision /*revision*/,
                       bool /*after_gap*/) override {
    return true;
  }
  int64_t ConfigurationVersion() const override { return 0; }
  void OnEntry(const std::string& key, const std::string& /*value*/,
               StoreRevision revision) override {
    evacuated.insert(key);
    latest = revision;
    from_peer = follower->copying_from_peer();
  }
  void OnEntryRemoved(const std::string& key, StoreRevision revision) override {
    evacuated.erase(key);
    removed.insert(key);
    latest = revision;
    from_peer = follower->copying_from_peer();
  }
  void OnEvacuationsListed(const std::set<std::string>& keys,
                           StoreRevision as_of) override {
    listed = keys;
    listed_at = as_of;
    ++lists;
  }
  void OnSynchronized(TimePoint /*as_of*/) override {}

  const ReplicaFollower* follower = nullptr;
  std::set<std::string> evacuated;
  /** All keys that were ever reported as removed. */
  std::set<std::string> removed;
  StoreRevision latest;
  bool from_peer = false;
  std::set<std::string> listed;
  StoreRevision listed_at;
  int lists = 0;
};

/** A store whose watches report only the latest change of each key. */
class CoalescingStore : public FakeStore {
 public:
  using FakeStore::FakeStore;
  void Watch(const std::string& prefix, int64_t revision, Duration wait,
             Done<schema::KeyValueList> done) override {
    FakeStore::Watch(prefix, revision, wait, [done](auto changes) {
      if (changes) {
        std::map<std::string, schema::KeyValue> latest;
        for (const auto& item : changes->items) latest[item.key] = item;
        changes->items.clear();
        for (const auto& [key, item] : latest) changes->items.push_back(item);
      }
      done(changes);
    });
  }
};

struct Process {
  Process(MemoryStore& memory, VirtualScheduler& scheduler,
          SeededRandom& random)
      : store(memory, scheduler),
        follower(store, scheduler, random, log,
                 {"op/config", "online/", "op/evacuate/"}, FollowerOptions(),
                 StoreReadBudget(2000), listener) {
    listener.follower = &follower;
  }

  SilentLog log;
  CoalescingStore store;
  EvacuationListener listener;
  ReplicaFollower follower;
};

struct World {
  World() { memory.Create("op/config", "1", kNoLease); }
  Process& Start() {
    processes.push_back(std::make_unique<Process>(memory, scheduler, random));
    processes.back()->follower.Start();
    scheduler.RunFor(milliseconds(50));
    return *processes.back();
  }

  VirtualScheduler scheduler;
  MemoryStore memory;
  SeededRandom random{1};
  std::vector<std::unique_ptr<Process>> processes;
};

TEST_CASE("Evacuations are loaded, followed and ended by removal of the key") {
  World w;
  w.memory.Create(kEast, "maintenance", kNoLease);
  Process& process = w.Start();
  CHECK(process.listener.evacuated == std::set<std::string>{kEast});
  CHECK_FALSE(process.listener.from_peer);
  w.scheduler.RunFor(seconds(5));
  CHECK(process.listener.listed == std::set<std::string>{kEast});
  w.memory.Create(kWest, "", kNoLease);
  w.scheduler.RunFor(seconds(1));
  CHECK(process.listener.evacuated == std::set<std::string>{kEast, kWest});
  w.memory.Remove(kEast);
  w.scheduler.RunFor(seconds(1));
  CHECK(process.listener.evacuated == std::set<std::string>{kWest});
}

TEST_CASE("Evacuations need no further call to the store") {
  World w;
  w.memory.Create(kEast, "", kNoLease);
  Process& process = w.Start();
  w.scheduler.RunFor(seconds(10));
  World plain;
  Process& other = plain.Start();
  plain.scheduler.RunFor(seconds(10));
  CHECK(process.store.calls == other.store.calls);
}

TEST_CASE("A peer's snapshot contains the evacuations and their end") {
  World w;
  Process& knows = w.Start();
  Process& away = w.Start();
  away.store.silent = true;
  w.memory.Create(kEast, "", kNoLease);
  w.scheduler.RunFor(seconds(2));
  away.follower.ApplySnapshot(knows.follower.Snapshot());
  CHECK(away.listener.evacuated == std::set<std::string>{kEast});
  CHECK(away.listener.from_peer);
  CHECK(away.listener.latest == knows.listener.latest);
  w.memory.Remove(kEast);
  w.scheduler.RunFor(seconds(2));
  away.follower.ApplySnapshot(knows.follower.Snapshot());
  CHECK(away.listener.evacuated.empty());
}

TEST_CASE("While the store is away the evacuation remains in force") {
  World w;
  w.memory.Create(kEast, "", kNoLease);
  Process& process = w.Start();
  process.store.silent = true;
  w.scheduler.RunFor(seconds(60));
  CHECK(process.listener.evacuated == std::set<std::string>{kEast});
}

TEST_CASE("The end of an evacuation that began and ended unseen is reported") {
  // The process may know of the evacuation from an agent.
  World w;
  Process& process = w.Start();
  process.store.silent = true;
  w.scheduler.RunFor(seconds(4));
  w.memory.Create(kEast, "", kNoLease);
  w.memory.Remove(kEast);
  process.store.silent = false;
  w.scheduler.RunFor(seconds(4));
  CHECK(process.listener.evacuated.empty());
  CHECK(process.listener.removed == std::set<std::string>{kEast});
}

TEST_CASE("A missing evacuation ends 2.5 s after a change of the era") {
  World w;
  Process& process = w.Start();
  const MemoryStore copy = w.memory;
  w.memory.Create(kEast, "", kNoLease);
  w.scheduler.RunFor(seconds(3));
  REQUIRE(process.listener.evacuated.size() == 1);
  w.memory.Restore(copy);
  const int lists = process.listener.lists;
  SECTION("it is not written again") {
    w.scheduler.RunFor(milliseconds(2500));
    CHECK(process.listener.evacuated.size() == 1);
    // Until then no list may end it either.
    CHECK(process.listener.lists == lists);
    w.scheduler.RunFor(milliseconds(2500));
    CHECK(process.listener.evacuated.empty());
    CHECK(process.listener.latest.era == w.memory.era());
    CHECK(process.listener.lists == lists + 1);
  }
  SECTION("the operators write it again") {
    w.scheduler.RunFor(milliseconds(1500));
    w.memory.Create(kEast, "", kNoLease);
    w.scheduler.RunFor(seconds(10));
    CHECK(process.listener.evacuated.size() == 1);
    CHECK(process.listener.removed.empty());
    CHECK(process.listener.latest.era == w.memory.era());
  }
  SECTION("the operators write it again and remove it at once") {
    w.scheduler.RunFor(milliseconds(500));
    w.memory.Create(kEast, "", kNoLease);
    w.scheduler.RunFor(milliseconds(300));
    w.memory.Remove(kEast);
    w.scheduler.RunFor(milliseconds(1000));
    CHECK(process.listener.evacuated.empty());
  }
  SECTION("the store is away when the time is over") {
    w.scheduler.RunFor(milliseconds(500));
    process.store.silent = true;
    w.scheduler.RunFor(seconds(20));
    CHECK(process.listener.evacuated.size() == 1);
    w.memory.Create(kEast, "", kNoLease);
    process.store.silent = false;
    w.scheduler.RunFor(seconds(5));
    CHECK(process.listener.evacuated.size() == 1);
    CHECK(process.listener.removed.empty());
  }
  SECTION("a peer that knows only the copy sends its snapshot") {
    process.store.silent = true;
    Process& fresh = w.Start();
    process.follower.ApplySnapshot(fresh.follower.Snapshot());
    CHECK(process.listener.evacuated.size() == 1);
    process.store.silent = false;
    w.scheduler.RunFor(seconds(8));
    CHECK(process.listener.evacuated.empty());
  }
}

TEST_CASE(
    "An ended evacuation that a new era brings back is in force at once") {
  // Other restored entries that contradict later knowledge wait for 8 s.
  World w;
  w.memory.Create(kEast, "", kNoLease);
  Process& process = w.Start();
  const MemoryStore copy = w.memory;
  w.memory.Remove(kEast);
  w.scheduler.RunFor(seconds(3));
  REQUIRE(process.listener.evacuated.empty());
  w.memory.Restore(copy);
  w.scheduler.RunFor(milliseconds(500));
  CHECK(process.listener.evacuated == std::set<std::string>{kEast});
  w.memory.Remove(kEast);  // The operators end it again.
  w.scheduler.RunFor(seconds(1));
  CHECK(process.listener.evacuated.empty());
}

TEST_CASE("A process that starts in a later era trusts its first list later") {
  // The store may just have come back without an evacuation that agents know.
  World w;
  w.memory.Restore(MemoryStore(w.memory));
  REQUIRE(w.memory.era() != StoreEra());
  Process& process = w.Start();
  w.scheduler.RunFor(milliseconds(2400));
  CHECK(process.listener.lists == 0);
  w.scheduler.RunFor(milliseconds(2200));
  CHECK(process.listener.lists == 1);
  CHECK(process.listener.listed_at.era == w.memory.era());
}

}  // namespace
}  // namespace sesamesaddle
