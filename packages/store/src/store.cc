#include "store/store.h"

namespace sesamesaddle {

std::string_view Describe(StoreError error) {
  switch (error) {
    case StoreError::kNotFound:
      return "the key does not exist";
    case StoreError::kExists:
      return "the key exists";
    case StoreError::kVersionMismatch:
      return "the key has a newer version";
    case StoreError::kLeaseExpired:
      return "the lease has expired";
    case StoreError::kTooLarge:
      return "the value exceeds 1 MiB";
    case StoreError::kUnavailable:
      return "the key-value service is unavailable";
    case StoreError::kRevisionCompacted:
      return "the revision has been compacted";
    case StoreError::kOutcomeUnknown:
      return "no reply was received; the call may have been applied";
  }
  return "unknown error";
}

}  // namespace sesamesaddle
