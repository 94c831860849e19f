#ifndef SESAMESADDLE_FLOW_LOCATION_DIRECTORY_TRUST_H_
#define SESAMESADDLE_FLOW_LOCATION_DIRECTORY_TRUST_H_

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "core/endpoint.h"
#include "core/store_revision.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Decides whether the directory has all living agents, so that a flow which all
 * of them deny has no holder. A listing alone never shows that: the store may
 * have lost the entry of a living agent. A balancer that had the entry notifies
 * the agent. If none is left, the agent gets nothing from any balancer, and
 * then verifies its entry by itself. A process that has read the directory for
 * the time in which each agent does so once has seen all entries since, and
 * notices each one that is removed.
 *
 * A process that has just started gets there sooner by a peer that knows all
 * agents: the peer names those that the store does not list.
 *
 * After a restart of the whole fleet no target is left that the directory could
 * lack, and all callers wait for their resets. Then no agent that reports has
 * known its target for long, and there is no wait.
 *
 * While an agent may live that the directory lacks, the directory is not
 * complete.
 */
class DirectoryTrust {
 public:
  /**
   * Time in which an agent that is notified that its entry is missing has
   * written it, and all balancers have read it.
   */
  static constexpr Duration kRewriteTime = std::chrono::milliseconds(2500);
  /**
   * Time in which an agent that finds its entry missing has written it: a few
   * calls to the store. A search that nothing else decides reads the store.
   */
  static constexpr Duration kWriteTime = std::chrono::milliseconds(1000);

  /**
   * @param verification_interval  longest time until an agent that no balancer
   *        sends anything verifies its entry
   */
  explicit DirectoryTrust(Duration verification_interval)
      : entry_return_time_(
            std::max(verification_interval + kWriteTime, kRewriteTime)) {}

  /**
   * Called when the directory has been read completely.
   * @param revision  store revision that it has been read at
   */
  void OnDirectoryRead(TimePoint now, StoreRevision revision);
  /**
   * Called while the store does not answer. Agents cannot verify their entries
   * meanwhile, so that the time until the next read does not count.
   */
  void OnStoreLost(TimePoint now) {
    if (!KnowsAllAgents(now)) since_.reset();
  }
  /**
   * Called for each report of an agent.
   * @param target_known  time for which the agent has known its target; zero if
   *        it does not know it yet
   */
  void OnReport(TimePoint now, Duration target_known);
  /** Called for each report of a living agent that the directory lacks. */
  void OnUnlistedReport(TimePoint now, const Endpoint& agent);
  /**
   * Called for an agent that may live although the directory lacks it: a peer
   * knows it, or its entry cannot be read. It would have written its entry
   * within the time in which each agent verifies it.
   */
  void OnUnlistedAgent(TimePoint now, const Endpoint& agent);
  /**
   * Called for a list of the agents that a peer knows and the store does not
   * list, which completes the directory if it is not older than the first read.
   * @param revision  store revision of the peer's directory
   * @return whether the directory is complete by it
   */
  bool OnPeerList(TimePoint now, StoreRevision revision);
  /** Called when the directory has the agent, or its target has ended. */
  void OnResolved(const Endpoint& agent) { unlisted_.erase(agent); }
  /** Whether an agent may live that the directory lacks. */
  bool LacksAgent(TimePoint now, const Endpoint& agent) const;
  /** Returns the agents that may live although the directory lacks them. */
  std::vector<Endpoint> UnlistedAgents(TimePoint now) const;
  /**
   * Whether this process knows all agents that may live, listed or not, so that
   * it can name the unlisted ones to a peer.
   */
  bool KnowsAllAgents(TimePoint now) const;
  /**
   * Whether a target that a complete read did not return holds no flows.
   * @param as_of  beginning of that read
   */
  bool Covers(TimePoint as_of) const;
  /** Whether a read that begins now would be covered. */
  bool Trusted(TimePoint now) const { return Covers(now); }

 private:
  Duration entry_return_time_;
  std::optional<TimePoint> since_;
  /** Revision of the first read. */
  StoreRevision first_revision_;
  /** When a peer has completed the directory. */
  std::optional<TimePoint> completed_by_peer_;
  /** Whether any agent has reported. */
  bool reported_ = false;
  /** Whether any of them had known its target before this process started. */
  bool any_survived_ = false;
  /** Agents that the directory lacks, and until when they may live. */
  std::map<Endpoint, TimePoint> unlisted_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_LOCATION_DIRECTORY_TRUST_H_
