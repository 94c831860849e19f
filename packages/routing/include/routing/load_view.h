#ifndef SESAMESADDLE_ROUTING_LOAD_VIEW_H_
#define SESAMESADDLE_ROUTING_LOAD_VIEW_H_

#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "messages_types.h"

namespace sesamesaddle {

/** The load of one agent of a service, as known to another agent. */
struct AgentLoad {
  schema::LoadReport report;
  TimePoint reported_at;
  /** Requests sent to the agent since its last report. */
  int requests_since_report = 0;
  /** Flows placed on the agent since its last report. */
  int flows_since_report = 0;
  /** Completion rate, smoothed exponentially over reports. */
  double completions_per_second = 0;
};

struct LoadViewOptions {
  /** Older reports are ignored. */
  Duration max_age = std::chrono::seconds(2);
  /** The share of a new agent ramps up to the full share over this time. */
  Duration slow_start = std::chrono::seconds(10);
};

/**
 * The load of the agents of a service, from the reports that they exchange plus
 * the work that this agent has sent since. The load endpoints of the targets
 * are not used: their values are late and misleading.
 */
class LoadView {
 public:
  LoadView(const LoadViewOptions& options, RandomSource& random);

  void OnReport(TimePoint now, const schema::LoadReport& report);
  void OnRequestSent(MemberId agent);
  void OnFlowPlaced(MemberId agent);
  void Forget(MemberId agent) { loads_.erase(agent); }

  /**
   * Chooses the agent for a new flow: the less loaded of two random ones. If
   * no candidate has a usable report, all candidates are considered.
   * Returns zero if there are no candidates.
   */
  MemberId ChooseForFlow(TimePoint now,
                         const std::vector<MemberId>& candidates);
  /**
   * Chooses an agent with a free slot for one request: the less loaded of two
   * random ones. Returns zero if no candidate is known to have a free slot.
   */
  MemberId ChooseForRequest(TimePoint now,
                            const std::vector<MemberId>& candidates);

  /** Returns the known load per slot; 1 if all slots are taken or unknown. */
  double Utilization(TimePoint now, MemberId agent) const;
  /**
   * Returns the completion rate per slot. It is only meaningful in comparison
   * with the value of another agent.
   */
  double WorkPerSlot(TimePoint now, MemberId agent) const;
  const std::unordered_map<MemberId, AgentLoad>& loads() const {
    return loads_;
  }

 private:
  bool Usable(TimePoint now, MemberId agent) const;
  double FlowScore(TimePoint now, MemberId agent) const;
  double RequestScore(TimePoint now, MemberId agent) const;
  double EffectiveSlots(const AgentLoad& load) const;

  LoadViewOptions options_;
  RandomSource& random_;
  std::unordered_map<MemberId, AgentLoad> loads_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ROUTING_LOAD_VIEW_H_
