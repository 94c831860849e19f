#include "store/metered_store.h"

#include <utility>

namespace sesamesaddle {

std::string_view NameOf(StoreCall call) {
  switch (call) {
    case StoreCall::kRead:
      return "read";
    case StoreCall::kList:
      return "list";
    case StoreCall::kWrite:
      return "write";
    case StoreCall::kRemove:
      return "remove";
    case StoreCall::kGrantLease:
      return "grant_lease";
    case StoreCall::kRenewLease:
      return "renew_lease";
    case StoreCall::kEndLease:
      return "end_lease";
    case StoreCall::kWatch:
      return "watch";
  }
  return "unknown";
}

template <typename T>
Store::Done<T> MeteredStore::Count(StoreCall call, Done<T> done) {
  ++counts_[call].made;
  return [this, call, done = std::move(done)](auto result) {
    // Other errors are replies of the store.
    const bool failed =
        !result && (result.error() == StoreError::kUnavailable ||
                    result.error() == StoreError::kOutcomeUnknown);
    if (failed) ++counts_[call].failed;
    done(std::move(result));
  };
}

void MeteredStore::Read(const std::string& key, Done<schema::KeyValue> done) {
  inner_.Read(key, Count(StoreCall::kRead, std::move(done)));
}

void MeteredStore::List(const std::string& prefix,
                        Done<schema::KeyValueList> done) {
  inner_.List(prefix, Count(StoreCall::kList, std::move(done)));
}

void MeteredStore::Create(const std::string& key, const std::string& value,
                          LeaseId lease, Done<KeyVersion> done) {
  inner_.Create(key, value, lease, Count(StoreCall::kWrite, std::move(done)));
}

void MeteredStore::CompareAndSwap(const std::string& key, KeyVersion expected,
                                  const std::string& value, LeaseId lease,
                                  Done<KeyVersion> done) {
  inner_.CompareAndSwap(key, expected, value, lease,
                        Count(StoreCall::kWrite, std::move(done)));
}

void MeteredStore::Remove(const std::string& key, Done<KeyVersion> done) {
  inner_.Remove(key, Count(StoreCall::kRemove, std::move(done)));
}

void MeteredStore::GrantLease(Duration time_to_live, Done<LeaseId> done) {
  inner_.GrantLease(time_to_live,
                    Count(StoreCall::kGrantLease, std::move(done)));
}

void MeteredStore::RenewLease(LeaseId lease, Done<LeaseId> done) {
  inner_.RenewLease(lease, Count(StoreCall::kRenewLease, std::move(done)));
}

void MeteredStore::EndLease(LeaseId lease, Done<LeaseId> done) {
  inner_.EndLease(lease, Count(StoreCall::kEndLease, std::move(done)));
}

void MeteredStore::Watch(const std::string& prefix, int64_t revision,
                         Duration wait, Done<schema::KeyValueList> done) {
  inner_.Watch(prefix, revision, wait,
               Count(StoreCall::kWatch, std::move(done)));
}

}  // namespace sesamesaddle
