#ifndef SESAMESADDLE_STORE_STORE_H_
#define SESAMESADDLE_STORE_STORE_H_

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "platform_types.h"

namespace sesamesaddle {

/** Why a call to the platform's key-value service did not succeed. */
enum class StoreError {
  kNotFound,
  kExists,           // Create: the key is there already.
  kVersionMismatch,  // Compare-and-swap: another write came first.
  kLeaseExpired,
  kTooLarge,           // The value is over the service's limit of a megabyte.
  kUnavailable,        // The service did not take the call.
  kRevisionCompacted,  // Watch: changes since that revision are forgotten.
  kOutcomeUnknown,     // Sent, no answer: a write may have taken effect.
};

/** @return a sentence part such as "the key exists". */
std::string_view Describe(StoreError error);

using LeaseId = StrongId<struct LeaseIdTag>;
/** Revision of a key at its last write; 0 for a key that does not exist. */
using KeyVersion = StrongId<struct KeyVersionTag>;

constexpr LeaseId kNoLease{0};
/** Largest value the service takes. */
constexpr size_t kMaxValueBytes = 1 << 20;

/**
 * The platform's key-value service. Calls do not block; `done` is called once
 * on the event loop's thread.
 */
class Store {
 public:
  template <typename T>
  using Done = std::function<void(tl::expected<T, StoreError> result)>;

  virtual ~Store() = default;

  virtual void Read(const std::string& key, Done<schema::KeyValue> done) = 0;
  virtual void List(const std::string& prefix,
                    Done<schema::KeyValueList> done) = 0;
  /** Writes a key that must not exist. */
  virtual void Create(const std::string& key, const std::string& value,
                      LeaseId lease, Done<KeyVersion> done) = 0;
  /** Writes a key whose version must be `expected`. */
  virtual void CompareAndSwap(const std::string& key, KeyVersion expected,
                              const std::string& value, LeaseId lease,
                              Done<KeyVersion> done) = 0;
  virtual void Remove(const std::string& key, Done<KeyVersion> done) = 0;
  /** Grants a lease; keys created under it go when it lapses. */
  virtual void GrantLease(Duration time_to_live, Done<LeaseId> done) = 0;
  virtual void RenewLease(LeaseId lease, Done<LeaseId> done) = 0;
  /** Ends a lease; its keys go at once. */
  virtual void EndLease(LeaseId lease, Done<LeaseId> done) = 0;
  /**
   * Waits for writes below `prefix` after `revision` of the store.
   * @param wait  the service answers with an empty list after this time.
   */
  virtual void Watch(const std::string& prefix, int64_t revision, Duration wait,
                     Done<schema::KeyValueList> done) = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STORE_STORE_H_
