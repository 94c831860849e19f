#ifndef SESAMESADDLE_CORE_HASH_H_
#define SESAMESADDLE_CORE_HASH_H_

#include <cstdint>
#include <string_view>

namespace sesamesaddle {

/** XXH3 hash of `bytes`; the same on every platform. */
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/** XXH3 hash of two integers; it depends on the platform's byte order. */
uint64_t HashPair(uint64_t first, uint64_t second, uint64_t seed = 0);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_HASH_H_
