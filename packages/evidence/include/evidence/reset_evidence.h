#ifndef SESAMESADDLE_EVIDENCE_RESET_EVIDENCE_H_
#define SESAMESADDLE_EVIDENCE_RESET_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "core/endpoint.h"
#include "core/event_log.h"
#include "core/time.h"

namespace sesamesaddle {

/*
 * Facts that allow a balancer to reset a flow which may be open. Each can only
 * be made by a function that checks what the fact rests on: what is merely
 * unknown is no evidence. A flow without evidence is searched, or its packet is
 * dropped and repeated by its sender.
 */

/** The operators' newest configuration has no route for the flow. */
class RouteAbsent {
 public:
  /**
   * @param arrived  arrival of the flow's packet
   * @param read_began  beginning of the latest complete read of the store
   * @param version  version of the configuration that it returned
   * @return nothing unless the read began after the packet arrived: before that
   *         a later configuration may have added the route
   */
  static std::optional<RouteAbsent> Check(TimePoint arrived,
                                          TimePoint read_began,
                                          int64_t version);
  void Describe(LogLine& line) const;

 private:
  RouteAbsent(Duration read_after, int64_t version)
      : read_after_(read_after), version_(version) {}

  Duration read_after_;
  int64_t version_;
};

/** A configuration dropped the route after the flow had been placed on it. */
class RouteDropped {
 public:
  /**
   * @param placed  version of the configuration by which this process placed
   *                the flow; nothing if another process did
   * @param dropped  the version without the route
   */
  static std::optional<RouteDropped> Check(std::optional<int64_t> placed,
                                           int64_t dropped);
  void Describe(LogLine& line) const;

 private:
  RouteDropped(int64_t placed, int64_t dropped)
      : placed_(placed), dropped_(dropped) {}

  int64_t placed_;
  int64_t dropped_;
};

/** Why the instance of an agent holds no flows any more. */
enum class TargetEnd {
  kReported,     // Its agent reported that the target has ended.
  kUnreachable,  // Unlisted, and neither agent nor instance answer.
  kAbsent,  // Unlisted, and no process listens longer than a restart takes.
};

/** Every target that can hold the flow has denied it or has ended. */
class FlowDenied {
 public:
  /** What a search knows when it ends. */
  struct Search {
    TimePoint started{};
    /** Time as of which the directory is known to be complete. */
    TimePoint directory_as_of{};
    /** Agents of the search's scope. */
    size_t agents = 0;
    /** Those that have denied the flow since its first packet arrived. */
    size_t denied = 0;
    /** Those whose target has ended, and that have not denied the flow. */
    size_t ended = 0;
  };

  /**
   * @return nothing unless the directory was complete after the search started
   *         and each of its agents is accounted for
   */
  static std::optional<FlowDenied> Check(const Search& search);
  void Describe(LogLine& line) const;

 private:
  explicit FlowDenied(const Search& search) : search_(search) {}

  Search search_;
};

/** The target of the flow has ended. */
class TargetEnded {
 public:
  TargetEnded(const Endpoint& agent, TargetEnd end, Duration unlisted)
      : agent_(agent), end_(end), unlisted_(unlisted) {}
  void Describe(LogLine& line) const;

 private:
  Endpoint agent_;
  TargetEnd end_;
  Duration unlisted_;
};

/**
 * The client repeats a packet, and neither the agent nor its instance answers.
 * The target may return after a partition, so this is only for requests that
 * may be repeated.
 */
class InstanceSilent {
 public:
  /** What a balancer knows of the agent and of one of its flows. */
  struct Facts {
    /** AgentContact::Unreachable. */
    bool unreachable = false;
    /** The agent announced that it restarts. */
    bool restarting = false;
    /** The flow is known to be open at the agent's target. */
    bool confirmed = false;
    /** The client repeats data that was not acknowledged. */
    bool retransmitted = false;
    /** The flow's requests must run at most once. */
    bool runs_once = false;
  };

  static std::optional<InstanceSilent> Check(const Endpoint& agent,
                                             const Facts& facts);
  void Describe(LogLine& line) const;

 private:
  explicit InstanceSilent(const Endpoint& agent) : agent_(agent) {}

  Endpoint agent_;
};

using ResetEvidence = std::variant<RouteAbsent, RouteDropped, FlowDenied,
                                   TargetEnded, InstanceSilent>;

/** Returns the reason that logs and metrics name for the evidence. */
std::string_view ReasonOf(const ResetEvidence& evidence);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_EVIDENCE_RESET_EVIDENCE_H_
