#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "generated_order.h"

namespace sesamesaddle {
namespace {

// Guards against resets of a living target's flows by an entry that names a
// service which the configuration does not have.
TEST_CASE("No generated order with entries of unknown services breaks a rule") {
  const std::vector<std::string> failures = PlayOrders(UnknownServiceMix());
  for (const std::string& failure : failures) UNSCOPED_INFO(failure);
  CHECK(failures.empty());
}

}  // namespace
}  // namespace sesamesaddle
