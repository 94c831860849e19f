#include "evidence/reset_evidence.h"

#include <type_traits>

namespace sesamesaddle {
namespace {

std::string_view NameOf(TargetEnd end) {
  switch (end) {
    case TargetEnd::kReported:
      return "reported";
    case TargetEnd::kUnreachable:
      return "unreachable";
    case TargetEnd::kAbsent:
      return "absent";
  }
  return "unknown";
}

}  // namespace

std::optional<RouteAbsent> RouteAbsent::Check(TimePoint arrived,
                                              TimePoint read_began,
                                              int64_t version) {
  if (read_began <= arrived) return std::nullopt;
  return RouteAbsent(read_began - arrived, version);
}

void RouteAbsent::Describe(LogLine& line) const {
  line.Add("read_after", read_after_).Add("read_version", version_);
}

std::optional<RouteDropped> RouteDropped::Check(std::optional<int64_t> placed,
                                                int64_t dropped) {
  if (!placed || *placed >= dropped) return std::nullopt;
  return RouteDropped(*placed, dropped);
}

void RouteDropped::Describe(LogLine& line) const {
  line.Add("placed_version", placed_).Add("dropped_version", dropped_);
}

std::optional<FlowDenied> FlowDenied::Check(const Search& search) {
  if (search.directory_as_of < search.started) return std::nullopt;
  if (search.denied + search.ended < search.agents) return std::nullopt;
  return FlowDenied(search);
}

void FlowDenied::Describe(LogLine& line) const {
  line.Add("agents", search_.agents)
      .Add("denied", search_.denied)
      .Add("ended", search_.ended)
      .Add("directory_after", search_.directory_as_of - search_.started);
}

void TargetEnded::Describe(LogLine& line) const {
  line.Add("agent", agent_).Add("end", NameOf(end_)).Add("unlisted", unlisted_);
}

std::optional<InstanceSilent> InstanceSilent::Check(const Endpoint& agent,
                                                    const Facts& facts) {
  const bool silent = facts.unreachable && !facts.restarting;
  const bool waiting = facts.confirmed && facts.retransmitted;
  if (!silent || !waiting || facts.runs_once) return std::nullopt;
  return InstanceSilent(agent);
}

void InstanceSilent::Describe(LogLine& line) const {
  line.Add("agent", agent_);
}

std::string_view ReasonOf(const ResetEvidence& evidence) {
  return std::visit(
      [](const auto& fact) -> std::string_view {
        using Fact = std::decay_t<decltype(fact)>;
        if constexpr (std::is_same_v<Fact, RouteAbsent>) return "no-route";
        if constexpr (std::is_same_v<Fact, RouteDropped>) {
          return "route-dropped";
        }
        if constexpr (std::is_same_v<Fact, FlowDenied>) {
          return "nobody-holds-flow";
        }
        if constexpr (std::is_same_v<Fact, TargetEnded>) return "target-gone";
        return "target-silent";
      },
      evidence);
}

}  // namespace sesamesaddle
