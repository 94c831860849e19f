#ifndef SESAMESADDLE_STEERING_TARGET_DIRECTORY_H_
#define SESAMESADDLE_STEERING_TARGET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "steering_types.h"

namespace sesamesaddle {

/** What a balancer believes of one target and the agent beside it. */
struct AgentView {
  schema::TargetRecord record;
  Endpoint agent;
  uint16_t service_check = 0;
  /** Revision of the store at which the record was written. */
  int64_t revision = 0;
  /** Whether the store's directory holds the record now. */
  bool listed = true;
  TimePoint unlisted_since{};
  TimePoint listed_since{};

  int in_flight = 0;
  int opening = 0;
  int flows = 0;
  Duration response_time{};
  /** Flows that this balancer placed there since the last report. */
  int placed_since_report = 0;
  /** New flows that wait at the agent. */
  int queued = 0;
  TimePoint last_report{};
  bool reported = false;
  bool restarting = false;
  /** The target fails requests; its agent saw it from the answers. */
  bool failing = false;
  /** A failing target may be tried with one flow after this time. */
  TimePoint next_trial{};
  /** A SYN was refused; the agent is asked again after this time. */
  TimePoint backoff_until{};
  /** When the agent was first asked since it was heard, if it was. */
  TimePoint unanswered_since{};
  /** Questions since then that had, or have, the time for an answer each. */
  int unanswered_probes = 0;
  TimePoint last_probe{};
  TimePoint last_report_request{};
  /** Any packet of a flow was sent there. */
  TimePoint last_packet{};
};

/** @return requests per slot: those reported, and those placed since. */
double WorkPerSlot(TimePoint now, const AgentView& view);

/** The targets that a balancer knows, from the store and from reports. */
class TargetDirectory {
 public:
  /**
   * An entry that vanished from the store is gone after this time unless it is
   * back (a lease may be lost while its holder lives: bound of the platform).
   */
  static constexpr Duration kUnlistedGracePeriod =
      std::chrono::milliseconds(2500);
  /**
   * An agent answers a SYN or a query within 50 ms; twice that, and two hops
   * between regions.
   */
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(150);
  /** Three answers that did not come. */
  static constexpr Duration kSilenceTimeout = 3 * kReplyTimeout;
  /** Reports may be lost: so many in a row mean that none were sent. */
  static constexpr int kMinUnansweredProbes = 3;

  /** A silent agent that was asked nothing for so long is tried again. */
  static constexpr Duration kSilentAgentRetryDelay =
      std::chrono::milliseconds(1000);
  /** Time between the flows with which a failing target is tried. */
  static constexpr Duration kTrialPeriod = std::chrono::milliseconds(1000);
  /** An agent that said that it restarts is tried again after this time. */
  static constexpr Duration kRestartTimeout = std::chrono::milliseconds(3000);
  /** A target that answers nothing is asked again after this time. */
  static constexpr Duration kSilentTargetBackoff =
      std::chrono::milliseconds(300);

  /** Takes a record of the store; older revisions are ignored. */
  void Put(TimePoint now, const std::string& key,
           const schema::TargetRecord& record, int64_t revision);
  /** The store's directory no longer holds the key. */
  void Remove(TimePoint now, const std::string& key, int64_t revision);

  /** @return the view of that agent, or null. */
  AgentView* Find(const Endpoint& agent);
  /** @return the agents of a service; valid until the next change. */
  const std::vector<AgentView*>& OfService(const std::string& service);
  std::vector<AgentView*> All();
  std::vector<const AgentView*> All() const;
  /** @return the agent after that address, in a circle; null if none. */
  AgentView* NextAfter(const Endpoint& agent);
  size_t size() const { return agents_.size(); }

  /** Takes a report, also of an agent whose entry is missing or older. */
  void OnReport(TimePoint now, const schema::AgentReport& report);
  /** The agent was sent something that it answers by a report. */
  static void RecordReportRequest(TimePoint now, AgentView& view);

  /**
   * Whether questions to the agent have stayed unanswered for too long while
   * another agent was heard: if none is, this process may be the one cut off.
   */
  bool Silent(TimePoint now, const AgentView& view) const;
  /**
   * Whether the agent is silent and has had time to answer several questions:
   * certain enough to give up the flows that it holds.
   */
  bool Unreachable(TimePoint now, const AgentView& view) const;
  /** Whether the target may be given new flows. */
  bool Usable(TimePoint now, const AgentView& view) const;

  /**
   * Drops entries that are gone for good.
   * @param store_current  whether the store's directory is being followed; what
   *                       is missing there proves nothing otherwise
   * @return the agents dropped
   */
  std::vector<Endpoint> Expire(TimePoint now, bool store_current);

 private:
  void RebuildServiceIndex();

  std::map<Endpoint, AgentView> agents_;
  TimePoint last_report_from_any_{};
  std::map<std::string, Endpoint> by_key_;
  std::map<std::string, std::vector<AgentView*>> by_service_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_TARGET_DIRECTORY_H_
