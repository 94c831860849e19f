#ifndef SESAMESADDLE_STORE_METERED_STORE_H_
#define SESAMESADDLE_STORE_METERED_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "store/store.h"

namespace sesamesaddle {

/** Kinds of calls to the store, as counted in the metrics. */
enum class StoreCall {
  kRead,
  kList,
  kWrite,
  kRemove,
  kGrantLease,
  kRenewLease,
  kEndLease,
  kWatch,
};

/** Returns the name of the call in metrics, such as "watch". */
std::string_view NameOf(StoreCall call);

/** Number of calls of one kind since the start of the process. */
struct StoreCallCounts {
  int64_t made = 0;
  /** The store was unavailable, or no reply was received. */
  int64_t failed = 0;
};

/** Forwards calls to another store and counts them by kind and outcome. */
class MeteredStore : public Store {
 public:
  /** @param inner  must outlive this store */
  explicit MeteredStore(Store& inner) : inner_(inner) {}

  void Read(const std::string& key, Done<schema::KeyValue> done) override;
  void List(const std::string& prefix,
            Done<schema::KeyValueList> done) override;
  void Create(const std::string& key, const std::string& value, LeaseId lease,
              Done<KeyVersion> done) override;
  void CompareAndSwap(const std::string& key, KeyVersion expected,
                      const std::string& value, LeaseId lease,
                      Done<KeyVersion> done) override;
  void Remove(const std::string& key, Done<KeyVersion> done) override;
  void GrantLease(Duration time_to_live, Done<LeaseId> done) override;
  void RenewLease(LeaseId lease, Done<LeaseId> done) override;
  void EndLease(LeaseId lease, Done<LeaseId> done) override;
  void Watch(const std::string& prefix, int64_t revision, Duration wait,
             Done<schema::KeyValueList> done) override;

  StoreEra era() const override { return inner_.era(); }

  const std::map<StoreCall, StoreCallCounts>& counts() const { return counts_; }

 private:
  /** Counts a call; returns a callback that counts failures and runs `done`. */
  template <typename T>
  Done<T> Count(StoreCall call, Done<T> done);

  Store& inner_;
  std::map<StoreCall, StoreCallCounts> counts_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STORE_METERED_STORE_H_
