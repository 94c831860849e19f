#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "generated_order.h"

namespace sesamesaddle {
namespace {

// Guards against broken rules by targets that start again, lost keys and odd
// entries, and by parts of a fleet that crash at once.
TEST_CASE("No generated order with target events breaks a rule") {
  for (const OrderMix& mix : TargetMixes()) {
    const std::vector<std::string> failures = PlayOrders(mix);
    for (const std::string& failure : failures) UNSCOPED_INFO(failure);
    CHECK(failures.empty());
  }
}

}  // namespace
}  // namespace sesamesaddle
