#ifndef SESAMESADDLE_STANDINS_PLATFORM_MEMORY_STORE_H_
#define SESAMESADDLE_STANDINS_PLATFORM_MEMORY_STORE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "store/store.h"

namespace sesamesaddle {

/**
 * The platform's key-value service in memory: versions, leases and the history
 * that watches need. Synchronous; the stand-in and the tests put calls around.
 */
class MemoryStore {
 public:
  tl::expected<schema::KeyValue, StoreError> Read(const std::string& key) const;
  schema::KeyValueList List(const std::string& prefix) const;
  tl::expected<KeyVersion, StoreError> Create(const std::string& key,
                                              const std::string& value,
                                              LeaseId lease);
  tl::expected<KeyVersion, StoreError> CompareAndSwap(const std::string& key,
                                                      KeyVersion expected,
                                                      const std::string& value,
                                                      LeaseId lease = kNoLease);
  tl::expected<KeyVersion, StoreError> Remove(const std::string& key);
  LeaseId GrantLease(TimePoint now, Duration time_to_live);
  tl::expected<LeaseId, StoreError> RenewLease(TimePoint now, LeaseId lease);
  tl::expected<LeaseId, StoreError> EndLease(LeaseId lease);
  /** Forgets the changes so far: watches from before fail. */
  void Compact();
  /** Removes lapsed leases and their keys. */
  void Expire(TimePoint now);
  /** Writes below `prefix` after `revision`, oldest first. */
  schema::KeyValueList ChangesAfter(const std::string& prefix,
                                    int64_t revision) const;
  /** Whether the changes after that revision are all still known. */
  bool HasHistory(int64_t revision) const { return revision >= compacted_; }
  LeaseId LeaseOf(const std::string& key) const;
  bool HasLease(LeaseId lease) const { return leases_.count(lease) != 0; }
  int64_t revision() const { return revision_; }

 private:
  struct Entry {
    std::string value;
    int64_t version = 0;
    LeaseId lease;
  };
  struct Lease {
    Duration time_to_live;
    TimePoint expires;
  };

  void RemoveKeysOf(LeaseId lease);
  KeyVersion Write(const std::string& key, const std::string& value,
                   LeaseId lease);

  std::map<std::string, Entry> entries_;
  std::map<LeaseId, Lease> leases_;
  std::vector<schema::KeyValue> history_;
  int64_t revision_ = 0;
  int64_t compacted_ = 0;
  int64_t next_lease_ = 1;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STANDINS_PLATFORM_MEMORY_STORE_H_
