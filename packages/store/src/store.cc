#include "store/store.h"

namespace sesamesaddle {

std::string_view Describe(StoreError error) {
  switch (error) {
    case StoreError::kNotFound:
      return "the key does not exist";
    case StoreError::kExists:
      return "the key exists";
    case StoreError::kVersionMismatch:
      return "another write came first";
    case StoreError::kLeaseExpired:
      return "the lease has expired";
    case StoreError::kTooLarge:
      return "the value is over a megabyte";
    case StoreError::kUnavailable:
      return "the platform does not answer";
    case StoreError::kRevisionCompacted:
      return "the changes since then are forgotten";
    case StoreError::kOutcomeUnknown:
      return "the platform's reply was lost";
  }
  return "unknown error";
}

}  // namespace sesamesaddle
