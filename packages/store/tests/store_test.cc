#include <catch2/catch.hpp>
#include <string>

#include "core/time.h"
#include "fake_store.h"
#include "memory_store.h"
#include "store/metered_store.h"

namespace sesamesaddle {
namespace {

TEST_CASE("Creating an existing key fails") {
  MemoryStore store;
  CHECK(store.Create("k", "a", kNoLease).has_value());
  CHECK(store.Create("k", "b", kNoLease).error() == StoreError::kExists);
  CHECK(store.Read("k")->value == "a");
}

TEST_CASE("Compare-and-swap fails for an outdated version or a missing key") {
  MemoryStore store;
  const KeyVersion first = *store.Create("k", "a", kNoLease);
  CHECK(store.CompareAndSwap("k", first, "b").has_value());
  CHECK(store.CompareAndSwap("k", first, "c").error() ==
        StoreError::kVersionMismatch);
  CHECK(store.CompareAndSwap("x", first, "c").error() == StoreError::kNotFound);
}

TEST_CASE("An expired lease deletes its keys and cannot be renewed") {
  MemoryStore store;
  const TimePoint start(std::chrono::seconds(10));
  const LeaseId lease = store.GrantLease(start, std::chrono::seconds(5));
  REQUIRE(store.Create("k", "a", lease).has_value());
  store.Expire(start + std::chrono::seconds(4));
  CHECK(store.RenewLease(start + std::chrono::seconds(4), lease).has_value());
  store.Expire(start + std::chrono::seconds(8));
  CHECK(store.Read("k").has_value());
  store.Expire(start + std::chrono::seconds(9));
  CHECK(store.Read("k").error() == StoreError::kNotFound);
  CHECK(store.RenewLease(start, lease).error() == StoreError::kLeaseExpired);
  CHECK(store.Create("k", "b", lease).error() == StoreError::kLeaseExpired);
}

TEST_CASE("A watch returns every write and removal after its revision") {
  MemoryStore store;
  store.Create("p/a", "1", kNoLease);
  const int64_t seen = store.revision();
  store.Create("p/b", "2", kNoLease);
  store.Create("q", "3", kNoLease);
  store.Remove("p/a");
  const auto changes = store.ChangesAfter("p/", seen);
  REQUIRE(changes.items.size() == 2);
  CHECK(changes.items[0].key == "p/b");
  CHECK(changes.items[1].deleted);
}

TEST_CASE("Calls are counted by kind; error replies do not count as failures") {
  MemoryStore memory;
  VirtualScheduler scheduler;
  FakeStore inner(memory, scheduler);
  MeteredStore store(inner);
  int errors = 0;
  const auto count = [&errors](const auto& result) { errors += !result; };
  store.Create("k", "a", kNoLease, count);
  store.Create("k", "b", kNoLease, count);
  store.Read("none", count);
  inner.call_outcome = [] { return StoreCallOutcome::kNotExecuted; };
  store.Read("k", count);
  store.Watch("", 0, std::chrono::milliseconds(10), count);
  inner.call_outcome = [] { return StoreCallOutcome::kReplyLost; };
  store.RenewLease(LeaseId(1), count);
  scheduler.RunFor(std::chrono::seconds(2));
  CHECK(errors == 5);
  const auto& counts = store.counts();
  CHECK(counts.at(StoreCall::kWrite).made == 2);
  CHECK(counts.at(StoreCall::kWrite).failed == 0);
  CHECK(counts.at(StoreCall::kRead).made == 2);
  CHECK(counts.at(StoreCall::kRead).failed == 1);
  CHECK(counts.at(StoreCall::kWatch).failed == 1);
  CHECK(counts.at(StoreCall::kRenewLease).failed == 1);
  CHECK(counts.count(StoreCall::kList) == 0);
}

TEST_CASE("Values over 1 MiB are rejected") {
  MemoryStore store;
  CHECK(store.Create("k", std::string(kMaxValueBytes + 1, 'x'), kNoLease)
            .error() == StoreError::kTooLarge);
}

}  // namespace
}  // namespace sesamesaddle
