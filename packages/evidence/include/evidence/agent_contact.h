#ifndef SESAMESADDLE_EVIDENCE_AGENT_CONTACT_H_
#define SESAMESADDLE_EVIDENCE_AGENT_CONTACT_H_

#include <optional>

#include "core/time.h"

namespace sesamesaddle {

/** Result of an attempt to connect to the instance of an agent. */
enum class InstanceAnswer {
  kAccepted,  // A process listens; the agent may only be slow.
  kRefused,   // No process listens, so the agent restarts or has ended.
};

/**
 * What a balancer observed of its requests to one agent. All times are readings
 * of the balancer's AttentiveClock unless they are TimePoints.
 *
 * An agent that does not answer may be replaced, held up or cut off while its
 * target serves. Its instance shows the difference: the system of a running
 * instance accepts or refuses a connection whatever the agent does, and an
 * instance without power or behind a partition answers nothing.
 */
class AgentContact {
 public:
  /**
   * An agent replies to a SYN or a query within 50 ms; twice that, plus two
   * hops between regions.
   */
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(150);
  /** Three missed replies. */
  static constexpr Duration kSilenceTimeout = 3 * kReplyTimeout;
  /** Minimum number of missed replies of an unreachable agent. */
  static constexpr int kMinUnansweredRequests = 3;
  /**
   * An agent is not unreachable until it has been silent for this many times
   * the mean delay of answers: on a full link all of them come late.
   */
  static constexpr int kMinAnswerDelays = 3;
  /**
   * Time without an answer of the instance after which it counts as silent. Its
   * system answers at once, so this covers the loss of one attempt.
   */
  static constexpr Duration kInstanceTimeout = 2 * kReplyTimeout;
  /** A silent agent is tried again after this time without a request. */
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(1000);

  /** Records that the agent was sent a packet or query that it answers. */
  void OnRequest(TimePoint now, Duration attentive);
  /**
   * Records a packet or report of the agent.
   * @return the time since the first unanswered request, if there was one
   */
  std::optional<Duration> OnAnswer(Duration attentive);
  /** Records the start of an attempt to connect to the instance. */
  void OnInstanceProbe(Duration attentive);
  void OnInstanceAnswer(InstanceAnswer answer, Duration attentive);

  /** Number of unanswered requests, at most one each kReplyTimeout. */
  int unanswered() const { return unanswered_; }
  /** Whether the next request for a report is due. */
  bool RequestDue(Duration attentive) const {
    return attentive - last_counted_ >= kReplyTimeout;
  }
  /**
   * Whether an attempt to connect to the instance is due: requests of the last
   * kRetryDelay were not answered within kReplyTimeout.
   */
  bool InstanceProbeDue(TimePoint now, Duration attentive) const;

  /**
   * Whether requests stayed unanswered for kSilenceTimeout.
   * @param last_answer_of_any  reading at the last answer of any agent: without
   *        one since the request this process may be the one that is cut off
   */
  bool Silent(TimePoint now, Duration attentive,
              Duration last_answer_of_any) const;
  /**
   * Whether the agent is silent, missed enough replies, and its instance
   * answered no connection attempt either for kInstanceTimeout.
   * @param answer_delay  mean delay of the answers of all agents
   */
  bool Unreachable(TimePoint now, Duration attentive,
                   Duration last_answer_of_any, Duration answer_delay) const;
  /**
   * Returns for how long the instance has refused connections without a sign
   * of the agent; zero if its last answer was another one.
   */
  Duration RefusedFor(Duration attentive) const;

 private:
  Duration unanswered_since_{};
  int unanswered_ = 0;
  Duration last_counted_{};
  TimePoint last_request_{};
  /** First attempt since the last answer of the instance or the agent. */
  std::optional<Duration> instance_silent_since_;
  Duration last_instance_probe_{};
  /** Whether any attempt was made since the last answer of the agent. */
  bool instance_probed_ = false;
  std::optional<Duration> refused_since_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_EVIDENCE_AGENT_CONTACT_H_
