#include "membership/member.h"

#include "core/hash.h"

namespace sesamesaddle {

MemberId MakeMemberId(const std::string& name, int64_t born_ms) {
  return MemberId(
      static_cast<int64_t>(Hash64(name, static_cast<uint64_t>(born_ms))));
}

bool Supersedes(int32_t candidate_incarnation,
                schema::MemberState::type candidate_state,
                int32_t current_incarnation,
                schema::MemberState::type current_state) {
  if (current_state == schema::MemberState::kLeft) return false;
  if (candidate_state == schema::MemberState::kLeft) return true;
  if (candidate_incarnation != current_incarnation) {
    return candidate_incarnation > current_incarnation;
  }
  return candidate_state > current_state;
}

}  // namespace sesamesaddle
