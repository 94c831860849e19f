#ifndef SESAMESADDLE_STEERING_TOPOLOGY_H_
#define SESAMESADDLE_STEERING_TOPOLOGY_H_

#include <map>
#include <string>
#include <utility>

namespace sesamesaddle {

/** How far a process is, in steps that cost very different times. */
enum class Distance { kSameZone, kSameRegion, kOtherRegion };

/** Where this process stands among the availability zones. */
class Topology {
 public:
  /** @param zone  of this process; all others are of the same region */
  explicit Topology(std::string zone) : Topology(std::move(zone), {}) {}
  /** @param regions  the region of each zone */
  Topology(std::string zone, std::map<std::string, std::string> regions);

  /** @return how far that zone is; one without a known region counts as near */
  Distance DistanceTo(const std::string& zone) const;
  const std::string& zone() const { return zone_; }

 private:
  std::string zone_;
  std::map<std::string, std::string> regions_;
  /** Zones need not be looked up where all are of one region. */
  bool multiple_regions_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_TOPOLOGY_H_
