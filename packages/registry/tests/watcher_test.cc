#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "fake_store.h"
#include "memory_store.h"
#include "registry/recent_changes.h"
#include "registry/replica_follower.h"
#include "registry/watcher_choice.h"
#include "silent_log.h"
#include "virtual_scheduler.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRound = milliseconds(200);
constexpr Duration kMessageDelay = milliseconds(1);

std::string KeyOf(size_t process) {
  return "dir/balancer/" + std::to_string(process);
}

std::vector<std::string> Keys(size_t count) {
  std::vector<std::string> keys;
  for (size_t i = 0; i < count; ++i) keys.push_back(KeyOf(i));
  return keys;
}

TEST_CASE("Few balancers watch, and each of the others has two of them") {
  for (const size_t count : {1, 2, 3, 4, 25, 59, 830}) {
    const auto keys = Keys(count);
    size_t watchers = 0;
    std::map<std::string, int> sources;
    for (const std::string& key : keys) {
      WatcherChoice choice;
      choice.Update(key, keys);
      watchers += choice.watches() ? 1 : 0;
      CHECK(choice.watches() == choice.sources().empty());
      for (const std::string& follower : choice.followers()) {
        ++sources[follower];
      }
    }
    INFO(count << " balancers");
    CHECK(watchers == WatcherChoice::WatcherCount(count));
    CHECK(watchers <= std::max<size_t>(3, count / 16 + 1));
    CHECK(sources.size() == count - watchers);
    for (const auto& [follower, n] : sources) CHECK(n == 2);
  }
}

TEST_CASE("The choice does not depend on the order of the list") {
  auto keys = Keys(20);
  WatcherChoice choice;
  choice.Update(KeyOf(7), keys);
  std::reverse(keys.begin(), keys.end());
  WatcherChoice other;
  other.Update(KeyOf(7), keys);
  CHECK(choice.watches() == other.watches());
  CHECK(choice.sources() == other.sources());
}

TEST_CASE("Changes that do not fit a datagram are not sent") {
  RecentChanges changes;
  changes.Restart(10);
  schema::KeyValue item;
  item.value = std::string(400, 'x');
  for (int revision = 11; revision <= 14; ++revision) {
    item.key = "dir/" + std::to_string(revision);
    item.version = revision;
    changes.Add(item, 0);
  }
  CHECK(changes.Message().after_revision == 12);
  CHECK(changes.Message().entries.size() == 2);
  item.value = std::string(2000, 'x');
  item.version = 15;
  changes.Add(item, 0);
  CHECK(changes.Message().after_revision == 15);
  CHECK(changes.Message().entries.empty());
}

TEST_CASE("A transaction that fits only in part is not sent in part") {
  RecentChanges changes;
  schema::KeyValue item;
  item.value = std::string(400, 'x');
  item.version = 7;
  for (const char* key : {"dir/a", "dir/b", "dir/c"}) {
    item.key = key;
    changes.Add(item, 0);
  }
  CHECK(changes.Message().after_revision == 7);
  CHECK(changes.Message().entries.empty());
}

/** Holds what a replica contains. */
class Contents : public ReplicaListener {
 public:
  bool OnConfiguration(const std::string& document, StoreRevision /*revision*/,
                       bool /*after_gap*/) override {
    configuration = document;
    return true;
  }
  int64_t ConfigurationVersion() const override { return 0; }
  void OnEntry(const std::string& key, const std::string& value,
               StoreRevision /*revision*/) override {
    entries[key] = value;
  }
  void OnEntryRemoved(const std::string& key,
                      StoreRevision /*revision*/) override {
    entries.erase(key);
  }
  void OnEvacuationsListed(const std::set<std::string>& /*keys*/,
                           StoreRevision /*as_of*/) override {}
  void OnSynchronized(TimePoint as_of) override { synchronized = as_of; }

  std::string configuration;
  std::map<std::string, std::string> entries;
  TimePoint synchronized{};
};

/** A fleet whose members follow one store, directly or through watchers. */
class Fleet {
 public:
  explicit Fleet(size_t size) {
    memory.Create("op/config", "c0", kNoLease);
    for (size_t i = 0; i < size; ++i) {
      members_.push_back(std::make_unique<Member>(*this, i));
      members_[i]->choice.Update(KeyOf(i), Keys(size));
      members_[i]->follower.SetRole(members_[i]->choice.role());
      members_[i]->follower.Start();
    }
    ExpireLeases();
    SendRounds();
    // Past the startup, in which changes are read in smaller batches.
    scheduler.RunFor(seconds(6));
  }

  struct Member : public RevisionSource {
    Member(Fleet& fleet, size_t index)
        : fleet(fleet),
          index(index),
          store(fleet.memory, fleet.scheduler),
          follower(store, fleet.scheduler, fleet.random, fleet.log,
                   {"op/config", "dir/", ""}, FollowerOptions(),
                   StoreReadBudget(2000), contents) {
      follower.SetRevisionSource(*this);
    }
    bool ReadRevision(Done done) override {
      return fleet.AskWatcher(choice.sources(), std::move(done));
    }

    Fleet& fleet;
    size_t index;
    FakeStore store;
    Contents contents;
    ReplicaFollower follower;
    WatcherChoice choice;
    /** Neither sends nor receives messages of other members. */
    bool cut_off = false;
    /** Does not run; its timers and calls are lost. */
    bool dead = false;
  };

  std::vector<Member*> Watchers() {
    std::vector<Member*> watchers;
    for (auto& member : members_) {
      if (member->choice.watches()) watchers.push_back(member.get());
    }
    return watchers;
  }
  std::vector<Member*> Followers() {
    std::vector<Member*> followers;
    for (auto& member : members_) {
      if (!member->choice.watches()) followers.push_back(member.get());
    }
    return followers;
  }
  int Calls() const {
    int calls = 0;
    for (const auto& member : members_) calls += member->store.calls;
    return calls;
  }
  /** Whether all members that are not dead have the store's contents. */
  bool AllCurrent() {
    for (const auto& member : members_) {
      if (!member->dead && !IsCurrent(*member)) return false;
    }
    return true;
  }
  bool IsCurrent(const Member& member) {
    std::map<std::string, std::string> expected;
    for (const auto& item : memory.List("dir/").items) {
      expected[item.key] = item.value;
    }
    return member.contents.entries == expected &&
           member.contents.configuration == memory.Read("op/config")->value;
  }
  void Kill(Member& member) {
    member.dead = member.cut_off = true;
    member.store.silent = true;
  }
  void Configure(const std::string& document) {
    const auto item = memory.Read("op/config");
    memory.CompareAndSwap("op/config", KeyVersion(item->version), document);
  }

  VirtualScheduler scheduler;
  MemoryStore memory;
  SeededRandom random{1};
  SilentLog log;

 private:
  void ExpireLeases() {
    memory.Expire(scheduler.Now());
    scheduler.After(milliseconds(20), [this] { ExpireLeases(); });
  }

  void SendRounds() {
    for (auto& member : members_) {
      if (member->cut_off) continue;
      const auto changes = member->follower.ChangesForFollowers();
      if (!changes) continue;
      for (const std::string& key : member->choice.followers()) {
        scheduler.After(kMessageDelay, [this, key, changes] {
          Member& to = Named(key);
          if (!to.cut_off) to.follower.OnPeerChanges(*changes);
        });
      }
    }
    scheduler.After(kRound, [this] { SendRounds(); });
  }

  bool AskWatcher(const std::vector<std::string>& sources,
                  RevisionSource::Done done) {
    if (sources.empty()) return false;
    Member& watcher = Named(sources.front());
    if (watcher.cut_off) {
      scheduler.After(milliseconds(120), [done] { done(std::nullopt); });
    } else {
      scheduler.After(kMessageDelay, [&watcher, done] {
        watcher.follower.ReadRevision(done);
      });
    }
    return true;
  }

  Member& Named(const std::string& key) {
    for (auto& member : members_) {
      if (KeyOf(member->index) == key) return *member;
    }
    FAIL("no member " << key);
    return *members_.front();
  }

  std::vector<std::unique_ptr<Member>> members_;
};

TEST_CASE("Changes reach all balancers, with a fraction of the calls") {
  Fleet fleet(21);
  const int before = fleet.Calls();
  for (int i = 0; i < 20; ++i) {
    fleet.memory.Create("dir/" + std::to_string(i), "value", kNoLease);
    if (i >= 5) fleet.memory.Remove("dir/" + std::to_string(i - 5));
    fleet.scheduler.RunFor(milliseconds(500));
  }
  fleet.scheduler.RunFor(milliseconds(1200));
  CHECK(fleet.AllCurrent());
  // Three watchers of 21 balancers, each with at most one call per 800 ms.
  INFO(fleet.Calls() - before << " calls");
  CHECK(fleet.Calls() - before <= 3 * 16);
  for (auto* follower : fleet.Followers()) {
    CHECK(follower->follower.counters().batches_from_peers > 0);
  }
}

TEST_CASE("A configuration that fits no datagram reaches all balancers") {
  Fleet fleet(21);
  fleet.Configure(std::string(5000, 'c'));
  fleet.scheduler.RunFor(milliseconds(500));
  CHECK(fleet.AllCurrent());
}

// Guards against followers that wait for watchers which are gone.
TEST_CASE("Balancers watch themselves soon after all watchers died") {
  Fleet fleet(21);
  for (auto* watcher : fleet.Watchers()) fleet.Kill(*watcher);
  fleet.memory.Create("dir/new", "1", kNoLease);
  fleet.Configure("c1");
  // The users' bound of a configuration is 3 s on the smallest deployments.
  fleet.scheduler.RunFor(milliseconds(1800));
  CHECK(fleet.AllCurrent());
  for (auto* follower : fleet.Followers()) {
    CHECK(follower->follower.counters().watches_without_peer > 0);
  }
}

// Guards against a watcher that cannot reach the store and keeps the others
// from it.
TEST_CASE("Watchers without the store are not followed") {
  Fleet fleet(21);
  const bool silent = GENERATE(true, false);
  for (auto* watcher : fleet.Watchers()) {
    if (silent) {
      watcher->store.silent = true;
      watcher->store.SilencePendingWatches();
    } else {
      watcher->store.call_outcome = [] {
        return StoreCallOutcome::kNotExecuted;
      };
    }
  }
  fleet.memory.Create("dir/new", "1", kNoLease);
  fleet.Configure("c1");
  // The users' bound of a configuration is 3 s on the smallest deployments.
  fleet.scheduler.RunFor(milliseconds(2950));
  for (auto* follower : fleet.Followers()) CHECK(fleet.IsCurrent(*follower));
}

TEST_CASE("One silent watcher is made up for by the second one") {
  Fleet fleet(21);
  fleet.Watchers().front()->store.suppress_changes = true;
  fleet.memory.Create("dir/new", "1", kNoLease);
  fleet.scheduler.RunFor(milliseconds(600));
  for (auto* follower : fleet.Followers()) CHECK(fleet.IsCurrent(*follower));
}

TEST_CASE("A balancer that is cut off from the others reads the store") {
  Fleet fleet(21);
  Fleet::Member& alone = *fleet.Followers().front();
  alone.cut_off = true;
  fleet.memory.Create("dir/new", "1", kNoLease);
  fleet.scheduler.RunFor(milliseconds(1800));
  CHECK(fleet.IsCurrent(alone));
}

// Guards against a follower that skips changes which a watcher no longer has.
TEST_CASE(
    "A balancer that missed more changes than a datagram holds reads them") {
  Fleet fleet(21);
  Fleet::Member& member = *fleet.Followers().front();
  member.cut_off = true;
  for (int i = 0; i < 30; ++i) {
    fleet.memory.Create("dir/" + std::to_string(i), std::string(200, 'x'),
                        kNoLease);
  }
  fleet.scheduler.RunFor(milliseconds(1000));
  CHECK_FALSE(fleet.IsCurrent(member));
  member.cut_off = false;
  fleet.scheduler.RunFor(milliseconds(300));
  CHECK(fleet.IsCurrent(member));
}

// Guards against a damaged message that puts other keys into the directory.
TEST_CASE("Changes of keys outside the directory are not applied") {
  Fleet fleet(21);
  Fleet::Member& member = *fleet.Followers().front();
  auto changes = fleet.Watchers().front()->follower.ChangesForFollowers();
  REQUIRE(changes);
  schema::ReplicaEntry entry;
  entry.key = "op/other";
  entry.value = "x";
  entry.revision = ++changes->version.directory_revision;
  changes->entries.push_back(entry);
  member.follower.OnPeerChanges(*changes);
  CHECK(member.contents.entries.count("op/other") == 0);
}

// Guards against a sign of a process that was paused, or whose store hangs.
TEST_CASE("A watcher sends nothing once the store's last answer is old") {
  Fleet fleet(21);
  Fleet::Member& watcher = *fleet.Watchers().front();
  watcher.store.timeout = seconds(10);
  watcher.store.silent = true;
  watcher.store.SilencePendingWatches();
  fleet.scheduler.RunFor(milliseconds(500));
  CHECK(watcher.follower.ChangesForFollowers().has_value());
  fleet.scheduler.RunFor(milliseconds(1150));
  CHECK_FALSE(watcher.follower.ChangesForFollowers().has_value());
}

// The entry may have been written just before the refresh began.
TEST_CASE("A refresh through a watcher reports only what the store held") {
  Fleet fleet(21);
  Fleet::Member& member = *fleet.Followers().front();
  const bool watcher_answers = GENERATE(true, false);
  if (!watcher_answers) {
    for (auto* watcher : fleet.Watchers()) watcher->cut_off = true;
  }
  for (int i = 0; i < 10; ++i) {
    fleet.memory.Create("dir/" + std::to_string(i), "value", kNoLease);
    const TimePoint began = fleet.scheduler.Now();
    member.follower.Refresh();
    fleet.scheduler.RunFor(milliseconds(200));
    REQUIRE(member.contents.synchronized >= began);
    CHECK(member.contents.entries.count("dir/" + std::to_string(i)) == 1);
  }
}

// Guards against evidence of a missing route that rests on an older
// configuration than the read that it names.
TEST_CASE("A refresh is reported with the configuration that the store held") {
  Fleet fleet(21);
  Fleet::Member& member = *fleet.Followers().front();
  const bool watcher_answers = GENERATE(true, false);
  if (!watcher_answers) {
    for (auto* watcher : fleet.Watchers()) watcher->cut_off = true;
  }
  for (int i = 0; i < 10; ++i) {
    const std::string newest = "c" + std::to_string(i + 1);
    fleet.Configure(newest);
    const TimePoint began = fleet.scheduler.Now();
    for (int ms = 0; ms < 300 && member.contents.synchronized < began; ++ms) {
      member.follower.Refresh();
      fleet.scheduler.RunFor(milliseconds(1));
    }
    REQUIRE(member.contents.synchronized >= began);
    CHECK(member.contents.configuration == newest);
  }
}

// Guards against a follower that takes an old position for a sign that it has
// all changes.
TEST_CASE("A watcher that lags behind a balancer confirms nothing") {
  Fleet fleet(21);
  Fleet::Member& member = *fleet.Followers().front();
  const auto old = fleet.Watchers().front()->follower.ChangesForFollowers();
  REQUIRE(old);
  fleet.memory.Create("dir/a", "1", kNoLease);
  fleet.scheduler.RunFor(seconds(1));
  for (auto* watcher : fleet.Watchers()) fleet.Kill(*watcher);
  fleet.memory.Create("dir/b", "1", kNoLease);
  for (int i = 0; i < 9; ++i) {
    member.follower.OnPeerChanges(*old);
    fleet.scheduler.RunFor(kRound);
  }
  CHECK(fleet.IsCurrent(member));
}

}  // namespace
}  // namespace sesamesaddle
