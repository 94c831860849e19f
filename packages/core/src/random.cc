#include "core/random.h"

namespace sesamesaddle {

uint64_t RandomSource::Below(uint64_t bound) {
  return bound == 0 ? 0 : Next() % bound;
}

uint64_t SystemSeed() {
  constexpr int kWordBits = 32;
  std::random_device device;
  return (static_cast<uint64_t>(device()) << kWordBits) | device();
}

}  // namespace sesamesaddle
