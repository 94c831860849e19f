#ifndef SESAMESADDLE_REGISTRY_REGISTRATION_H_
#define SESAMESADDLE_REGISTRY_REGISTRATION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/event_log.h"
#include "core/random.h"
#include "core/scheduler.h"
#include "core/store_revision.h"
#include "registry/retry_backoff.h"
#include "store/store.h"

namespace sesamesaddle {

/** Intervals and timeouts of a registration. */
struct RegistrationOptions {
  Duration lease_ttl = std::chrono::seconds(6);
  Duration renewal_interval = std::chrono::seconds(2);
  /** Interval of reading the key back; it may be lost before its lease. */
  Duration verification_interval = std::chrono::seconds(30);
  /**
   * The same while nobody may know of this process but by its entry; see
   * VerifyAtSilence.
   */
  Duration silent_verification_interval = std::chrono::seconds(4);
  /** Minimum time between two readings because the key is reported missing. */
  Duration min_verification_interval = std::chrono::seconds(1);
  /** Backoff while the store fails: doubled from the initial to the maximum. */
  Duration initial_backoff = std::chrono::milliseconds(250);
  Duration max_backoff = std::chrono::seconds(1);
};

/**
 * Keeps one entry of the store's directory registered under a lease while the
 * process runs. Every write is conditional, so that a delayed one cannot
 * overwrite a newer one.
 */
class Registration {
 public:
  Registration(Store& store, Scheduler& scheduler, RandomSource& random,
               EventLog& log, RegistrationOptions options, std::string key);
  ~Registration();
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

  /** Sets the value of the entry and writes it, again whenever it is lost. */
  void Publish(const std::string& value);
  /**
   * Removes the entry by ending its lease, until it is published again.
   * @param done  called when the call to the store has succeeded or failed, at
   *              once if there is no lease
   */
  void Withdraw(std::function<void()> done);
  /**
   * Reads the entry back as soon as min_verification_interval allows it, for
   * when it is reported missing. Does nothing if the entry is not published or
   * was written later.
   * @param missing_at  a revision at which the store did not list the entry
   */
  void VerifyNow(StoreRevision missing_at);
  /**
   * Reads the entry back if that was not done within
   * silent_verification_interval. To be called while no other process has sent
   * anything for a while: if the store has lost the entry, no other process may
   * know of this one, so that none reports it missing.
   */
  void VerifyAtSilence();
  /** Returns whether the store has acknowledged the current value. */
  bool published() const {
    return entry_present_ && acknowledged_value_ == desired_value_;
  }
  /**
   * Reads the revision of the stored entry, which may be of another
   * incarnation.
   * @param done  called with nothing if there is no entry or the call failed
   */
  void ReadRevision(std::function<void(std::optional<KeyVersion>)> done);
  /** Returns the revision of the entry as it was written last. */
  KeyVersion revision() const { return version_; }
  /** Returns the lease of the entry; kNoLease if there is none. */
  LeaseId lease() const { return lease_; }
  /** Returns whether the last call to the store failed. */
  bool store_failed() const { return store_failed_; }

 private:
  /**
   * Callbacks hold a weak reference to it and do nothing once it has expired,
   * after a withdrawal or the destruction of the registration.
   */
  struct CallbackGuard {};

  /** Starts the next call that is due, unless one is in flight. */
  void Step();
  /** Marks a call as in flight; returns a callback that runs `handler`. */
  template <typename Handler>
  auto TrackCall(Handler handler);
  void AcquireLease();
  void Write();
  void ReadBack();
  void Renew();
  void ScheduleStep(Duration delay);
  void OnFailure(const char* call, StoreError error);
  void OnSuccess();
  void MarkEntryLost(const char* reason);
  /** Called with each answer; verifies the entry if the era has changed. */
  void EnterEra();
  /**
   * Takes the stored entry, which may be of another incarnation, of a write
   * without a reply, or restored from a copy of the store.
   */
  void OnReadBack(const schema::KeyValue& item);

  Store& store_;
  Scheduler& scheduler_;
  EventLog& log_;
  RegistrationOptions options_;
  RetryBackoff backoff_;
  std::string key_;
  std::string desired_value_;
  std::string acknowledged_value_;
  bool publishing_ = false;
  bool entry_present_ = false;
  bool call_in_flight_ = false;
  bool store_failed_ = false;
  LeaseId lease_;
  /**
   * Era in which the lease is known to belong to this process; the store may
   * give its id to another process in a later era.
   */
  StoreEra lease_era_;
  KeyVersion version_;
  StoreEra era_;
  TimePoint next_renewal_{};
  TimePoint next_verification_{};
  /** When the entry was last read back. */
  TimePoint last_verification_{};
  /** When the store last acknowledged or returned the entry. */
  TimePoint seen_at_{};
  /** Incremented by each new timer, which voids the earlier ones. */
  int64_t timer_generation_ = 0;
  std::shared_ptr<CallbackGuard> callback_guard_ =
      std::make_shared<CallbackGuard>();
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_REGISTRATION_H_
