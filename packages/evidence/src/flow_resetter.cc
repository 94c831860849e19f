#include "evidence/flow_resetter.h"

#include <variant>

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";
constexpr uint32_t kOutsideWindow = 0;

std::string_view NameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNoRoute:
      return "no-route";
    case Refusal::kNoTarget:
      return "no-target";
    case Refusal::kOverload:
      return "overload";
    case Refusal::kZonesEvacuated:
      return "zones-evacuated";
  }
  return "unknown";
}

}  // namespace

void FlowResetter::Reset(const Flow& flow, uint32_t acknowledged,
                         const ResetEvidence& evidence, int64_t version) {
  {
    LogLine line(log_, EventKind::kFlowReset, kLogComponent, "flow-reset");
    line.Add("flow", flow)
        .Add("reason", ReasonOf(evidence))
        .Add("config", version);
    std::visit([&line](const auto& fact) { fact.Describe(line); }, evidence);
  }
  output_.ToClient(flow.caller, codec_.EncodeReset(flow, acknowledged));
}

void FlowResetter::Refuse(const Flow& flow, Refusal refusal,
                          const AllCopiesSeen& evidence, int64_t version) {
  {
    LogLine line(log_, EventKind::kFlowReset, kLogComponent, "flow-reset");
    line.Add("flow", flow)
        .Add("reason", NameOf(refusal))
        .Add("config", version);
    evidence.Describe(line);
  }
  output_.ToClient(flow.caller, codec_.EncodeReset(flow, kOutsideWindow));
}

}  // namespace sesamesaddle
