#ifndef SESAMESADDLE_PLACEMENT_TOPOLOGY_H_
#define SESAMESADDLE_PLACEMENT_TOPOLOGY_H_

#include <map>
#include <string>
#include <utility>

namespace sesamesaddle {

/** Distance classes with very different latencies. */
enum class Distance { kSameZone, kSameRegion, kOtherRegion };

/** Location of this process among the availability zones. */
class Topology {
 public:
  /** @param zone  zone of this process; all others are in the same region */
  explicit Topology(std::string zone) : Topology(std::move(zone), {}) {}
  /** @param regions  region of each zone */
  Topology(std::string zone, std::map<std::string, std::string> regions);

  /** Returns the distance to that zone, kSameRegion if a region is unknown. */
  Distance DistanceTo(const std::string& zone) const;
  const std::string& zone() const { return zone_; }

 private:
  std::string zone_;
  std::map<std::string, std::string> regions_;
  /** With a single region no lookup is needed. */
  bool multiple_regions_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_PLACEMENT_TOPOLOGY_H_
