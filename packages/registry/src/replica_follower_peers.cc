// The part of ReplicaFollower that follows a balancer that watches the store.

#include <utility>

#include "registry/replica_follower.h"
#include "registry/replica_position.h"

namespace sesamesaddle {

bool ReplicaFollower::FollowsPeer() const {
  return role_ == WatchRole::kFollower && !store_failed_ && !list_needed_ &&
         scheduler_.Now() - confirmed_at_ <= options_.peer_timeout;
}

void ReplicaFollower::CheckPeerLater() {
  const int64_t timer = ++batch_timer_generation_;
  scheduler_.After(options_.peer_check_interval, [this, timer] {
    if (timer != batch_timer_generation_) return;
    Watch();
  });
}

std::optional<schema::ReplicaChanges> ReplicaFollower::ChangesForFollowers()
    const {
  const bool follows_store =
      role_ == WatchRole::kForOthers && loaded() && !store_failed_ &&
      !list_needed_ &&
      scheduler_.Now() - store_answered_at_ <= options_.max_answer_age;
  if (!follows_store) return std::nullopt;
  schema::ReplicaChanges changes = recent_changes_.Message();
  changes.version = Version();
  return changes;
}

void ReplicaFollower::OnPeerChanges(const schema::ReplicaChanges& changes) {
  const ReplicaPosition peer(changes.version);
  // A peer that lags does not show what the store holds now.
  if (!loaded() || list_needed_ || peer.directory < directory_revision_) return;
  const bool covered = peer.directory.era == directory_revision_.era &&
                       changes.after_revision <= directory_revision_.number;
  const bool ahead = directory_revision_ < peer.directory;
  if ((ahead && !covered) ||
      peer.ConfigurationIsNewerThan(ReplicaPosition(Version()))) {
    CatchUpAfterPeer();
    return;
  }
  if (ahead) {
    for (const auto& entry : changes.entries) {
      if (!IsDirectoryKey(entry.key) && !IsEvacuationKey(entry.key)) continue;
      ApplyEntry(entry.key, entry.value, {StoreEra(entry.era), entry.revision});
    }
    for (const auto& entry : changes.removed) {
      RemoveEntry(entry.key, {StoreEra(entry.era), entry.revision});
    }
    directory_revision_ = peer.directory;
    ++counters_.batches_from_peers;
    // What was applied here is not passed on.
    recent_changes_.Restart(directory_revision_.number);
    SettleEvacuations(false);
  }
  confirmed_at_ = scheduler_.Now();
}

void ReplicaFollower::CatchUpAfterPeer() {
  confirmed_at_ = TimePoint();
  if (watch_in_flight_ || batch_pending_) return;
  ++batch_timer_generation_;  // Voids the next check of the peer.
  Watch();
}

void ReplicaFollower::ReadRevision(
    std::function<void(std::optional<StoreRevision>)> done) {
  store_.List(keys_.directory_prefix + kUnusedKey,
              [this, done = std::move(done)](auto list) {
                if (!list || !EnterEra() || BehindReplica()) {
                  done(std::nullopt);
                } else {
                  done(InEra(list->revision));
                }
              });
}

}  // namespace sesamesaddle
