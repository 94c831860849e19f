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
 * In-memory, synchronous model of the platform's key-value service: versions,
 * leases and the change history for watches. The stand-in and the tests wrap
 * it in asynchronous calls.
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
  /** Discards the change history; watches from older revisions then fail. */
  void Compact();
  /** Removes the leases that have expired by `now`, and their keys. */
  void Expire(TimePoint now);
  /** Returns writes and removals below `prefix` after `revision`, in order. */
  schema::KeyValueList ChangesAfter(const std::string& prefix,
                                    int64_t revision) const;
  /**
   * Returns whether the history after `revision` is known: it has not been
   * compacted, and the revision has been given out in this era.
   */
  bool HasHistory(int64_t revision) const {
    return revision >= compacted_revision_ && revision <= revision_;
  }
  /**
   * Replaces the data by an earlier copy of it and starts the next era: later
   * writes and leases are lost, and their revisions are given out again.
   */
  void Restore(const MemoryStore& copy);
  StoreEra era() const { return era_; }
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
  int64_t compacted_revision_ = 0;
  int64_t next_lease_id_ = 1;
  StoreEra era_{1};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STANDINS_PLATFORM_MEMORY_STORE_H_
