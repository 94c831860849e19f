#ifndef SESAMESADDLE_EVIDENCE_SYN_COPIES_H_
#define SESAMESADDLE_EVIDENCE_SYN_COPIES_H_

#include <algorithm>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "admission/syn_patience.h"
#include "core/event_log.h"
#include "core/time.h"

namespace sesamesaddle {

/**
 * The copies of one SYN that came to this balancer. A SYN may have waited in a
 * socket while the process did not run, so only the earliest time of its
 * arrival is known.
 */
class SynCopies {
 public:
  /**
   * Records a copy.
   * @param number  0 for the first SYN; at most kMaxNumber counts
   * @param not_before  time up to which everything that arrived was handled
   */
  void OnCopy(uint32_t number, TimePoint not_before);

  /** Whether the first SYN arrived, without which a copy proves nothing. */
  bool has_first() const { return seen_.test(0); }
  /** Returns the highest number of a copy that arrived. */
  uint32_t highest() const { return highest_; }
  /** Returns the longest time since which the client may have sent its SYN. */
  Duration LongestWait(TimePoint now) const { return now - sent_not_before_; }
  /** Whether all copies that are sent within that time of the SYN arrived. */
  bool HasAllOf(Duration waited) const;

 private:
  static constexpr uint32_t kMaxNumber = 2;

  std::bitset<kMaxNumber + 1> seen_;
  uint32_t highest_ = 0;
  TimePoint sent_not_before_{};
};

/**
 * All copies of a SYN that its client can have sent came to this balancer, so
 * that no other one has placed the flow.
 */
class AllCopiesSeen {
 public:
  static std::optional<AllCopiesSeen> Check(TimePoint now,
                                            const SynCopies& copies);
  void Describe(LogLine& line) const;

 private:
  AllCopiesSeen(Duration longest_wait, uint32_t copies)
      : longest_wait_(longest_wait), copies_(copies) {}

  Duration longest_wait_;
  uint32_t copies_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_EVIDENCE_SYN_COPIES_H_
