#ifndef SESAMESADDLE_ADMISSION_SYN_PATIENCE_H_
#define SESAMESADDLE_ADMISSION_SYN_PATIENCE_H_

#include <cstdint>

#include "core/time.h"

namespace sesamesaddle {

/**
 * Tells SYNs whose clients still wait from those whose clients have probably
 * given up: a client that waits sends copies. It answers for the load after an
 * outage, when requests that were sent before it reach their deadlines in a
 * queue, and a slot that is reserved for one of them is lost to the others.
 */
class SynPatience {
 public:
  /** Times after the first SYN at which a client sends its copies. */
  static constexpr Duration kFirstCopy = std::chrono::milliseconds(200);
  static constexpr Duration kSecondCopy = std::chrono::milliseconds(600);
  /** Time for a copy to arrive, and for the scheduling of both ends. */
  static constexpr Duration kSlack = std::chrono::milliseconds(50);

  /**
   * A client gives an attempt up after this time without a SYN-ACK, and opens
   * another flow if its own deadline allows.
   */
  static constexpr Duration kAttemptTimeout = std::chrono::milliseconds(1400);

  /**
   * Returns the least time for which the client of a SYN has waited. After a
   * restart of all balancers a copy may be the first SYN that any of them sees.
   * @param copies  number of copies that the client had sent by this SYN
   */
  static Duration MinWait(uint32_t copies) {
    if (copies == 0) return Duration::zero();
    return copies == 1 ? kFirstCopy : kSecondCopy;
  }
  /**
   * Whether a copy is overdue. It may also be lost, so the SYN is not dropped.
   * @param waited  time since the flow's first SYN arrived
   * @param copies  number of copies that the client had sent by the latest SYN
   */
  static bool ProbablyAbandoned(Duration waited, uint32_t copies) {
    const bool first_overdue = copies < 1 && waited > kFirstCopy + kSlack;
    const bool second_overdue = copies < 2 && waited > kSecondCopy + kSlack;
    return first_overdue || second_overdue;
  }
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ADMISSION_SYN_PATIENCE_H_
