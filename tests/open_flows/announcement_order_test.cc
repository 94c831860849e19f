#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "generated_order.h"

namespace sesamesaddle {
namespace {

// Guards against broken rules by announcements and deregistrations that arrive
// late, twice or out of order, or that another writer has sent.
TEST_CASE("No generated order of announcements breaks a rule") {
  const std::vector<std::string> failures = PlayOrders(AnnouncementMix());
  for (const std::string& failure : failures) UNSCOPED_INFO(failure);
  CHECK(failures.empty());
}

}  // namespace
}  // namespace sesamesaddle
