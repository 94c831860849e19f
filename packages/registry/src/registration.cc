#include "registry/registration.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "registry";

}  // namespace

Registration::Registration(Store& store, Scheduler& scheduler,
                           RandomSource& random, EventLog& log,
                           RegistrationOptions options, std::string key)
    : store_(store),
      scheduler_(scheduler),
      log_(log),
      options_(options),
      backoff_(random, options.initial_backoff, options.max_backoff),
      key_(std::move(key)) {}

Registration::~Registration() = default;

void Registration::Publish(const std::string& value) {
  if (publishing_ && value == desired_value_) return;
  desired_value_ = value;
  publishing_ = true;
  Step();
}

void Registration::VerifyNow(StoreRevision missing_at) {
  if (!publishing_ || !entry_present_) return;
  if (missing_at <= StoreRevision(lease_era_, version_.value())) return;
  const TimePoint earliest =
      std::max(scheduler_.Now(),
               last_verification_ + options_.min_verification_interval);
  if (earliest >= next_verification_) return;
  next_verification_ = earliest;
  LogLine(log_, EventKind::kStateChange, kLogComponent,
          "entry-reported-missing")
      .Add("key", key_)
      .Add("era", missing_at.era.value())
      .Add("revision", missing_at.number)
      .Add("written", version_.value());
  // While the store fails, the next attempt follows its backoff.
  if (!store_failed_) Step();
}

void Registration::VerifyAtSilence() {
  if (!publishing_ || !entry_present_) return;
  const TimePoint due = seen_at_ + options_.silent_verification_interval;
  if (scheduler_.Now() < due || due >= next_verification_) return;
  next_verification_ = due;
  if (!store_failed_) Step();
}

void Registration::ReadRevision(
    std::function<void(std::optional<KeyVersion>)> done) {
  std::weak_ptr<CallbackGuard> guard = callback_guard_;
  store_.Read(key_, [guard, done = std::move(done)](auto item) {
    if (guard.expired()) return;
    done(item ? std::make_optional<KeyVersion>(item->version) : std::nullopt);
  });
}

void Registration::Step() {
  if (!publishing_ || call_in_flight_) return;
  if (lease_ == kNoLease) {
    AcquireLease();
  } else if (!entry_present_ || acknowledged_value_ != desired_value_) {
    Write();
  } else if (scheduler_.Now() >= next_verification_) {
    ReadBack();
  } else if (scheduler_.Now() >= next_renewal_) {
    Renew();
  } else {
    ScheduleStep(std::min(next_renewal_, next_verification_) -
                 scheduler_.Now());
  }
}

template <typename Handler>
auto Registration::TrackCall(Handler handler) {
  call_in_flight_ = true;
  std::weak_ptr<CallbackGuard> guard = callback_guard_;
  return [this, guard, handler = std::move(handler)](auto result) {
    if (guard.expired()) return;
    call_in_flight_ = false;
    EnterEra();
    handler(std::move(result));
  };
}

void Registration::EnterEra() {
  const StoreEra era = store_.era();
  if (!(era_ < era)) return;
  if (entry_present_) {
    LogLine(log_, EventKind::kDependency, kLogComponent, "era-changed")
        .Add("before", era_.value())
        .Add("era", era.value())
        .Add("key", key_)
        .Add("revision", version_.value())
        .Add("lease", lease_.value());
  }
  era_ = era;
  next_verification_ = scheduler_.Now();
}

void Registration::AcquireLease() {
  store_.GrantLease(options_.lease_ttl, TrackCall([this](auto granted) {
                      if (!granted) {
                        OnFailure("lease", granted.error());
                        return;
                      }
                      lease_ = *granted;
                      lease_era_ = era_;
                      next_renewal_ =
                          scheduler_.Now() + options_.renewal_interval;
                      OnSuccess();
                    }));
}

void Registration::Write() {
  const std::string value = desired_value_;
  const auto done = TrackCall([this, value](auto written) {
    if (written) {
      version_ = *written;
      if (lease_era_ != era_) {
        // The entry may hang on a lease of another process.
        lease_ = kNoLease;
        OnSuccess();
        return;
      }
      entry_present_ = true;
      seen_at_ = scheduler_.Now();
      acknowledged_value_ = value;
      next_verification_ = scheduler_.Now() + options_.verification_interval;
      LogLine(log_, EventKind::kStateChange, kLogComponent, "entry-written")
          .Add("key", key_)
          .Add("revision", version_.value())
          .Add("lease", lease_.value());
      OnSuccess();
      return;
    }
    if (written.error() == StoreError::kLeaseExpired) {
      MarkEntryLost("lease-expired");
      Step();
    } else if (written.error() == StoreError::kExists ||
               written.error() == StoreError::kVersionMismatch ||
               written.error() == StoreError::kNotFound) {
      ReadBack();
    } else {
      OnFailure("write", written.error());
    }
  });
  if (version_ == KeyVersion()) {
    store_.Create(key_, value, lease_, done);
  } else {
    store_.CompareAndSwap(key_, version_, value, lease_, done);
  }
}

void Registration::ReadBack() {
  last_verification_ = scheduler_.Now();
  store_.Read(key_, TrackCall([this](auto item) {
                next_verification_ =
                    scheduler_.Now() + options_.verification_interval;
                if (item) {
                  OnReadBack(*item);
                  OnSuccess();
                } else if (item.error() == StoreError::kNotFound) {
                  if (entry_present_) MarkEntryLost("entry-missing");
                  version_ = KeyVersion();
                  entry_present_ = false;
                  OnSuccess();
                } else {
                  next_verification_ = scheduler_.Now();
                  OnFailure("read", item.error());
                }
              }));
}

void Registration::OnReadBack(const schema::KeyValue& item) {
  const KeyVersion version(item.version);
  const bool ours = entry_present_ && version_ == version;
  if (ours) {
    seen_at_ = scheduler_.Now();
    // The copy contains the write, and so the lease, which was granted before.
    lease_era_ = era_;
    return;
  }
  if (lease_era_ != era_) {
    if (entry_present_) MarkEntryLost("entry-restored");
    lease_ = kNoLease;
  }
  entry_present_ = false;
  version_ = version;
}

void Registration::Renew() {
  store_.RenewLease(lease_, TrackCall([this](auto renewed) {
                      if (renewed) {
                        next_renewal_ =
                            scheduler_.Now() + options_.renewal_interval;
                        OnSuccess();
                      } else if (renewed.error() == StoreError::kLeaseExpired) {
                        MarkEntryLost("lease-expired");
                        Step();
                      } else {
                        OnFailure("renewal", renewed.error());
                      }
                    }));
}

void Registration::MarkEntryLost(const char* reason) {
  LogLine(log_, EventKind::kStateChange, kLogComponent, "entry-lost")
      .Add("key", key_)
      .Add("reason", reason)
      .Add("revision", version_.value())
      .Add("lease", lease_.value());
  entry_present_ = false;
  lease_ = kNoLease;
  version_ = KeyVersion();
}

void Registration::OnFailure(const char* call, StoreError error) {
  if (!store_failed_) {
    LogLine(log_, EventKind::kDependency, kLogComponent, "store-lost")
        .Add("call", call)
        .Add("reason", Describe(error));
  }
  store_failed_ = true;
  ScheduleStep(backoff_.Next());
}

void Registration::OnSuccess() {
  if (store_failed_) {
    store_failed_ = false;
    // The entry may have been deleted during the outage.
    next_verification_ = scheduler_.Now();
    LogLine(log_, EventKind::kDependency, kLogComponent, "store-regained")
        .Add("key", key_);
  }
  backoff_.Reset();
  Step();
}

void Registration::ScheduleStep(Duration delay) {
  const int64_t generation = ++timer_generation_;
  std::weak_ptr<CallbackGuard> guard = callback_guard_;
  scheduler_.After(std::max(delay, Duration::zero()),
                   [this, guard, generation] {
                     if (guard.expired() || generation != timer_generation_) {
                       return;
                     }
                     Step();
                   });
}

void Registration::Withdraw(std::function<void()> done) {
  publishing_ = false;
  // Drops the results of calls in flight, which concern the removed entry.
  callback_guard_ = std::make_shared<CallbackGuard>();
  call_in_flight_ = false;
  entry_present_ = false;
  version_ = KeyVersion();
  const LeaseId ending = std::exchange(lease_, kNoLease);
  if (ending == kNoLease) {
    done();
    return;
  }
  store_.EndLease(ending, [done = std::move(done)](auto) { done(); });
}

}  // namespace sesamesaddle
