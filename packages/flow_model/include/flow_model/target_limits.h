#ifndef SESAMESADDLE_FLOW_MODEL_TARGET_LIMITS_H_
#define SESAMESADDLE_FLOW_MODEL_TARGET_LIMITS_H_

namespace sesamesaddle {

/**
 * Bounds of what a target says of itself, far above the largest one known.
 * Sums of a few such numbers fit 32 bits.
 */
constexpr int kMaxTargetSlots = 100000;
constexpr int kMaxSlowStartMs = 600000;

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_MODEL_TARGET_LIMITS_H_
