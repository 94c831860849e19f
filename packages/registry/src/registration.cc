#include "registry/registration.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {
namespace {

constexpr char kPart[] = "registry";

}  // namespace

Registration::Registration(Store& store, Scheduler& scheduler,
                           RandomSource& random, EventLog& log,
                           RegistrationTimes times, std::string key)
    : store_(store),
      scheduler_(scheduler),
      log_(log),
      times_(times),
      backoff_(random, times.first_retry, times.last_retry),
      key_(std::move(key)) {}

Registration::~Registration() = default;

void Registration::Publish(const std::string& value) {
  if (wants_ && value == wanted_) return;
  wanted_ = value;
  wants_ = true;
  Step();
}

void Registration::CheckSoon() {
  next_check_ = scheduler_.Now();
  Step();
}

void Registration::Step() {
  if (!wants_ || call_under_way_) return;
  if (lease_ == kNoLease) {
    Grant();
  } else if (!present_ || written_ != wanted_) {
    Write();
  } else if (scheduler_.Now() >= next_check_) {
    Reread();
  } else if (scheduler_.Now() >= next_renewal_) {
    Renew();
  } else {
    WaitThenStep(next_renewal_ - scheduler_.Now());
  }
}

template <typename Handler>
auto Registration::Begin(Handler handler) {
  call_under_way_ = true;
  std::weak_ptr<Life> life = life_;
  return [this, life, handler = std::move(handler)](auto result) {
    if (life.expired()) return;
    call_under_way_ = false;
    handler(std::move(result));
  };
}

void Registration::Grant() {
  store_.GrantLease(times_.lease, Begin([this](auto granted) {
                      if (!granted) {
                        OnFailure("lease", granted.error());
                        return;
                      }
                      lease_ = *granted;
                      next_renewal_ = scheduler_.Now() + times_.renewal;
                      OnSuccess();
                    }));
}

void Registration::Write() {
  const std::string value = wanted_;
  const auto done = Begin([this, value](auto written) {
    if (written) {
      present_ = true;
      written_ = value;
      version_ = *written;
      next_check_ = scheduler_.Now() + times_.check;
      LogLine(log_, EventKind::kBelief, kPart, "entry-written")
          .Add("key", key_)
          .Add("revision", version_.value())
          .Add("lease", lease_.value());
      OnSuccess();
      return;
    }
    if (written.error() == StoreError::kLeaseExpired) {
      LoseEntry("lease-expired");
      Step();
    } else if (written.error() == StoreError::kExists ||
               written.error() == StoreError::kVersionMismatch ||
               written.error() == StoreError::kNotFound) {
      Reread();
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

void Registration::Reread() {
  store_.Read(key_, Begin([this](auto item) {
                next_check_ = scheduler_.Now() + times_.check;
                if (item) {
                  // Another incarnation, or a write of ours whose reply was
                  // lost.
                  const bool ours =
                      present_ && version_ == KeyVersion(item->version);
                  version_ = KeyVersion(item->version);
                  if (!ours) present_ = false;
                  OnSuccess();
                } else if (item.error() == StoreError::kNotFound) {
                  if (present_) LoseEntry("entry-missing");
                  version_ = KeyVersion();
                  present_ = false;
                  OnSuccess();
                } else {
                  next_check_ = scheduler_.Now();
                  OnFailure("read", item.error());
                }
              }));
}

void Registration::Renew() {
  store_.RenewLease(lease_, Begin([this](auto renewed) {
                      if (renewed) {
                        next_renewal_ = scheduler_.Now() + times_.renewal;
                        OnSuccess();
                      } else if (renewed.error() == StoreError::kLeaseExpired) {
                        LoseEntry("lease-expired");
                        Step();
                      } else {
                        OnFailure("renewal", renewed.error());
                      }
                    }));
}

void Registration::LoseEntry(const char* reason) {
  LogLine(log_, EventKind::kBelief, kPart, "entry-lost")
      .Add("key", key_)
      .Add("reason", reason)
      .Add("revision", version_.value())
      .Add("lease", lease_.value());
  present_ = false;
  lease_ = kNoLease;
  version_ = KeyVersion();
}

void Registration::OnFailure(const char* call, StoreError error) {
  if (!store_failed_) {
    LogLine(log_, EventKind::kDependency, kPart, "store-lost")
        .Add("call", call)
        .Add("reason", Describe(error));
  }
  store_failed_ = true;
  WaitThenStep(backoff_.Next());
}

void Registration::OnSuccess() {
  if (store_failed_) {
    store_failed_ = false;
    // Entries may have been taken away meanwhile without a word.
    next_check_ = scheduler_.Now();
    LogLine(log_, EventKind::kDependency, kPart, "store-regained")
        .Add("key", key_);
  }
  backoff_.Reset();
  Step();
}

void Registration::WaitThenStep(Duration delay) {
  const int64_t generation = ++timer_generation_;
  std::weak_ptr<Life> life = life_;
  scheduler_.After(std::max(delay, Duration::zero()), [this, life, generation] {
    if (life.expired() || generation != timer_generation_) {
      return;
    }
    Step();
  });
}

void Registration::Withdraw(std::function<void()> done) {
  wants_ = false;
  // Calls under way belong to the entry that ends.
  life_ = std::make_shared<Life>();
  call_under_way_ = false;
  present_ = false;
  version_ = KeyVersion();
  const LeaseId ending = std::exchange(lease_, kNoLease);
  if (ending == kNoLease) {
    done();
    return;
  }
  store_.EndLease(ending, [done = std::move(done)](auto) { done(); });
}

}  // namespace sesamesaddle
