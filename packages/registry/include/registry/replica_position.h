#ifndef SESAMESADDLE_REGISTRY_REPLICA_POSITION_H_
#define SESAMESADDLE_REGISTRY_REPLICA_POSITION_H_

#include "core/store_revision.h"
#include "steering_types.h"

namespace sesamesaddle {

/** What a replica reflects; decides which of two replicas is newer. */
struct ReplicaPosition {
  explicit ReplicaPosition(const schema::ReplicaVersion& version)
      : directory(StoreEra(version.directory_era), version.directory_revision),
        configuration(StoreEra(version.configuration_era),
                      version.configuration_revision),
        configuration_version(version.configuration_version) {}

  /**
   * Compares the operators' own versions, as a store that came back from a copy
   * may hold an older document at a later position. A peer of an earlier build
   * does not send its version; then the positions decide.
   */
  bool ConfigurationIsNewerThan(const ReplicaPosition& other) const {
    if (configuration_version > 0 && other.configuration_version > 0) {
      return configuration_version > other.configuration_version;
    }
    return configuration > other.configuration;
  }

  StoreRevision directory;
  StoreRevision configuration;
  int64_t configuration_version;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_REGISTRY_REPLICA_POSITION_H_
