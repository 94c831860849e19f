#include "placement/topology.h"

namespace sesamesaddle {

Topology::Topology(std::string zone, std::map<std::string, std::string> regions)
    : zone_(std::move(zone)), regions_(std::move(regions)) {
  for (const auto& [name, region] : regions_) {
    if (region != regions_.begin()->second) multiple_regions_ = true;
  }
}

Distance Topology::DistanceTo(const std::string& zone) const {
  if (zone == zone_) return Distance::kSameZone;
  if (!multiple_regions_) return Distance::kSameRegion;
  const auto own = regions_.find(zone_);
  const auto other = regions_.find(zone);
  if (own == regions_.end() || other == regions_.end()) {
    return Distance::kSameRegion;
  }
  return own->second == other->second ? Distance::kSameRegion
                                      : Distance::kOtherRegion;
}

}  // namespace sesamesaddle
