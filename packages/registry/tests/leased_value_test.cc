#include "registry/leased_value.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/random.h"
#include "fake_store.h"
#include "memory_store.h"
#include "silent_log.h"
#include "virtual_scheduler.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kKey[] = "flows/a";

/** A registered process with a value beside its entry. */
struct LeasedValueFixture {
  LeasedValueFixture() {
    Expire();
    Start();
  }

  void Expire() {
    memory.Expire(scheduler.Now());
    scheduler.After(milliseconds(20), [this] { Expire(); });
  }
  /** Starts a new incarnation of the process. */
  void Start() {
    value.reset();
    registration = std::make_unique<Registration>(
        store, scheduler, random, log, RegistrationOptions(), "dir/a");
    value = std::make_unique<LeasedValue>(store, scheduler, random, log,
                                          *registration, kKey);
    recalled.reset();
    recalls = 0;
    value->Recall([this](std::optional<std::string> found) {
      ++recalls;
      recalled = std::move(found);
    });
    registration->Publish("entry");
  }
  /** Writes; returns 1 if acknowledged, 0 if failed, -1 if not called. */
  int Write(const std::string& text) {
    auto result = std::make_shared<int>(-1);
    value->Write(text, [result](bool written) { *result = written ? 1 : 0; });
    scheduler.RunFor(milliseconds(100));
    return *result;
  }
  std::string Stored() {
    const auto item = memory.Read(kKey);
    return item ? item->value : "";
  }

  VirtualScheduler scheduler;
  MemoryStore memory;
  SeededRandom random{1};
  SilentLog log;
  FakeStore store{memory, scheduler};
  std::unique_ptr<Registration> registration;
  std::unique_ptr<LeasedValue> value;
  std::optional<std::string> recalled;
  int recalls = 0;
};

TEST_CASE("A discarded value is not recalled again and can be replaced") {
  LeasedValueFixture f;
  f.scheduler.RunFor(milliseconds(100));
  REQUIRE(f.Write("one") == 1);
  f.Start();
  f.scheduler.RunFor(milliseconds(100));
  REQUIRE(f.recalled == "one");
  bool discarded = false;
  f.value->Discard([&](bool done) { discarded = done; });
  CHECK_FALSE(f.value->writable());
  f.scheduler.RunFor(milliseconds(100));
  CHECK(discarded);
  f.Start();
  f.scheduler.RunFor(milliseconds(100));
  CHECK_FALSE(f.recalled.has_value());
  CHECK(f.Write("two") == 1);
  CHECK(f.Stored() == "two");
}

TEST_CASE("A value is recalled by the next incarnation and can be replaced") {
  LeasedValueFixture f;
  f.scheduler.RunFor(milliseconds(100));
  CHECK(f.recalls == 1);
  CHECK_FALSE(f.recalled.has_value());
  CHECK(f.Write("one") == 1);
  CHECK(f.Write("two") == 1);
  f.Start();
  f.scheduler.RunFor(milliseconds(100));
  CHECK(f.recalled == "two");
  CHECK(f.Write("three") == 1);
  CHECK(f.Stored() == "three");
}

TEST_CASE("A value disappears with the lease of the entry") {
  LeasedValueFixture f;
  f.scheduler.RunFor(milliseconds(100));
  f.Write("one");
  f.scheduler.RunFor(seconds(30));
  CHECK(f.Stored() == "one");
  SECTION("withdrawn") {
    f.registration->Withdraw([] {});
    f.scheduler.RunFor(milliseconds(100));
  }
  SECTION("expired") {
    f.value.reset();
    f.registration.reset();
    f.scheduler.RunFor(seconds(7));
  }
  CHECK(f.Stored().empty());
}

TEST_CASE("A value is not written before the one left behind is read") {
  LeasedValueFixture f;
  f.scheduler.RunFor(milliseconds(100));
  f.Write("left behind");
  f.store.call_outcome = [] { return StoreCallOutcome::kNotExecuted; };
  f.Start();
  f.scheduler.RunFor(milliseconds(500));
  CHECK(f.Write("new") == -1);
  f.store.call_outcome = [] { return StoreCallOutcome::kAnswered; };
  f.scheduler.RunFor(seconds(2));
  CHECK(f.recalls == 1);
  CHECK(f.recalled == "left behind");
  CHECK(f.Write("new") == 1);
}

TEST_CASE("A value is written again after its lease or its key was lost") {
  LeasedValueFixture f;
  f.scheduler.RunFor(milliseconds(100));
  f.Write("one");
  SECTION("the key was removed") {
    REQUIRE(f.memory.Remove(kKey).has_value());
    CHECK(f.Write("two") == 0);
  }
  SECTION("the lease was ended") {
    REQUIRE(f.memory.EndLease(f.registration->lease()).has_value());
    CHECK(f.Write("two") == 0);
    f.scheduler.RunFor(seconds(3));
  }
  SECTION("the reply to a write was lost") {
    f.store.call_outcome = [] { return StoreCallOutcome::kReplyLost; };
    CHECK(f.Write("unknown") == -1);
    f.store.call_outcome = [] { return StoreCallOutcome::kAnswered; };
    f.scheduler.RunFor(seconds(3));
  }
  CHECK(f.Write("three") == 1);
  CHECK(f.Stored() == "three");
}

TEST_CASE("Nothing is written while the store fails") {
  LeasedValueFixture f;
  f.scheduler.RunFor(milliseconds(100));
  f.store.call_outcome = [] { return StoreCallOutcome::kNotExecuted; };
  f.scheduler.RunFor(seconds(3));
  CHECK_FALSE(f.value->writable());
  CHECK(f.Write("one") == -1);
}

}  // namespace
}  // namespace sesamesaddle
