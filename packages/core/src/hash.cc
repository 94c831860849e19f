#include "core/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace sesamesaddle {

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t HashPair(uint64_t first, uint64_t second, uint64_t seed) {
  const uint64_t words[] = {first, second};
  return XXH3_64bits_withSeed(words, sizeof(words), seed);
}

}  // namespace sesamesaddle
