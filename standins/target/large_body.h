#ifndef SESAMESADDLE_STANDINS_TARGET_LARGE_BODY_H_
#define SESAMESADDLE_STANDINS_TARGET_LARGE_BODY_H_

#include <cstddef>
#include <string>

namespace sesamesaddle {

/**
 * Returns the body of a large item: lines of numbers derived from the id, until
 * the body has at least `bytes` bytes.
 */
std::string GenerateLargeBody(const std::string& id, size_t bytes);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STANDINS_TARGET_LARGE_BODY_H_
