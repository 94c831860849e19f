#ifndef SESAMESADDLE_REGISTRY_LEASED_VALUE_H_
#define SESAMESADDLE_REGISTRY_LEASED_VALUE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/event_log.h"
#include "core/random.h"
#include "core/scheduler.h"
#include "registry/registration.h"
#include "registry/retry_backoff.h"
#include "store/store.h"

namespace sesamesaddle {

/**
 * One value in the store, kept under the lease of a registration, so that it
 * needs no renewals of its own and disappears together with the entry. Unlike
 * an entry it is written once, not until it succeeds: the caller has a newer
 * value by then.
 */
class LeasedValue {
 public:
  /** @param registration  must outlive this object */
  LeasedValue(Store& store, Scheduler& scheduler, RandomSource& random,
              EventLog& log, const Registration& registration, std::string key);

  /**
   * Reads the value that an earlier incarnation of this process has left;
   * retried until the store answers.
   * @param done  called with the value, or with nothing if there is none
   */
  void Recall(std::function<void(std::optional<std::string>)> done);
  /**
   * Removes the value that was recalled, so that no later incarnation recalls
   * it again.
   * @param done  called with whether the store has acknowledged that
   */
  void Discard(std::function<void(bool)> done);
  /**
   * Writes the value. Does nothing before the recall has ended, without a
   * lease, or while another write is in flight.
   * @param done  called with whether the store has acknowledged the value;
   *              not called if nothing was written
   */
  void Write(const std::string& value, std::function<void(bool)> done);
  /** Whether Write would call the store. */
  bool writable() const;
  /**
   * Whether the store may no longer have the value written last: its lease has
   * been replaced, or the store came back from a copy of its data.
   */
  bool lost() const {
    return written_lease_ != kNoLease &&
           (written_lease_ != registration_.lease() ||
            written_era_ != store_.era());
  }

 private:
  /** Expires with this object, which voids the callbacks. */
  struct CallbackGuard {};

  void OnWriteFailed(StoreError error, const std::function<void(bool)>& done);

  Store& store_;
  Scheduler& scheduler_;
  EventLog& log_;
  const Registration& registration_;
  RetryBackoff backoff_;
  std::string key_;
  bool recalled_ = false;
  bool write_in_flight_ = false;
  /** 0 if the key does not exist. */
  KeyVersion version_;
  LeaseId written_lease_;
  StoreEra written_era_;
  std::shared_ptr<CallbackGuard> callback_guard_ =
      std::make_shared<CallbackGuard>();
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_LEASED_VALUE_H_
