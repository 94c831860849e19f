#include "memory_store.h"

#include "core/text.h"

namespace sesamesaddle {
namespace {

schema::KeyValue MakeKeyValue(const std::string& key, const std::string& value,
                              int64_t version, bool deleted) {
  schema::KeyValue item;
  item.key = key;
  item.value = value;
  item.version = version;
  item.deleted = deleted;
  return item;
}

}  // namespace

tl::expected<schema::KeyValue, StoreError> MemoryStore::Read(
    const std::string& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return tl::unexpected(StoreError::kNotFound);
  return MakeKeyValue(key, it->second.value, it->second.version, false);
}

schema::KeyValueList MemoryStore::List(const std::string& prefix) const {
  schema::KeyValueList list;
  list.revision = revision_;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && HasPrefix(it->first, prefix); ++it) {
    list.items.push_back(
        MakeKeyValue(it->first, it->second.value, it->second.version, false));
  }
  return list;
}

tl::expected<KeyVersion, StoreError> MemoryStore::Create(
    const std::string& key, const std::string& value, LeaseId lease) {
  if (value.size() > kMaxValueBytes) {
    return tl::unexpected(StoreError::kTooLarge);
  }
  if (entries_.count(key) != 0) return tl::unexpected(StoreError::kExists);
  if (lease != kNoLease && leases_.count(lease) == 0) {
    return tl::unexpected(StoreError::kLeaseExpired);
  }
  return Write(key, value, lease);
}

tl::expected<KeyVersion, StoreError> MemoryStore::CompareAndSwap(
    const std::string& key, KeyVersion expected, const std::string& value,
    LeaseId lease) {
  if (value.size() > kMaxValueBytes) {
    return tl::unexpected(StoreError::kTooLarge);
  }
  if (lease != kNoLease && leases_.count(lease) == 0) {
    return tl::unexpected(StoreError::kLeaseExpired);
  }
  const auto it = entries_.find(key);
  if (it == entries_.end()) return tl::unexpected(StoreError::kNotFound);
  if (it->second.version != expected.value()) {
    return tl::unexpected(StoreError::kVersionMismatch);
  }
  return Write(key, value, lease);
}

tl::expected<KeyVersion, StoreError> MemoryStore::Remove(
    const std::string& key) {
  if (entries_.erase(key) == 0) return tl::unexpected(StoreError::kNotFound);
  history_.push_back(MakeKeyValue(key, "", ++revision_, true));
  return KeyVersion(revision_);
}

LeaseId MemoryStore::GrantLease(TimePoint now, Duration time_to_live) {
  const LeaseId lease(next_lease_id_++);
  leases_[lease] = {time_to_live, now + time_to_live};
  return lease;
}

tl::expected<LeaseId, StoreError> MemoryStore::RenewLease(TimePoint now,
                                                          LeaseId lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return tl::unexpected(StoreError::kLeaseExpired);
  it->second.expires = now + it->second.time_to_live;
  return lease;
}

void MemoryStore::Expire(TimePoint now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (now < lease->second.expires) {
      ++lease;
      continue;
    }
    const LeaseId expired = lease->first;
    lease = leases_.erase(lease);
    RemoveKeysOf(expired);
  }
}

tl::expected<LeaseId, StoreError> MemoryStore::EndLease(LeaseId lease) {
  if (leases_.erase(lease) == 0) {
    return tl::unexpected(StoreError::kLeaseExpired);
  }
  RemoveKeysOf(lease);
  return lease;
}

void MemoryStore::RemoveKeysOf(LeaseId lease) {
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key);
}

void MemoryStore::Compact() {
  history_.clear();
  compacted_revision_ = revision_;
}

void MemoryStore::Restore(const MemoryStore& copy) {
  const StoreEra next(era_.value() + 1);
  *this = copy;
  era_ = next;
}

LeaseId MemoryStore::LeaseOf(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? kNoLease : it->second.lease;
}

schema::KeyValueList MemoryStore::ChangesAfter(const std::string& prefix,
                                               int64_t revision) const {
  schema::KeyValueList list;
  list.revision = revision_;
  for (const schema::KeyValue& item : history_) {
    if (item.version > revision && HasPrefix(item.key, prefix)) {
      list.items.push_back(item);
    }
  }
  return list;
}

KeyVersion MemoryStore::Write(const std::string& key, const std::string& value,
                              LeaseId lease) {
  ++revision_;
  entries_[key] = {value, revision_, lease};
  history_.push_back(MakeKeyValue(key, value, revision_, false));
  return KeyVersion(revision_);
}

}  // namespace sesamesaddle
