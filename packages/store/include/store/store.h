#ifndef SESAMESADDLE_STORE_STORE_H_
#define SESAMESADDLE_STORE_STORE_H_

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "core/store_revision.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "platform_types.h"

namespace sesamesaddle {

/** Errors of calls to the platform's key-value service. */
enum class StoreError {
  kNotFound,
  kExists,           // Create: the key already exists.
  kVersionMismatch,  // Compare-and-swap: the key has another version.
  kLeaseExpired,
  kTooLarge,           // The value exceeds the service's limit of 1 MiB.
  kUnavailable,        // The service did not accept the call.
  kRevisionCompacted,  // Watch: changes since that revision are no longer kept.
  kOutcomeUnknown,     // Sent without a reply: a write may have been applied.
};

/** Returns a lower-case description such as "the key exists". */
std::string_view Describe(StoreError error);

using LeaseId = StrongId<struct LeaseIdTag>;
/** Revision of a key at its last write; 0 for a key that does not exist. */
using KeyVersion = StrongId<struct KeyVersionTag>;

constexpr LeaseId kNoLease{0};
/** Largest value that the service accepts. */
constexpr size_t kMaxValueBytes = 1 << 20;

/**
 * Client of the platform's key-value service. Calls do not block; `done` is
 * called once, on the thread of the event loop.
 */
class Store {
 public:
  template <typename T>
  using Done = std::function<void(tl::expected<T, StoreError> result)>;

  virtual ~Store() = default;

  virtual void Read(const std::string& key, Done<schema::KeyValue> done) = 0;
  virtual void List(const std::string& prefix,
                    Done<schema::KeyValueList> done) = 0;
  /** Writes a new key; kExists if it already exists. */
  virtual void Create(const std::string& key, const std::string& value,
                      LeaseId lease, Done<KeyVersion> done) = 0;
  /**
   * Writes a key if its version is `expected`; otherwise kVersionMismatch, or
   * kNotFound if it does not exist.
   */
  virtual void CompareAndSwap(const std::string& key, KeyVersion expected,
                              const std::string& value, LeaseId lease,
                              Done<KeyVersion> done) = 0;
  virtual void Remove(const std::string& key, Done<KeyVersion> done) = 0;
  /** Grants a lease; keys created under it are deleted when it expires. */
  virtual void GrantLease(Duration time_to_live, Done<LeaseId> done) = 0;
  virtual void RenewLease(LeaseId lease, Done<LeaseId> done) = 0;
  /** Ends a lease and deletes its keys immediately. */
  virtual void EndLease(LeaseId lease, Done<LeaseId> done) = 0;
  /**
   * Waits for changes to keys that start with `prefix` after `revision` of the
   * store.
   * @param wait  time after which the service answers with an empty list
   */
  virtual void Watch(const std::string& prefix, int64_t revision, Duration wait,
                     Done<schema::KeyValueList> done) = 0;
  /**
   * Returns the era of the latest answer, which all answers since then are of:
   * a call whose answer is of an earlier era fails with kOutcomeUnknown.
   */
  virtual StoreEra era() const = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STORE_STORE_H_
