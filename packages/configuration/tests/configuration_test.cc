#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "configuration/change_log.h"
#include "configuration/change_rules.h"
#include "configuration/replica.h"
#include "core/endpoint.h"
#include "core/random.h"
#include "fake_store.h"
#include "schema/codec.h"

namespace sesamesaddle {
namespace {

schema::Change CreateService(const std::string& name, int64_t address) {
  schema::CreateService create;
  create.name = name;
  create.address = address;
  schema::Change change;
  change.__set_create_service(create);
  return change;
}

schema::Change Drain(const std::string& instance) {
  schema::SetInstanceMode mode;
  mode.name = instance;
  mode.mode = schema::InstanceMode::kDraining;
  schema::Change change;
  change.__set_set_instance_mode(mode);
  return change;
}

schema::Change Evacuate(const std::string& zone, bool evacuated) {
  schema::SetZoneMode mode;
  mode.zone = zone;
  mode.evacuated = evacuated;
  schema::Change change;
  change.__set_set_zone_mode(mode);
  return change;
}

schema::Change Allow(const std::string& service, const std::string& pattern) {
  schema::AllowTargets allow;
  allow.service_name = service;
  allow.rule.pattern = pattern;
  schema::Change change;
  change.__set_allow_targets(allow);
  return change;
}

schema::ChangeRecord MakeRecord(int64_t revision, const schema::Change& change,
                                const std::string& id = "id") {
  schema::ChangeRecord record;
  record.revision = revision;
  record.change_id = id;
  record.change = change;
  return record;
}

TEST_CASE("Invalid changes are refused with a reason and change nothing") {
  schema::Configuration configuration;
  configuration.revision = 0;
  const int64_t address = Endpoint(1, 2).Pack();
  REQUIRE(ApplyChange(configuration, CreateService("a", address), 1));
  const schema::Configuration before = configuration;
  const auto refusal = [&](const schema::Change& change) {
    auto copy = configuration;
    const auto result = ApplyChange(copy, change, 2);
    REQUIRE_FALSE(result.has_value());
    CHECK(copy == before);
    return result.error().reason;
  };
  CHECK(refusal(CreateService("a", 5)) == RefusalReason::kServiceExists);
  CHECK(refusal(CreateService("b", address)) == RefusalReason::kAddressInUse);
  CHECK(refusal(CreateService("bad name", 5)) == RefusalReason::kBadValue);
  CHECK(refusal(Allow("x", "*")) == RefusalReason::kNoSuchService);
  CHECK(refusal(Allow("a", "")) == RefusalReason::kBadValue);
  CHECK(refusal(schema::Change()) == RefusalReason::kBadValue);
  schema::Change deadline = CreateService("b", 5);
  deadline.create_service.__set_deadline_ms(1);
  CHECK(refusal(deadline) == RefusalReason::kBadValue);
}

TEST_CASE("A service that is recreated gets a new id") {
  schema::Configuration configuration;
  REQUIRE(ApplyChange(configuration, CreateService("a", 1), 1));
  schema::RemoveService remove;
  remove.name = "a";
  schema::Change change;
  change.__set_remove_service(remove);
  REQUIRE(ApplyChange(configuration, change, 2));
  REQUIRE(ApplyChange(configuration, CreateService("a", 1), 3));
  CHECK(configuration.services.at("a").id == 3);
}

/** Recursive reference implementation. */
bool ReferenceMatch(const std::string& pattern, const std::string& name) {
  if (pattern.empty()) return name.empty();
  if (pattern[0] == '*') {
    return ReferenceMatch(pattern.substr(1), name) ||
           (!name.empty() && ReferenceMatch(pattern, name.substr(1)));
  }
  return !name.empty() && (pattern[0] == '?' || pattern[0] == name[0]) &&
         ReferenceMatch(pattern.substr(1), name.substr(1));
}

TEST_CASE("MatchesPattern agrees with the reference implementation") {
  rc::prop("for names and patterns over a small alphabet", [] {
    const size_t pattern_size = *rc::gen::inRange<size_t>(0, 10);
    const auto pattern = *rc::gen::container<std::string>(
        pattern_size, rc::gen::element('a', 'b', '*', '?'));
    const size_t name_size = *rc::gen::inRange<size_t>(0, 12);
    const auto name =
        *rc::gen::container<std::string>(name_size, rc::gen::element('a', 'b'));
    RC_ASSERT(MatchesPattern(pattern, name) == ReferenceMatch(pattern, name));
  });
}

TEST_CASE("A replica's revision never decreases, in any order of offers") {
  rc::prop("compared with a log applied in order", [] {
    // Reference: all records applied in order.
    const int64_t last = *rc::gen::inRange<int64_t>(1, 40);
    std::vector<schema::ChangeRecord> log;
    std::vector<schema::Configuration> states(1);
    states[0].revision = 0;
    for (int64_t revision = 1; revision <= last; ++revision) {
      log.push_back(MakeRecord(
          revision, CreateService("s" + std::to_string(revision), revision)));
      states.push_back(states.back());
      RC_ASSERT(ApplyChange(states.back(), log.back().change, revision));
    }
    ConfigurationReplica replica;
    const auto offers =
        *rc::gen::container<std::vector<int64_t>>(rc::gen::inRange<int64_t>(
            -last, last + 1));  // Negative: the snapshot of that revision.
    for (const int64_t offer : offers) {
      const Revision before = replica.revision();
      if (offer > 0) replica.OfferRecord(log[static_cast<size_t>(offer) - 1]);
      if (offer < 0) replica.OfferSnapshot(states[static_cast<size_t>(-offer)]);
      RC_ASSERT(!(replica.revision() < before));
      RC_ASSERT(replica.current() ==
                states[static_cast<size_t>(replica.revision().value())]);
    }
    for (const auto& record : log) replica.OfferRecord(record);
    RC_ASSERT(replica.current() == states.back());
    const auto after = replica.RecordsAfter(Revision(last - 1), 10);
    RC_ASSERT(!replica.HasRecordsAfter(Revision(last - 1)) ||
              after.size() == 1);
  });
}

/** A process that submits changes, with its replica and its change log. */
struct Operator {
  Operator(MemoryStore& memory, VirtualScheduler& scheduler)
      : store(memory, scheduler),
        log(
            store, scheduler, replica,
            [this](const schema::ChangeRecord& r) { replica.OfferRecord(r); },
            [this](const schema::Configuration& s) {
              replica.OfferSnapshot(s);
            }) {}

  std::shared_ptr<SubmitResult> Submit(const schema::Change& change,
                                       const std::string& id) {
    auto result = std::make_shared<SubmitResult>();
    result->message = "pending";
    log.Submit(MakeRecord(0, change, id), std::chrono::seconds(5),
               [result](const SubmitResult& r) { *result = r; });
    return result;
  }

  ConfigurationReplica replica;
  FakeStore store;
  ChangeLog log;
};

using Outcome = SubmitResult::Outcome;

class MockStore : public Store {
 public:
  MAKE_MOCK2(Read, void(const std::string&, Done<schema::KeyValue>), override);
  MAKE_MOCK2(List, void(const std::string&, Done<schema::KeyValueList>),
             override);
  MAKE_MOCK4(Create,
             void(const std::string&, const std::string&, LeaseId,
                  Done<KeyVersion>),
             override);
  MAKE_MOCK5(CompareAndSwap,
             void(const std::string&, KeyVersion, const std::string&, LeaseId,
                  Done<KeyVersion>),
             override);
  MAKE_MOCK2(Remove, void(const std::string&, Done<KeyVersion>), override);
  MAKE_MOCK2(GrantLease, void(Duration, Done<LeaseId>), override);
  MAKE_MOCK2(RenewLease, void(LeaseId, Done<LeaseId>), override);
  MAKE_MOCK2(EndLease, void(LeaseId, Done<LeaseId>), override);
  MAKE_MOCK4(Watch,
             void(const std::string&, int64_t, Duration,
                  Done<schema::KeyValueList>),
             override);
  MAKE_CONST_MOCK0(era, StoreEra(), override);
};

TEST_CASE("A change that is refused locally writes nothing to the store") {
  using trompeloeil::_;
  VirtualScheduler scheduler;
  MockStore store;
  ConfigurationReplica replica;
  ChangeLog log(
      store, scheduler, replica, [](const schema::ChangeRecord&) {},
      [](const schema::Configuration&) {});
  REQUIRE_CALL(store, Read(kSnapshotKey, _))
      .SIDE_EFFECT(_2(tl::unexpected(StoreError::kNotFound)));
  REQUIRE_CALL(store, List(kLogPrefix, _))
      .SIDE_EFFECT(_2(schema::KeyValueList()));
  FORBID_CALL(store, Create(_, _, _, _));
  SubmitResult result;
  log.Submit(MakeRecord(0, Allow("nobody", "*")), std::chrono::seconds(5),
             [&](const SubmitResult& r) { result = r; });
  CHECK(result.outcome == Outcome::kRefused);
}

TEST_CASE(
    "Of two concurrent conflicting changes one is refused with a reason") {
  VirtualScheduler scheduler;
  MemoryStore memory;
  Operator a(memory, scheduler);
  Operator b(memory, scheduler);
  const auto first = a.Submit(CreateService("x", 1), "ia");
  const auto second = b.Submit(CreateService("x", 2), "ib");
  scheduler.RunFor(std::chrono::seconds(10));
  CHECK(first->outcome == Outcome::kAccepted);
  CHECK(second->outcome == Outcome::kRefused);
  CHECK(second->message == "service x exists");
}

TEST_CASE("A change whose reply was lost is recognised by its change id") {
  VirtualScheduler scheduler;
  MemoryStore memory;
  Operator a(memory, scheduler);
  int calls = 0;
  // The third call is the create; Load reads the snapshot and lists the log
  // before it.
  a.store.call_outcome = [&] {
    return ++calls == 3 ? StoreCallOutcome::kReplyLost
                        : StoreCallOutcome::kAnswered;
  };
  const auto result = a.Submit(CreateService("x", 1), "ia");
  scheduler.RunFor(std::chrono::seconds(10));
  CHECK(result->outcome == Outcome::kAccepted);
  CHECK(memory.List(kLogPrefix).items.size() == 1);
}

TEST_CASE("A change has an unknown outcome if the store is unavailable") {
  VirtualScheduler scheduler;
  MemoryStore memory;
  Operator a(memory, scheduler);
  for (const StoreCallOutcome call_outcome :
       {StoreCallOutcome::kNotExecuted, StoreCallOutcome::kReplyLost}) {
    a.store.call_outcome = [call_outcome] { return call_outcome; };
    const auto result = a.Submit(CreateService("x", 1), "ia");
    scheduler.RunFor(std::chrono::seconds(20));
    CHECK(result->outcome == Outcome::kUnknown);
  }
}

TEST_CASE("A process that is far behind does not reuse a trimmed revision") {
  VirtualScheduler scheduler;
  MemoryStore memory;
  Operator a(memory, scheduler);
  for (int i = 1; i <= 300; ++i) {
    a.Submit(CreateService("s" + std::to_string(i), i), std::to_string(i));
    scheduler.RunFor(std::chrono::milliseconds(50));
  }
  REQUIRE(a.replica.revision() == Revision(300));
  REQUIRE(memory.Read(LogKey(1)).error() == StoreError::kNotFound);
  Operator late(memory, scheduler);
  const auto result = late.Submit(CreateService("z", 999), "iz");
  scheduler.RunFor(std::chrono::seconds(5));
  CHECK(result->outcome == Outcome::kAccepted);
  CHECK(result->revision == 301);
  CHECK(memory.Read(LogKey(1)).error() == StoreError::kNotFound);
}

TEST_CASE("The log stays sequential despite store failures") {
  rc::prop("with several operators, lost replies and rejected calls", [] {
    VirtualScheduler scheduler;
    MemoryStore memory;
    SeededRandom random(*rc::gen::arbitrary<uint64_t>());
    std::vector<std::unique_ptr<Operator>> operators;
    for (int i = 0; i < 3; ++i) {
      operators.push_back(std::make_unique<Operator>(memory, scheduler));
      operators.back()->store.call_outcome = [&random] {
        const uint64_t dice = random.Below(10);
        if (dice == 0) return StoreCallOutcome::kReplyLost;
        return dice == 1 ? StoreCallOutcome::kNotExecuted
                         : StoreCallOutcome::kAnswered;
      };
    }
    std::map<std::string, std::shared_ptr<SubmitResult>> results;
    for (int i = 0; i < 24; ++i) {
      const std::string id = "c" + std::to_string(i);
      auto& issuer = *operators[random.Below(operators.size())];
      // Few names, so that changes conflict often.
      const auto name = "n" + std::to_string(random.Below(6));
      const uint64_t kind = random.Below(4);
      results[id] = issuer.Submit(kind == 0   ? Drain(name)
                                  : kind == 1 ? CreateService(name, 1 + i)
                                              : Evacuate(name, kind == 2),
                                  id);
      scheduler.RunFor(std::chrono::milliseconds(random.Below(300)));
    }
    scheduler.RunFor(std::chrono::minutes(2));
    // Reference: the stored log applied in order, without gaps or refusals.
    schema::Configuration expected;
    expected.revision = 0;
    std::map<std::string, int> times;
    for (const auto& item : memory.List(kLogPrefix).items) {
      const auto record = DecodeCompact<schema::ChangeRecord>(item.value);
      RC_ASSERT(record->revision == expected.revision + 1);
      RC_ASSERT(ApplyChange(expected, record->change, record->revision));
      ++times[record->change_id];
    }
    for (const auto& [id, result] : results) {
      RC_ASSERT(times[id] <= 1);
      if (result->outcome == Outcome::kAccepted) RC_ASSERT(times[id] == 1);
      if (result->outcome == Outcome::kRefused) RC_ASSERT(times[id] == 0);
    }
    for (auto& process : operators) {
      process->store.call_outcome = [] { return StoreCallOutcome::kAnswered; };
      process->log.Load([](bool) {});
    }
    scheduler.RunFor(std::chrono::seconds(1));
    for (auto& process : operators) {
      RC_ASSERT(process->replica.current() == expected);
    }
  });
}

TEST_CASE("A follower receives changes made while it was not following") {
  VirtualScheduler scheduler;
  MemoryStore memory;
  Operator writer(memory, scheduler);
  Operator reader(memory, scheduler);
  reader.log.Load([](bool) {});
  scheduler.RunFor(std::chrono::seconds(1));
  reader.log.Follow();
  writer.Submit(CreateService("x", 1), "1");
  scheduler.RunFor(std::chrono::seconds(1));
  CHECK(reader.replica.revision() == Revision(1));
  reader.log.StopFollowing();
  writer.Submit(CreateService("y", 2), "2");
  scheduler.RunFor(std::chrono::seconds(40));
  CHECK(reader.replica.revision() == Revision(1));
  reader.log.Follow();
  scheduler.RunFor(std::chrono::seconds(1));
  CHECK(reader.replica.revision() == Revision(2));
}

}  // namespace
}  // namespace sesamesaddle
