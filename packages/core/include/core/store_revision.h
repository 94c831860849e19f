#ifndef SESAMESADDLE_CORE_STORE_REVISION_H_
#define SESAMESADDLE_CORE_STORE_REVISION_H_

#include <cstdint>

#include "core/strong_id.h"

namespace sesamesaddle {

/**
 * Number of times that the platform's store has come back from a copy of its
 * data; 0 if unknown. The store then has lost what it acknowledged after the
 * copy, and gives out the later revisions again.
 */
using StoreEra = StrongId<struct StoreEraTag>;

/** A position in the history of the store. */
struct StoreRevision {
  constexpr StoreRevision() = default;
  constexpr explicit StoreRevision(int64_t number) : number(number) {}
  constexpr StoreRevision(StoreEra era, int64_t number)
      : era(era), number(number) {}

  StoreEra era;
  /** Counts the changes; only comparable within one era. */
  int64_t number = 0;

  friend constexpr bool operator==(StoreRevision a, StoreRevision b) {
    return a.era == b.era && a.number == b.number;
  }
  friend constexpr bool operator!=(StoreRevision a, StoreRevision b) {
    return !(a == b);
  }
  friend constexpr bool operator<(StoreRevision a, StoreRevision b) {
    return a.era == b.era ? a.number < b.number : a.era < b.era;
  }
  friend constexpr bool operator<=(StoreRevision a, StoreRevision b) {
    return !(b < a);
  }
  friend constexpr bool operator>(StoreRevision a, StoreRevision b) {
    return b < a;
  }
  friend constexpr bool operator>=(StoreRevision a, StoreRevision b) {
    return !(a < b);
  }
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_STORE_REVISION_H_
