#ifndef SESAMESADDLE_CORE_RANDOM_H_
#define SESAMESADDLE_CORE_RANDOM_H_

#include <cstdint>
#include <random>

namespace sesamesaddle {

/** Source of random numbers, seeded in tests. */
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  virtual uint64_t Next() = 0;

  /** @return a number in [0, bound); 0 when bound is 0. */
  uint64_t Below(uint64_t bound);
};

/** std::mt19937_64 from a given seed. */
class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/** @return a seed from the operating system. */
uint64_t SystemSeed();

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_RANDOM_H_
