#include "order_event.h"

#include <array>
#include <cstddef>

namespace sesamesaddle {
namespace {

using E = OrderEvent;

constexpr size_t kKinds = static_cast<size_t>(E::kEntryOfUnknownService) + 1;
/** In the order of OrderEvent. */
constexpr std::array<std::string_view, kKinds> kNames = {
    "agent restarts",
    "agent crashes",
    "balancer restarts",
    "balancer crashes",
    "entry taken away",
    "entry lapses",
    "entry written again",
    "route added",
    "route dropped",
    "balancer reads copy",
    "balancer held up",
    "balancer held up often",
    "agent held up",
    "links fail",
    "links recover",
    "client links fail",
    "client links recover",
    "reports delayed",
    "targets slow",
    "targets fast",
    "target dies",
    "machine dies",
    "syn copy arrives late",
    "clients pause",
    "announcement arrives late",
    "announcements cut off",
    "announcement arrives twice",
    "deregistration arrives late",
    "odd announcements",
    "odd announcement comes first",
    "port used again",
    "target starts again",
    "target starts under same id",
    "target starts with clock set back",
    "zone loses power",
    "address used by other service",
    "all balancers crash",
    "half of balancers crash",
    "all agents crash",
    "half of agents crash",
    "half of fleet crashes",
    "key taken away",
    "key taken away as balancers crash",
    "entry unreadable",
    "entry of unknown state",
    "entry of other agent",
    "entry of unknown service"};

}  // namespace

std::string_view NameOf(OrderEvent event) {
  return kNames.at(static_cast<size_t>(event));
}

bool IsTargetEvent(OrderEvent event) {
  return event > OrderEvent::kClientsPause;
}

OrderMix AllEvents() {
  OrderMix mix{"all events", {}};
  for (uint8_t i = 0; i <= static_cast<uint8_t>(E::kSynCopyArrivesLate); ++i) {
    mix.events.push_back(static_cast<OrderEvent>(i));
  }
  return mix;
}

OrderMix AnnouncementMix() {
  return {"announcements",
          {E::kAnnouncementArrivesLate, E::kAnnouncementsCutOff,
           E::kAnnouncementArrivesTwice, E::kDeregistrationArrivesLate,
           E::kOddAnnouncements, E::kOddAnnouncementComesFirst,
           E::kTargetStartsAgain, E::kTargetStartsUnderSameId,
           E::kAgentRestarts, E::kPortUsedAgain}};
}

std::vector<OrderMix> TargetMixes() {
  const OrderMix starts{
      "targets start again",
      {E::kTargetStartsAgain, E::kTargetStartsUnderSameId,
       E::kTargetStartsWithClockSetBack, E::kZoneLosesPower, E::kZoneLosesPower,
       E::kAnnouncementsCutOff, E::kAgentCrashes, E::kAgentRestarts,
       E::kBalancerRestarts, E::kPortUsedAgain}};
  const OrderMix keys{
      "keys are lost",
      {E::kKeyTakenAway, E::kKeyTakenAwayAsBalancersCrash,
       E::kKeyTakenAwayAsBalancersCrash, E::kClientsPause, E::kClientsPause,
       E::kAgentCrashes, E::kAgentRestarts, E::kAllBalancersCrash,
       E::kHalfOfBalancersCrash, E::kAllAgentsCrash, E::kHalfOfAgentsCrash,
       E::kHalfOfFleetCrashes}};
  const OrderMix entries{
      "odd entries",
      {E::kEntryUnreadable, E::kEntryOfUnknownState, E::kEntryOfOtherAgent,
       E::kBalancerRestarts, E::kBalancerCrashes, E::kAgentRestarts,
       E::kAddressUsedByOtherService, E::kTargetStartsAgain}};
  OrderMix everything{"every event", {}};
  for (uint8_t i = 0; i < kKinds; ++i) {
    const auto event = static_cast<OrderEvent>(i);
    // Another kind of these ends and starts targets.
    if (event == E::kTargetDies || event == E::kEntryOfUnknownService) continue;
    everything.events.push_back(event);
  }
  return {starts, keys, entries, everything};
}

OrderMix UnknownServiceMix() {
  return {"entries of unknown services",
          {E::kEntryOfUnknownService, E::kAgentRestarts, E::kBalancerRestarts}};
}

}  // namespace sesamesaddle
