#ifndef SESAMESADDLE_PLACEMENT_ZONE_EVACUATIONS_H_
#define SESAMESADDLE_PLACEMENT_ZONE_EVACUATIONS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/store_revision.h"
#include "core/time.h"
#include "steering_types.h"

namespace sesamesaddle {

/** State of an availability zone that is or was evacuated. */
struct ZoneEvacuation {
  bool evacuated = false;
  /** Store revision at which the operators set or ended it. */
  StoreRevision revision;
  /** Time at which this process learned of the state. */
  TimePoint since{};
};

/**
 * The availability zones that the operators have evacuated: their targets get
 * no new flows. States may arrive from the store, from peers and from agents,
 * in any order; the one with the latest store revision holds.
 */
class ZoneEvacuations {
 public:
  /**
   * Applies a state unless it is older than the known one.
   * @return whether the zone's state has changed
   */
  bool Apply(TimePoint now, const std::string& zone, bool evacuated,
             StoreRevision revision);
  bool Apply(TimePoint now, const schema::ZoneState& state);

  /**
   * Records that at `revision` the store listed exactly these zones as
   * evacuated, so that older states of other zones are outdated.
   * @return the zones whose state has changed
   */
  std::vector<std::string> ApplyList(TimePoint now,
                                     const std::set<std::string>& evacuated,
                                     StoreRevision revision);

  /** Whether the zone's targets get no new flows. */
  bool Evacuated(const std::string& zone) const;
  /** Returns the zone's state, or null if it is not known to have one. */
  const ZoneEvacuation* Find(const std::string& zone) const;
  /**
   * Returns the zone's state as a message; nothing if the store was not listed
   * yet and no other source had one.
   */
  std::optional<schema::ZoneState> Message(const std::string& zone) const;
  const std::map<std::string, ZoneEvacuation>& zones() const { return zones_; }

 private:
  std::map<std::string, ZoneEvacuation> zones_;
  /** Zones without a state were not evacuated at this revision. */
  StoreRevision listed_at_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_PLACEMENT_ZONE_EVACUATIONS_H_
