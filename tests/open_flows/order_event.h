#ifndef SESAMESADDLE_TESTS_OPEN_FLOWS_ORDER_EVENT_H_
#define SESAMESADDLE_TESTS_OPEN_FLOWS_ORDER_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sesamesaddle {

/** The kinds of events that an order consists of. */
enum class OrderEvent : uint8_t {
  kAgentRestarts,
  kAgentCrashes,
  kBalancerRestarts,
  kBalancerCrashes,
  kEntryTakenAway,
  kEntryLapses,
  kEntryWrittenAgain,
  kRouteAdded,
  kRouteDropped,
  kBalancerReadsCopy,
  kBalancerHeldUp,
  kBalancerHeldUpOften,
  kAgentHeldUp,
  kLinksFail,
  kLinksRecover,
  kClientLinksFail,
  kClientLinksRecover,
  kReportsDelayed,
  kTargetsSlow,
  kTargetsFast,
  kTargetDies,
  kMachineDies,
  kSynCopyArrivesLate,
  /** For longer than agents report, record or verify. */
  kClientsPause,
  // Events of TargetEvents; in mixes with any of them OrderJudge judges.
  kAnnouncementArrivesLate,
  kAnnouncementsCutOff,
  kAnnouncementArrivesTwice,
  kDeregistrationArrivesLate,
  kOddAnnouncements,
  kOddAnnouncementComesFirst,
  kPortUsedAgain,
  kTargetStartsAgain,
  kTargetStartsUnderSameId,
  kTargetStartsWithClockSetBack,
  kZoneLosesPower,
  kAddressUsedByOtherService,
  kAllBalancersCrash,
  kHalfOfBalancersCrash,
  kAllAgentsCrash,
  kHalfOfAgentsCrash,
  kHalfOfFleetCrashes,
  kKeyTakenAway,
  kKeyTakenAwayAsBalancersCrash,
  kEntryUnreadable,
  kEntryOfUnknownState,
  kEntryOfOtherAgent,
  kEntryOfUnknownService,
};

/** Returns the name of a kind, for the summary of a run. */
std::string_view NameOf(OrderEvent event);
/** Whether the kind is one of TargetEvents. */
bool IsTargetEvent(OrderEvent event);

/**
 * Kinds of events that are played together; one that is named twice is drawn
 * twice as often.
 */
struct OrderMix {
  std::string name;
  std::vector<OrderEvent> events;
};

/** Returns the mix of all kinds but those of TargetEvents. */
OrderMix AllEvents();
/** Returns the mix of announcements that are late or of another writer. */
OrderMix AnnouncementMix();
/**
 * Returns the other mixes with kinds of TargetEvents, all of them without
 * kEntryOfUnknownService.
 */
std::vector<OrderMix> TargetMixes();
/** Returns the mix of entries of services that are not configured. */
OrderMix UnknownServiceMix();

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_OPEN_FLOWS_ORDER_EVENT_H_
