#ifndef SESAMESADDLE_TESTS_SUPPORT_FAKE_STORE_H_
#define SESAMESADDLE_TESTS_SUPPORT_FAKE_STORE_H_

#include <functional>
#include <string>

#include "memory_store.h"
#include "store/store.h"
#include "virtual_scheduler.h"

namespace sesamesaddle {

/** What happens to one call of a store. */
enum class Fate { kAnswered, kReplyLost, kNotTaken };

/** A client's view of a memory store, with delays and failures as told. */
class FakeStore : public Store {
 public:
  FakeStore(MemoryStore& memory, VirtualScheduler& scheduler)
      : memory_(memory), scheduler_(scheduler) {}

  /** Decides each call's fate; by default all are answered. */
  std::function<Fate()> fate = [] { return Fate::kAnswered; };
  /** Connections stand, but nothing is answered. */
  bool silent = false;
  /** Watches are answered, but no change is told. */
  bool hides_changes = false;
  /** Calls made, whatever became of them; renewals too. */
  int calls = 0;
  /** Watches that wait now get nothing any more; new calls do. */
  void SilenceWaiting() { ++silenced_; }
  Duration delay = std::chrono::milliseconds(2);
  Duration timeout = std::chrono::seconds(1);

  void Read(const std::string& key, Done<schema::KeyValue> done) override {
    Call<schema::KeyValue>([this, key] { return memory_.Read(key); }, done);
  }
  void List(const std::string& prefix,
            Done<schema::KeyValueList> done) override {
    Call<schema::KeyValueList>([this, prefix] { return memory_.List(prefix); },
                               done);
  }
  void Create(const std::string& key, const std::string& value, LeaseId lease,
              Done<KeyVersion> done) override {
    Call<KeyVersion>(
        [this, key, value, lease] { return memory_.Create(key, value, lease); },
        done);
  }
  void CompareAndSwap(const std::string& key, KeyVersion expected,
                      const std::string& value, LeaseId lease,
                      Done<KeyVersion> done) override {
    Call<KeyVersion>(
        [this, key, expected, value, lease] {
          return memory_.CompareAndSwap(key, expected, value, lease);
        },
        done);
  }
  void Remove(const std::string& key, Done<KeyVersion> done) override {
    Call<KeyVersion>([this, key] { return memory_.Remove(key); }, done);
  }
  void GrantLease(Duration time_to_live, Done<LeaseId> done) override {
    Call<LeaseId>(
        [this, time_to_live]() -> tl::expected<LeaseId, StoreError> {
          return memory_.GrantLease(scheduler_.Now(), time_to_live);
        },
        done);
  }
  void RenewLease(LeaseId lease, Done<LeaseId> done) override {
    Call<LeaseId>(
        [this, lease] { return memory_.RenewLease(scheduler_.Now(), lease); },
        done);
  }
  void EndLease(LeaseId lease, Done<LeaseId> done) override {
    Call<LeaseId>([this, lease] { return memory_.EndLease(lease); }, done);
  }
  void Watch(const std::string& prefix, int64_t revision, Duration wait,
             Done<schema::KeyValueList> done) override {
    ++calls;
    if (fate() != Fate::kAnswered) {
      scheduler_.After(
          delay, [done] { done(tl::unexpected(StoreError::kUnavailable)); });
      return;
    }
    Poll(prefix, revision, scheduler_.Now() + wait, silenced_, done);
  }

 private:
  template <typename T>
  void Call(std::function<tl::expected<T, StoreError>()> action, Done<T> done) {
    ++calls;
    switch (silent ? Fate::kReplyLost : fate()) {
      case Fate::kAnswered:
        scheduler_.After(delay, [action, done] { done(action()); });
        return;
      case Fate::kReplyLost:
        if (!silent) scheduler_.After(delay, [action] { action(); });
        scheduler_.After(timeout, [done] {
          done(tl::unexpected(StoreError::kOutcomeUnknown));
        });
        return;
      case Fate::kNotTaken:
        scheduler_.After(
            delay, [done] { done(tl::unexpected(StoreError::kUnavailable)); });
        return;
    }
  }

  void Poll(const std::string& prefix, int64_t revision, TimePoint until,
            int silenced, const Done<schema::KeyValueList>& done) {
    if (silent || silenced != silenced_) {
      scheduler_.After(until + timeout - scheduler_.Now(), [done] {
        done(tl::unexpected(StoreError::kOutcomeUnknown));
      });
      return;
    }
    if (!memory_.HasHistory(revision)) {
      done(tl::unexpected(StoreError::kRevisionCompacted));
      return;
    }
    auto changes = memory_.ChangesAfter(prefix, revision);
    if (hides_changes) {
      changes.items.clear();
      changes.revision = revision;
    }
    if (!changes.items.empty() || scheduler_.Now() >= until) {
      done(changes);
      return;
    }
    scheduler_.After(std::chrono::milliseconds(20),
                     [this, prefix, revision, until, silenced, done] {
                       Poll(prefix, revision, until, silenced, done);
                     });
  }

  MemoryStore& memory_;
  VirtualScheduler& scheduler_;
  int silenced_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_FAKE_STORE_H_
