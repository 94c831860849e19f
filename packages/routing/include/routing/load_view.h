#ifndef SESAMESADDLE_ROUTING_LOAD_VIEW_H_
#define SESAMESADDLE_ROUTING_LOAD_VIEW_H_

#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "messages_types.h"

namespace sesamesaddle {

/** What an agent knows of the load of one agent of a service. */
struct AgentLoad {
  schema::LoadReport report;
  TimePoint reported_at;
  /** Requests sent there that the report cannot know of yet. */
  int requests_since = 0;
  /** Flows placed there that the report cannot know of yet. */
  int flows_since = 0;
  /** Requests completed a second, smoothed over reports. */
  double work_rate = 0;
};

struct LoadViewOptions {
  /** A report older than this says nothing. */
  Duration max_age = std::chrono::seconds(2);
  /** A new agent's share grows to the full one over this time. */
  Duration slow_start = std::chrono::seconds(10);
};

/**
 * The load of the agents of a service as they tell each other, corrected by
 * what this agent has just sent them. The targets' own load endpoints are not
 * used: they lag and mislead.
 */
class LoadView {
 public:
  LoadView(const LoadViewOptions& options, RandomSource& random);

  void OnReport(TimePoint now, const schema::LoadReport& report);
  void OnRequestSent(MemberId agent);
  void OnFlowPlaced(MemberId agent);
  void Forget(MemberId agent) { loads_.erase(agent); }

  /** Chooses the agent for a new flow: the better of two random ones. */
  MemberId ChooseForFlow(TimePoint now,
                         const std::vector<MemberId>& candidates);
  /**
   * Chooses an agent with a free slot for one request: the better of two.
   * @return zero if none of the candidates is known to have one.
   */
  MemberId ChooseForRequest(TimePoint now,
                            const std::vector<MemberId>& candidates);

  /** Load per slot as far as known; 1 means that every slot is taken. */
  double Utilization(TimePoint now, MemberId agent) const;
  /** Recent work per slot, relative to nothing; compare two agents' values. */
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
