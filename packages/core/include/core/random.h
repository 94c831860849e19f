#ifndef SESAMESADDLE_CORE_RANDOM_H_
#define SESAMESADDLE_CORE_RANDOM_H_

#include <cstdint>
#include <random>

namespace sesamesaddle {

/** Random number generator interface; tests use a fixed seed. */
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /** @return the next 64-bit random number. */
  virtual uint64_t Next() = 0;

  /** @return a number in [0, bound); 0 when bound is 0. */
  uint64_t Below(uint64_t bound);
};

/** std::mt19937_64 initialized with a given seed. */
class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/** @return a random seed from the operating system. */
uint64_t SystemSeed();

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_RANDOM_H_
