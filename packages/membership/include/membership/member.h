#ifndef SESAMESADDLE_MEMBERSHIP_MEMBER_H_
#define SESAMESADDLE_MEMBERSHIP_MEMBER_H_

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "messages_types.h"

namespace sesamesaddle {

/** The local view of another process. */
struct Member {
  schema::MemberRecord record;
  TimePoint state_since;

  MemberId id() const { return MemberId(record.id); }
  Endpoint endpoint() const { return Endpoint::Unpack(record.endpoint); }
  /** Whether the state is alive or suspect. */
  bool present() const {
    return record.state == schema::MemberState::kAlive ||
           record.state == schema::MemberState::kSuspect;
  }
  bool is_agent() const { return record.role == schema::Role::kAgent; }
};

/** Returns the id of the process `name` that started at `born_ms`. */
MemberId MakeMemberId(const std::string& name, int64_t born_ms);

/**
 * Returns whether the candidate state overrides the current one, by the
 * precedence rules of SWIM: left is final and overrides every other state;
 * otherwise the higher incarnation wins, and for equal incarnations dead
 * overrides suspect, and suspect overrides alive.
 */
bool Supersedes(int32_t candidate_incarnation,
                schema::MemberState::type candidate_state,
                int32_t current_incarnation,
                schema::MemberState::type current_state);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_MEMBERSHIP_MEMBER_H_
