#ifndef SESAMESADDLE_STANDINS_TARGET_LARGE_BODY_H_
#define SESAMESADDLE_STANDINS_TARGET_LARGE_BODY_H_

#include <cstddef>
#include <string>

namespace sesamesaddle {

/**
 * What a target answers for a large item: numbers that follow from the id, a
 * line each, until `bytes` are reached.
 */
std::string LargeBody(const std::string& id, size_t bytes);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STANDINS_TARGET_LARGE_BODY_H_
