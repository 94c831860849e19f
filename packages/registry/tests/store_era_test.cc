// A store that comes back from a copy of its data has lost what it acknowledged
// after the copy, and gives out the later revisions and leases again.

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "fake_store.h"
#include "memory_store.h"
#include "registry/registration.h"
#include "registry/replica_follower.h"
#include "registry/replica_position.h"
#include "silent_log.h"
#include "virtual_scheduler.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kConfigurationKey[] = "op/config";

/**
 * Applies configurations like a balancer: the document is the operators'
 * version, and an older one is not put into force.
 */
class VersionedListener : public ReplicaListener {
 public:
  bool OnConfiguration(const std::string& document, StoreRevision /*revision*/,
                       bool /*after_gap*/) override {
    const int64_t next = std::stoll(document);
    if (next < version) return false;
    version = next;
    return true;
  }
  int64_t ConfigurationVersion() const override { return version; }
  void OnEntry(const std::string& key, const std::string& value,
               StoreRevision revision) override {
    CHECK(revisions[key] < revision);
    revisions[key] = revision;
    entries[key] = value;
  }
  void OnEntryRemoved(const std::string& key, StoreRevision revision) override {
    CHECK(revisions[key] <= revision);
    revisions[key] = revision;
    entries.erase(key);
  }
  void OnEvacuationsListed(const std::set<std::string>& /*keys*/,
                           StoreRevision /*as_of*/) override {}
  void OnSynchronized(TimePoint as_of) override { synchronized = as_of; }

  int64_t version = 0;
  std::map<std::string, std::string> entries;
  std::map<std::string, StoreRevision> revisions;
  TimePoint synchronized{};
};

/** A process with its own connection to the store. */
struct Process {
  Process(MemoryStore& memory, VirtualScheduler& scheduler,
          SeededRandom& random)
      : store(memory, scheduler),
        follower(store, scheduler, random, log,
                 {kConfigurationKey, "online/", "op/evacuate/"},
                 FollowerOptions(), StoreReadBudget(2000), listener),
        registration_store(memory, scheduler) {}

  SilentLog log;
  FakeStore store;
  VersionedListener listener;
  ReplicaFollower follower;
  FakeStore registration_store;
  std::unique_ptr<Registration> registration;
};

struct EraWorld {
  EraWorld() {
    memory.Create(kConfigurationKey, "1", kNoLease);
    Expire();
  }
  void Expire() {
    memory.Expire(scheduler.Now());
    scheduler.After(milliseconds(20), [this] { Expire(); });
  }
  Process& Start() {
    processes.push_back(std::make_unique<Process>(memory, scheduler, random));
    processes.back()->follower.Start();
    scheduler.RunFor(milliseconds(50));
    return *processes.back();
  }
  void Register(Process& process, const std::string& key,
                const std::string& value) {
    process.registration = std::make_unique<Registration>(
        process.registration_store, scheduler, random, process.log,
        RegistrationOptions(), key);
    process.registration->Publish(value);
    scheduler.RunFor(milliseconds(50));
  }
  void Configure(int64_t version) {
    const auto item = memory.Read(kConfigurationKey);
    memory.CompareAndSwap(kConfigurationKey, KeyVersion(item->version),
                          std::to_string(version));
  }
  /** Writes that do not matter, so that revisions advance. */
  void Advance(int writes) {
    for (int i = 0; i < writes; ++i) {
      memory.Create("other/" + std::to_string(++others), "", kNoLease);
    }
  }

  VirtualScheduler scheduler;
  MemoryStore memory;
  SeededRandom random{1};
  int others = 0;
  std::vector<std::unique_ptr<Process>> processes;
};

TEST_CASE("A new configuration is in force after the store lost revisions") {
  EraWorld w;
  Process& process = w.Start();
  const MemoryStore copy = w.memory;
  w.Advance(100);
  w.Configure(2);
  w.scheduler.RunFor(seconds(3));
  REQUIRE(process.listener.version == 2);
  w.memory.Restore(copy);
  w.scheduler.RunFor(milliseconds(500));
  CHECK(process.listener.version == 2);  // The copy holds version 1.
  w.Configure(2);  // The operators write again what was lost.
  w.Configure(3);
  w.scheduler.RunFor(seconds(3));
  CHECK(process.listener.version == 3);
  CHECK(process.follower.counters().era_changes == 1);
}

TEST_CASE("An older document in the restored store does not reach peers") {
  EraWorld w;
  Process& knows = w.Start();
  const MemoryStore copy = w.memory;
  w.Configure(2);
  w.scheduler.RunFor(seconds(3));
  w.memory.Restore(copy);
  w.scheduler.RunFor(seconds(3));
  // This one knows only the copy.
  Process& fresh = w.Start();
  REQUIRE(fresh.listener.version == 1);
  CHECK(
      ReplicaPosition(knows.follower.Version())
          .ConfigurationIsNewerThan(ReplicaPosition(fresh.follower.Version())));
  knows.follower.ApplySnapshot(fresh.follower.Snapshot());
  CHECK(knows.listener.version == 2);
  fresh.follower.ApplySnapshot(knows.follower.Snapshot());
  CHECK(fresh.listener.version == 2);
  w.Configure(2);
  w.Configure(4);
  w.scheduler.RunFor(seconds(3));
  CHECK(fresh.listener.version == 4);
  CHECK(knows.listener.version == 4);
}

TEST_CASE("Positions decide where a peer does not send its version") {
  schema::ReplicaVersion old_build;
  old_build.configuration_revision = 900;
  schema::ReplicaVersion version;
  version.configuration_revision = 50;
  version.__set_configuration_era(4);
  version.__set_configuration_version(7);
  CHECK(ReplicaPosition(version).ConfigurationIsNewerThan(
      ReplicaPosition(old_build)));
  CHECK_FALSE(ReplicaPosition(old_build).ConfigurationIsNewerThan(
      ReplicaPosition(version)));
}

TEST_CASE("Entries are back within two seconds of the store's return") {
  EraWorld w;
  Process& observer = w.Start();
  Process& before = w.Start();
  w.Register(before, "online/a", "a");
  const MemoryStore copy = w.memory;
  Process& after = w.Start();
  w.Register(after, "online/b", "b");
  w.scheduler.RunFor(seconds(4));
  w.memory.Restore(copy);
  // Renewals, which notice the return, come every two seconds.
  w.scheduler.RunFor(milliseconds(2200));
  CHECK(w.memory.Read("online/a").has_value());
  CHECK(w.memory.Read("online/b").has_value());
  w.scheduler.RunFor(seconds(30));
  CHECK(observer.listener.entries == std::map<std::string, std::string>{
                                         {"online/a", "a"}, {"online/b", "b"}});
}

TEST_CASE("An entry does not depend on a lease id that was given out again") {
  EraWorld w;
  Process& process = w.Start();
  w.Register(process, "online/a", "old");
  const MemoryStore copy = w.memory;
  // The process gets a new lease after the copy.
  w.memory.EndLease(process.registration->lease());
  w.scheduler.RunFor(seconds(3));
  const LeaseId lost = process.registration->lease();
  REQUIRE(w.memory.LeaseOf("online/a") == lost);
  w.memory.Restore(copy);
  // Another process gets the same id in the restored store.
  REQUIRE(w.memory.GrantLease(w.scheduler.Now(), seconds(600)) == lost);
  w.scheduler.RunFor(seconds(30));
  CHECK(w.memory.LeaseOf("online/a") == process.registration->lease());
  CHECK_FALSE(process.registration->lease() == lost);
  // The process ends, and so does its entry.
  process.registration.reset();
  w.scheduler.RunFor(seconds(8));
  CHECK_FALSE(w.memory.Read("online/a").has_value());
}

TEST_CASE("A target that left after the copy gets no new work") {
  EraWorld w;
  Process& observer = w.Start();
  Process& leaving = w.Start();
  w.Register(leaving, "online/a", "a");
  w.scheduler.RunFor(seconds(1));
  const MemoryStore copy = w.memory;
  leaving.registration->Withdraw([] {});
  w.scheduler.RunFor(seconds(2));
  REQUIRE(observer.listener.entries.empty());
  w.memory.Restore(copy);
  for (int i = 0; i < 200; ++i) {
    w.scheduler.RunFor(milliseconds(100));
    REQUIRE(observer.listener.entries.empty());
  }
  CHECK(observer.follower.counters().restored_entries_held == 1);
}

TEST_CASE("A target that left stays away when the store returns twice") {
  EraWorld w;
  Process& observer = w.Start();
  Process& leaving = w.Start();
  w.Register(leaving, "online/a", "a");
  w.scheduler.RunFor(seconds(1));
  const MemoryStore copy = w.memory;
  leaving.registration->Withdraw([] {});
  w.scheduler.RunFor(seconds(2));
  w.memory.Restore(copy);
  w.scheduler.RunFor(milliseconds(600));
  w.memory.Restore(copy);
  for (int i = 0; i < 200; ++i) {
    w.scheduler.RunFor(milliseconds(100));
    REQUIRE(observer.listener.entries.empty());
  }
}

TEST_CASE("A restored entry that is renewed is accepted in the end") {
  EraWorld w;
  Process& observer = w.Start();
  w.memory.Create("online/a", "a", kNoLease);
  w.scheduler.RunFor(seconds(2));
  const MemoryStore copy = w.memory;
  w.memory.Remove("online/a");
  w.scheduler.RunFor(seconds(2));
  w.memory.Restore(copy);
  w.scheduler.RunFor(seconds(4));
  CHECK(observer.listener.entries.empty());
  w.scheduler.RunFor(seconds(7));
  CHECK(observer.listener.entries.count("online/a") == 1);
}

TEST_CASE("A key that has got a newer value does not return to the older one") {
  EraWorld w;
  Process& observer = w.Start();
  Process& process = w.Start();
  w.Register(process, "online/a", "first");
  w.scheduler.RunFor(seconds(1));
  const MemoryStore copy = w.memory;
  process.registration->Publish("second");
  w.scheduler.RunFor(seconds(2));
  REQUIRE(observer.listener.entries["online/a"] == "second");
  w.memory.Restore(copy);
  for (int i = 0; i < 150; ++i) {
    w.scheduler.RunFor(milliseconds(100));
    REQUIRE(observer.listener.entries["online/a"] == "second");
  }
  CHECK(w.memory.Read("online/a")->value == "second");
}

TEST_CASE("No directory is reported as complete while entries come back") {
  EraWorld w;
  Process& process = w.Start();
  const MemoryStore copy = w.memory;
  w.Advance(10);
  w.scheduler.RunFor(seconds(3));
  w.memory.Restore(copy);
  const TimePoint returned = w.scheduler.Now();
  w.scheduler.RunFor(milliseconds(300));
  process.follower.Refresh();
  w.scheduler.RunFor(seconds(1));
  CHECK_FALSE(process.follower.current());
  CHECK(process.listener.synchronized < returned);
  w.scheduler.RunFor(seconds(3));
  CHECK(process.follower.current());
  process.follower.Refresh();
  w.scheduler.RunFor(milliseconds(100));
  CHECK(process.listener.synchronized > returned);
}

TEST_CASE("A process that is cut from the store learns the era from a peer") {
  EraWorld w;
  Process& cut = w.Start();
  Process& connected = w.Start();
  const MemoryStore copy = w.memory;
  w.Advance(50);
  w.memory.Create("online/a", "a", kNoLease);
  w.scheduler.RunFor(seconds(3));
  cut.store.call_outcome = [] { return StoreCallOutcome::kNotExecuted; };
  w.memory.Restore(copy);
  w.memory.Create("online/b", "b", kNoLease);
  w.scheduler.RunFor(seconds(3));
  REQUIRE(cut.listener.entries.count("online/b") == 0);
  cut.follower.ApplySnapshot(connected.follower.Snapshot());
  CHECK(cut.listener.entries == connected.listener.entries);
  cut.store.call_outcome = [] { return StoreCallOutcome::kAnswered; };
  w.memory.Create("online/c", "c", kNoLease);
  w.scheduler.RunFor(seconds(4));
  CHECK(cut.listener.entries.count("online/c") == 1);
  CHECK(cut.listener.entries == connected.listener.entries);
}

TEST_CASE("Late answers of an earlier era change nothing") {
  EraWorld before;
  Process& process = before.Start();
  before.Advance(5);
  EraWorld after;
  after.memory.Restore(before.memory);
  after.memory.Create("online/a", "a", kNoLease);
  Process& peer = after.Start();
  process.follower.ApplySnapshot(peer.follower.Snapshot());
  REQUIRE(process.listener.entries.count("online/a") == 1);
  // The process still gets answers that the store gave before its return.
  before.Advance(50);
  before.memory.Create("online/late", "x", kNoLease);
  before.scheduler.RunFor(seconds(5));
  CHECK(process.listener.entries.count("online/late") == 0);
  CHECK(process.listener.entries.count("online/a") == 1);
  CHECK(process.follower.directory_revision().era == StoreEra(2));
}

TEST_CASE("Two returns in quick succession end with what is newest") {
  EraWorld w;
  Process& process = w.Start();
  w.Register(process, "online/a", "a");
  const MemoryStore first = w.memory;
  w.Configure(2);
  w.Advance(30);
  w.scheduler.RunFor(seconds(3));
  const MemoryStore second = w.memory;
  w.Configure(3);
  w.scheduler.RunFor(seconds(3));
  w.memory.Restore(second);
  w.scheduler.RunFor(milliseconds(400));
  w.memory.Restore(first);
  w.scheduler.RunFor(milliseconds(400));
  CHECK(process.listener.version == 3);
  w.Configure(3);
  w.Configure(5);
  w.scheduler.RunFor(seconds(10));
  CHECK(process.listener.version == 5);
  CHECK(process.listener.entries.count("online/a") == 1);
  CHECK(process.follower.counters().era_changes == 2);
}

/**
 * Operators, targets, copies, returns, cuts and peers' snapshots in random
 * order: the configuration in force never goes back, and after calm seconds
 * each process has what the store has.
 */
TEST_CASE("Random returns of the store lose nothing that is in force") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    EraWorld w;
    SeededRandom random(seed);
    for (int i = 0; i < 3; ++i) {
      Process& process = w.Start();
      w.Register(process, "online/" + std::to_string(i), "start");
    }
    MemoryStore copy = w.memory;
    std::vector<int64_t> in_force(3, 0);
    int64_t version = 1;
    std::string history;
    for (int step = 0; step < 60; ++step) {
      Process& process = *w.processes[random.Below(3)];
      Process& peer = *w.processes[random.Below(3)];
      switch (random.Below(8)) {
        case 0:
          copy = w.memory;
          history += " copy";
          break;
        case 1:
          if (random.Below(2) == 0) break;
          w.memory.Restore(copy);
          w.Configure(version);  // Written again by the operators.
          history += " return";
          break;
        case 2:
          w.Configure(++version);
          break;
        case 3:
          process.registration->Publish("v" + std::to_string(step));
          break;
        case 4:
          process.follower.ApplySnapshot(peer.follower.Snapshot());
          history += " snapshot";
          break;
        case 5: {
          const bool cut = random.Below(2) == 0;
          process.store.call_outcome = [cut] {
            return cut ? StoreCallOutcome::kNotExecuted
                       : StoreCallOutcome::kAnswered;
          };
          history += cut ? " cut" : " mend";
          break;
        }
        case 6:
          process.registration->Withdraw([] {});
          process.registration->Publish("again" + std::to_string(step));
          break;
        default:
          w.Advance(static_cast<int>(random.Below(20)));
      }
      w.scheduler.RunFor(milliseconds(random.Below(900)));
      INFO("seed " << seed << history);
      for (size_t i = 0; i < 3; ++i) {
        REQUIRE(w.processes[i]->listener.version >= in_force[i]);
        in_force[i] = w.processes[i]->listener.version;
      }
    }
    for (auto& process : w.processes) {
      process->store.call_outcome = [] { return StoreCallOutcome::kAnswered; };
    }
    w.scheduler.RunFor(seconds(12));
    INFO("seed " << seed << history);
    for (auto& process : w.processes) {
      CHECK(process->listener.version == version);
      std::map<std::string, std::string> expected;
      for (const auto& item : w.memory.List("online/").items) {
        expected[item.key] = item.value;
      }
      CHECK(expected.size() == 3);
      CHECK(process->listener.entries == expected);
    }
  }
}

}  // namespace
}  // namespace sesamesaddle
