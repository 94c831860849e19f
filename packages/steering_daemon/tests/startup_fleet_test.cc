// Starts of whole fleets against one store, with the classes that a balancer
// process uses; only sockets are missing.
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "fake_store.h"
#include "memory_store.h"
#include "registry/registration.h"
#include "registry/replica_follower.h"
#include "schema/codec.h"
#include "silent_log.h"
#include "steering_daemon/balancer_record.h"
#include "steering_daemon/startup_readiness.h"
#include "steering_daemon/steering_process.h"
#include "virtual_scheduler.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kConfigurationKey[] = "op/config";
const InstanceCapacity kLarge{0.5, 200.0};
const InstanceCapacity kSmall{0.095, 10.0};
// A watch of the test's store is answered within 20 ms, and a start takes four
// calls of 2 ms; changes at startup are fetched in batches of 100 ms.
constexpr Duration kPropagation = milliseconds(150);
/** Interval at which the tests ask for readiness. */
constexpr Duration kStep = milliseconds(5);

/** One process of a balancer. */
class StartedBalancer : private ReplicaListener {
 public:
  StartedBalancer(MemoryStore& memory, VirtualScheduler& scheduler,
                  const schema::BalancerRecord& record, uint64_t seed)
      : scheduler_(scheduler),
        record_(record),
        random_(seed),
        store_(memory, scheduler),
        registration_(store_, scheduler, random_, log_, RegistrationOptions(),
                      Key(record)),
        follower_(store_, scheduler, random_, log_,
                  {kConfigurationKey, DirectoryKeys::kPrefix},
                  FollowerOptions(), StoreReadBudget(2000), *this),
        readiness_(log_, {record.zone, CapacityOf(record)}),
        started_(scheduler.Now()) {
    readiness_.Start(started_);
    registration_.Publish(EncodeCompact(record));
    follower_.Start();
  }

  static std::string Key(const schema::BalancerRecord& record) {
    return DirectoryKeys::kBalancerPrefix + record.name;
  }
  void CutPower() { store_.silent = true; }
  void StopAsPlanned() {
    registration_.Withdraw([this] { CutPower(); });
  }
  /** Asks for readiness, as the platform's probes do. */
  void Probe() {
    if (ready_after_ || !follower_.loaded()) return;
    if (!readiness_.Allows(scheduler_.Now())) return;
    ready_after_ = scheduler_.Now() - started_;
  }
  /** Returns the time from the start until it was ready; nothing before. */
  std::optional<Duration> ready_after() const { return ready_after_; }
  TimePoint started() const { return started_; }
  const schema::BalancerRecord& record() const { return record_; }

 private:
  bool OnConfiguration(const std::string& /*document*/,
                       StoreRevision /*revision*/,
                       bool /*after_gap*/) override {
    return true;
  }
  int64_t ConfigurationVersion() const override { return 1; }
  void OnEntry(const std::string& key, const std::string& value,
               StoreRevision revision) override {
    const auto record = DecodeCompact<schema::BalancerRecord>(value);
    REQUIRE(record.has_value());
    if (record->name == record_.name) {
      if (!follower_.loaded()) readiness_.OnEarlierEntry();
      return;
    }
    const bool written_since =
        follower_.loaded() &&
        revision.era == follower_.directory_revision().era;
    readiness_.OnPeerListed(
        key, {record->zone, CapacityOf(*record)},
        written_since ? EntryAge::kWrittenSince : EntryAge::kMayBeEarlier);
  }
  void OnEntryRemoved(const std::string& key,
                      StoreRevision /*revision*/) override {
    readiness_.OnPeerRemoved(key);
  }
  void OnEvacuationsListed(const std::set<std::string>& /*keys*/,
                           StoreRevision /*as_of*/) override {}
  void OnSynchronized(TimePoint /*as_of*/) override {}

  VirtualScheduler& scheduler_;
  schema::BalancerRecord record_;
  SeededRandom random_;
  SilentLog log_;
  FakeStore store_;
  Registration registration_;
  ReplicaFollower follower_;
  StartupReadiness readiness_;
  TimePoint started_;
  std::optional<Duration> ready_after_;
};

/** Balancers of three zones on one store. */
class Fleet {
 public:
  Fleet() {
    // An empty store has no revision, so no replica of it counts as loaded.
    REQUIRE(memory_.Create(kConfigurationKey, "routes", kNoLease));
    Expire();
  }

  void Add(const std::string& name, const std::string& zone,
           const InstanceCapacity& capacity) {
    SteeringSettings settings;
    settings.name = name;
    settings.zone = zone;
    settings.capacity = capacity;
    records_.push_back(MakeBalancerRecord(settings));
  }
  /** Starts a process; an earlier one of the balancer must have ended. */
  StartedBalancer& Start(const std::string& name) {
    for (const auto& record : records_) {
      if (record.name != name) continue;
      processes_.push_back(std::make_unique<StartedBalancer>(
          memory_, scheduler_, record, ++seed_));
    }
    return *processes_.back();
  }
  void StartAll() {
    for (const auto& record : records_) Start(record.name);
  }
  /** Starts all within 50 ms, then lets them run for a minute. */
  void RunSinceLongAgo() {
    for (const auto& record : records_) {
      Start(record.name);
      Run(milliseconds(5));
    }
    Run(seconds(60));
  }
  void CutPower() {
    for (const auto& process : processes_) process->CutPower();
    processes_.swap(ended_);
  }
  StartedBalancer& Find(const std::string& name) {
    for (const auto& process : processes_) {
      if (process->record().name == name) return *process;
    }
    FAIL("no process of " << name);
    return *processes_.back();
  }
  /** The store returns from a copy of its data of this moment. */
  void RestartStore() {
    const MemoryStore copy = memory_;
    memory_.Restore(copy);
  }
  /** Ends a process by a planned stop or by a crash. */
  void StopAsPlanned(const std::string& name) {
    Find(name).StopAsPlanned();
    Run(milliseconds(100));
    Remove(name);
  }
  void Kill(const std::string& name) {
    Find(name).CutPower();
    Remove(name);
  }
  void Run(Duration duration) {
    for (Duration run{}; run < duration; run += kStep) {
      scheduler_.RunFor(kStep);
      for (const auto& process : processes_) process->Probe();
    }
  }
  Duration ReadyAfter(const std::string& name) {
    return Find(name).ready_after().value_or(Duration::max());
  }
  /** Returns the time of day at which it was ready. */
  TimePoint ReadyAt(const std::string& name) {
    return Find(name).started() + ReadyAfter(name);
  }

 private:
  void Expire() {
    memory_.Expire(scheduler_.Now());
    scheduler_.After(milliseconds(20), [this] { Expire(); });
  }
  void Remove(const std::string& name) {
    for (auto& process : processes_) {
      if (process->record().name != name) continue;
      // Callbacks of its calls may still be scheduled.
      ended_.push_back(std::move(process));
      process = std::move(processes_.back());
      processes_.pop_back();
      return;
    }
  }

  VirtualScheduler scheduler_;
  MemoryStore memory_;
  std::vector<schema::BalancerRecord> records_;
  std::vector<std::unique_ptr<StartedBalancer>> processes_;
  std::vector<std::unique_ptr<StartedBalancer>> ended_;
  uint64_t seed_ = 0;
};

/** One large and two small balancers in each of two zones. */
void AddMixedZones(Fleet& fleet,
                   const InstanceCapacity& large_capacity = kLarge) {
  for (const std::string zone : {"a", "b"}) {
    fleet.Add(zone + "-small-1", zone, kSmall);
    fleet.Add(zone + "-small-2", zone, kSmall);
    fleet.Add(zone + "-large", zone, large_capacity);
  }
}

constexpr Duration kPowerLoss = milliseconds(1300);
constexpr Duration kAtOnce = milliseconds(20);

TEST_CASE(
    "After a power loss small balancers wait for their zone's large one") {
  Fleet fleet;
  AddMixedZones(fleet);
  fleet.RunSinceLongAgo();
  fleet.CutPower();
  fleet.Run(kPowerLoss);
  for (const char* name :
       {"a-small-1", "b-small-1", "a-small-2", "b-small-2"}) {
    fleet.Start(name);
    fleet.Run(milliseconds(40));
  }
  fleet.Run(milliseconds(200));
  fleet.Start("a-large");
  fleet.Run(milliseconds(300));
  fleet.Start("b-large");
  fleet.Run(seconds(2));
  for (const std::string zone : {"a", "b"}) {
    INFO("zone " << zone);
    const TimePoint large_ready = fleet.ReadyAt(zone + "-large");
    CHECK(fleet.ReadyAfter(zone + "-large") <= kAtOnce);
    for (const std::string small : {"-small-1", "-small-2"}) {
      CHECK(fleet.ReadyAt(zone + small) >= large_ready);
      CHECK(fleet.ReadyAt(zone + small) <= large_ready + kPropagation);
      CHECK(fleet.ReadyAfter(zone + small) < StartupReadiness::kMaxWait);
    }
  }
}

TEST_CASE("All balancers are ready within the limit if they start at once") {
  Fleet fleet;
  AddMixedZones(fleet);
  fleet.RunSinceLongAgo();
  fleet.CutPower();
  fleet.Run(kPowerLoss);
  fleet.StartAll();
  fleet.Run(StartupReadiness::kMaxWait + kStep);
  for (const char* name : {"a-large", "b-large"}) {
    CHECK(fleet.ReadyAfter(name) <= kAtOnce);
  }
  for (const char* name :
       {"a-small-1", "a-small-2", "b-small-1", "b-small-2"}) {
    CHECK(fleet.ReadyAfter(name) <= kPropagation);
  }
}

TEST_CASE("Small balancers serve after the limit if the large ones stay down") {
  Fleet fleet;
  AddMixedZones(fleet);
  fleet.RunSinceLongAgo();
  fleet.CutPower();
  fleet.Run(kPowerLoss);
  for (const char* name :
       {"a-small-1", "a-small-2", "b-small-1", "b-small-2"}) {
    fleet.Start(name);
  }
  fleet.Run(seconds(2));
  for (const char* name :
       {"a-small-1", "a-small-2", "b-small-1", "b-small-2"}) {
    CHECK(fleet.ReadyAfter(name) == StartupReadiness::kMaxWait);
  }
}

TEST_CASE("A small balancer does not wait in a rolling restart") {
  Fleet fleet;
  AddMixedZones(fleet);
  fleet.RunSinceLongAgo();
  fleet.StopAsPlanned("a-small-1");
  fleet.Run(seconds(1));
  fleet.Start("a-small-1");
  fleet.Run(seconds(1));
  CHECK(fleet.ReadyAfter("a-small-1") <= kAtOnce);
}

TEST_CASE("A small balancer that joins a running fleet does not wait") {
  Fleet fleet;
  AddMixedZones(fleet);
  fleet.RunSinceLongAgo();
  fleet.Add("a-new", "a", kSmall);
  fleet.Start("a-new");
  fleet.Run(seconds(1));
  CHECK(fleet.ReadyAfter("a-new") <= kAtOnce);
}

TEST_CASE("A small balancer that crashed alone waits up to the limit") {
  // Nothing in the store tells its restart from one after a power loss.
  Fleet fleet;
  AddMixedZones(fleet);
  fleet.RunSinceLongAgo();
  fleet.Kill("a-small-1");
  fleet.Run(seconds(1));
  fleet.Start("a-small-1");
  fleet.Run(seconds(2));
  CHECK(fleet.ReadyAfter("a-small-1") == StartupReadiness::kMaxWait);
}

TEST_CASE("Nobody waits at the first start of a fleet") {
  Fleet fleet;
  AddMixedZones(fleet);
  fleet.StartAll();
  fleet.Run(seconds(2));
  for (const char* name : {"a-small-1", "a-large", "b-small-2"}) {
    CHECK(fleet.ReadyAfter(name) <= kAtOnce);
  }
}

TEST_CASE("Without limits nobody waits after a power loss") {
  Fleet fleet;
  for (int i = 0; i < 6; ++i) {
    fleet.Add("balancer-" + std::to_string(i), "a", {});
  }
  fleet.RunSinceLongAgo();
  fleet.CutPower();
  fleet.Run(kPowerLoss);
  fleet.Start("balancer-0");
  fleet.Run(seconds(1));
  CHECK(fleet.ReadyAfter("balancer-0") <= kAtOnce);
}

TEST_CASE("Nobody waits for balancers of a version without capacity") {
  Fleet fleet;
  AddMixedZones(fleet, {});
  fleet.RunSinceLongAgo();
  fleet.CutPower();
  fleet.Run(kPowerLoss);
  fleet.Start("a-small-1");
  fleet.Run(seconds(1));
  CHECK(fleet.ReadyAfter("a-small-1") <= kAtOnce);
}

TEST_CASE("Entries that the store restores during a wait do not end it") {
  Fleet fleet;
  AddMixedZones(fleet);
  fleet.RunSinceLongAgo();
  fleet.CutPower();
  fleet.Run(kPowerLoss);
  fleet.Start("a-small-1");
  fleet.Run(milliseconds(300));
  fleet.RestartStore();
  fleet.Run(seconds(2));
  CHECK(fleet.ReadyAfter("a-small-1") == StartupReadiness::kMaxWait);
}

TEST_CASE("Leases that end during a power loss leave nobody to wait for") {
  Fleet fleet;
  AddMixedZones(fleet);
  fleet.RunSinceLongAgo();
  fleet.CutPower();
  fleet.Run(seconds(7));
  fleet.Start("a-small-1");
  fleet.Run(seconds(1));
  CHECK(fleet.ReadyAfter("a-small-1") <= kAtOnce);
}

}  // namespace
}  // namespace sesamesaddle
