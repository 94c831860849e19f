#include "registry/leased_value.h"

#include <utility>

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "registry";
// The value is of use only for the first moments after a start.
constexpr Duration kInitialRecallBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxRecallBackoff = std::chrono::seconds(1);

}  // namespace

LeasedValue::LeasedValue(Store& store, Scheduler& scheduler,
                         RandomSource& random, EventLog& log,
                         const Registration& registration, std::string key)
    : store_(store),
      scheduler_(scheduler),
      log_(log),
      registration_(registration),
      backoff_(random, kInitialRecallBackoff, kMaxRecallBackoff),
      key_(std::move(key)) {}

void LeasedValue::Recall(std::function<void(std::optional<std::string>)> done) {
  std::weak_ptr<CallbackGuard> guard = callback_guard_;
  store_.Read(key_, [this, guard, done = std::move(done)](auto item) {
    if (guard.expired()) return;
    if (!item && item.error() != StoreError::kNotFound) {
      LogLine(log_, EventKind::kDependency, kLogComponent, "recall-failed")
          .Add("key", key_)
          .Add("reason", Describe(item.error()));
      scheduler_.After(backoff_.Next(), [this, guard, done] {
        if (!guard.expired()) Recall(done);
      });
      return;
    }
    recalled_ = true;
    if (item) version_ = KeyVersion(item->version);
    done(item ? std::optional<std::string>(std::move(item->value))
              : std::nullopt);
  });
}

void LeasedValue::Discard(std::function<void(bool)> done) {
  write_in_flight_ = true;
  std::weak_ptr<CallbackGuard> guard = callback_guard_;
  store_.Remove(key_, [this, guard, done = std::move(done)](auto removed) {
    if (guard.expired()) return;
    write_in_flight_ = false;
    if (removed) {
      version_ = KeyVersion();
      done(true);
    } else {
      OnWriteFailed(removed.error(), done);
    }
  });
}

bool LeasedValue::writable() const {
  return recalled_ && !write_in_flight_ && registration_.published() &&
         !registration_.store_failed();
}

void LeasedValue::Write(const std::string& value,
                        std::function<void(bool)> done) {
  if (!writable()) return;
  write_in_flight_ = true;
  std::weak_ptr<CallbackGuard> guard = callback_guard_;
  const LeaseId lease = registration_.lease();
  const auto written = [this, guard, lease,
                        done = std::move(done)](auto version) {
    if (guard.expired()) return;
    write_in_flight_ = false;
    if (!version) {
      OnWriteFailed(version.error(), done);
      return;
    }
    version_ = *version;
    written_lease_ = lease;
    written_era_ = store_.era();
    done(true);
  };
  if (version_ == KeyVersion()) {
    store_.Create(key_, value, lease, written);
  } else {
    store_.CompareAndSwap(key_, version_, value, lease, written);
  }
}

void LeasedValue::OnWriteFailed(StoreError error,
                                const std::function<void(bool)>& done) {
  LogLine(log_, EventKind::kDependency, kLogComponent, "value-not-written")
      .Add("key", key_)
      .Add("reason", Describe(error));
  done(false);
  if (error == StoreError::kUnavailable || error == StoreError::kTooLarge) {
    return;
  }
  // The key was removed with an earlier lease, or a write without a reply has
  // changed its version.
  write_in_flight_ = true;
  std::weak_ptr<CallbackGuard> guard = callback_guard_;
  store_.Read(key_, [this, guard](auto item) {
    if (guard.expired()) return;
    write_in_flight_ = false;
    if (item) {
      version_ = KeyVersion(item->version);
    } else if (item.error() == StoreError::kNotFound) {
      version_ = KeyVersion();
    }
  });
}

}  // namespace sesamesaddle
