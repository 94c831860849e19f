#include "evidence/syn_copies.h"

namespace sesamesaddle {

void SynCopies::OnCopy(uint32_t number, TimePoint not_before) {
  const uint32_t counted = std::min(number, kMaxNumber);
  seen_.set(counted);
  highest_ = std::max(highest_, counted);
  sent_not_before_ =
      std::max(sent_not_before_, not_before - SynPatience::MinWait(counted));
}

bool SynCopies::HasAllOf(Duration waited) const {
  if (!has_first()) return false;
  if (waited >= SynPatience::kFirstCopy && !seen_.test(1)) return false;
  return waited < SynPatience::kSecondCopy || seen_.test(2);
}

std::optional<AllCopiesSeen> AllCopiesSeen::Check(TimePoint now,
                                                  const SynCopies& copies) {
  const Duration longest_wait = copies.LongestWait(now);
  if (!copies.HasAllOf(longest_wait)) return std::nullopt;
  return AllCopiesSeen(longest_wait, copies.highest());
}

void AllCopiesSeen::Describe(LogLine& line) const {
  line.Add("longest_wait", longest_wait_).Add("copies", copies_);
}

}  // namespace sesamesaddle
