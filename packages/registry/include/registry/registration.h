#ifndef SESAMESADDLE_REGISTRY_REGISTRATION_H_
#define SESAMESADDLE_REGISTRY_REGISTRATION_H_

#include <functional>
#include <memory>
#include <string>

#include "core/event_log.h"
#include "core/random.h"
#include "core/scheduler.h"
#include "registry/retry_backoff.h"
#include "store/store.h"

namespace sesamesaddle {

/** Times of a registration. */
struct RegistrationTimes {
  Duration lease = std::chrono::seconds(6);
  Duration renewal = std::chrono::seconds(2);
  /** The key itself is read again this often: it may go without its lease. */
  Duration check = std::chrono::seconds(30);
  /** Waits between tries while the store fails, doubled up to the second. */
  Duration first_retry = std::chrono::milliseconds(250);
  Duration last_retry = std::chrono::seconds(1);
};

/**
 * Keeps one entry of the store's directory in being, under a lease, for as long
 * as the process lives. Every write has a condition, so that a late one cannot
 * undo a newer one.
 */
class Registration {
 public:
  Registration(Store& store, Scheduler& scheduler, RandomSource& random,
               EventLog& log, RegistrationTimes times, std::string key);
  ~Registration();
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

  /** Wants the entry to hold this value from now on. */
  void Publish(const std::string& value);
  /**
   * Ends the entry, until it is published again.
   * @param done  called when the store has answered, or has failed to
   */
  void Withdraw(std::function<void()> done);
  /** The entry is said to be missing: look at once. */
  void CheckSoon();
  /** Whether the store has acknowledged the present value. */
  bool published() const { return present_ && written_ == wanted_; }

 private:
  /** Outlives the registration in callbacks of calls under way. */
  struct Life {};

  void Step();
  /** Notes a call under way. @return what hands its result to `handler` */
  template <typename Handler>
  auto Begin(Handler handler);
  void Grant();
  void Write();
  void Reread();
  void Renew();
  void WaitThenStep(Duration delay);
  void OnFailure(const char* call, StoreError error);
  void OnSuccess();
  void LoseEntry(const char* reason);

  Store& store_;
  Scheduler& scheduler_;
  EventLog& log_;
  RegistrationTimes times_;
  RetryBackoff backoff_;
  std::string key_;
  std::string wanted_;
  std::string written_;
  bool wants_ = false;
  bool present_ = false;
  bool call_under_way_ = false;
  bool store_failed_ = false;
  LeaseId lease_;
  KeyVersion version_;
  TimePoint next_renewal_{};
  TimePoint next_check_{};
  int64_t timer_generation_ = 0;
  std::shared_ptr<Life> life_ = std::make_shared<Life>();
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_REGISTRATION_H_
