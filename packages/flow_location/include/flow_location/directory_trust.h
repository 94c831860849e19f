#ifndef SESAMESADDLE_FLOW_LOCATION_DIRECTORY_TRUST_H_
#define SESAMESADDLE_FLOW_LOCATION_DIRECTORY_TRUST_H_

#include <map>
#include <optional>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * Decides from when on a directory that was just read for the first time shows
 * that a flow has no holder. The store may have lost the entry of a living
 * target shortly before, and a process that starts meanwhile has never seen it;
 * such an entry is back within kEntryReturnTime.
 *
 * After a restart of the whole fleet no target is left that the directory could
 * lack, and all callers wait for their resets. Then no agent that reports has
 * known its target for long, and there is no wait.
 *
 * A report of an agent without an entry shows that the directory is incomplete.
 */
class DirectoryTrust {
 public:
  /** Time after which an entry that the store lost is listed again. */
  static constexpr Duration kEntryReturnTime = std::chrono::milliseconds(2500);

  /** Called when the directory has been read completely. */
  void OnDirectoryRead(TimePoint now) {
    if (!since_) since_ = now;
  }
  /**
   * Called for each report of an agent.
   * @param target_known  time for which the agent has known its target; zero if
   *        it does not know it yet
   */
  void OnReport(TimePoint now, Duration target_known);
  /** Called for each report of a living agent that the directory lacks. */
  void OnUnlistedReport(TimePoint now, const Endpoint& agent);
  /** Called when the directory has the agent, or its target has ended. */
  void OnResolved(const Endpoint& agent) { unlisted_.erase(agent); }
  /** Whether the directory lacks that agent, which has reported lately. */
  bool LacksAgent(TimePoint now, const Endpoint& agent) const;
  /**
   * Whether a target that a complete read did not return holds no flows.
   * @param as_of  beginning of that read
   */
  bool Covers(TimePoint as_of) const;
  /** Whether a read that begins now would be covered. */
  bool Trusted(TimePoint now) const { return Covers(now); }

 private:
  std::optional<TimePoint> since_;
  /** Whether any agent has reported. */
  bool reported_ = false;
  /** Whether any of them had known its target before this process started. */
  bool any_survived_ = false;
  /** Living agents that the directory lacks, and when they last reported. */
  std::map<Endpoint, TimePoint> unlisted_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_LOCATION_DIRECTORY_TRUST_H_
