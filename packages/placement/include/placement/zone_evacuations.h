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
  /**
   * Time at which this process saw the zone evacuated or restored; zero if it
   * knows the zone only as restored.
   */
  TimePoint since{};
  /** Time at which this process learned of `revision`. */
  TimePoint known_since{};
};

/** Effect of a zone's state on what was known. */
enum class ZoneUpdate {
  kNone,     // It is not later.
  kRenewed,  // The same state, set at a later revision.
  kChanged,  // The zone was evacuated or restored.
};

/**
 * The availability zones that the operators have evacuated: their targets get
 * no new flows. States may arrive from the store, from peers and from agents,
 * in any order; the one with the latest store revision holds.
 */
class ZoneEvacuations {
 public:
  /**
   * Share of its slots that placement counts on after a zone was restored: the
   * targets may have been started shortly before, and the other zones' load
   * would return at once.
   */
  static constexpr double kFirstRestoredShare = 0.25;
  /** The share rises by kFirstRestoredShare each time this has passed. */
  static constexpr Duration kRestoreStep = std::chrono::seconds(1);
  /** @param since  time since the zone was restored */
  static double RestoredShare(Duration since);

  /** Applies a state unless it is older than the known one. */
  ZoneUpdate Apply(TimePoint now, const std::string& zone, bool evacuated,
                   StoreRevision revision);
  ZoneUpdate Apply(TimePoint now, const schema::ZoneState& state);

  /**
   * Records that at `revision` the store listed exactly these zones as
   * evacuated, so that older states of other zones are outdated.
   * @return the zones that are restored by it
   */
  std::vector<std::string> ApplyList(TimePoint now,
                                     const std::set<std::string>& evacuated,
                                     StoreRevision revision);

  /** Whether the zone's targets get no new flows. */
  bool Evacuated(const std::string& zone) const;
  /** Returns the number of zones that are evacuated. */
  int EvacuatedCount() const;
  /** Returns the zone's state, or null if it was never evacuated. */
  const ZoneEvacuation* Find(const std::string& zone) const;
  /**
   * Returns the zone's state as a message; nothing if it was never evacuated.
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
