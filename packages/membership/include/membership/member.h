#ifndef SESAMESADDLE_MEMBERSHIP_MEMBER_H_
#define SESAMESADDLE_MEMBERSHIP_MEMBER_H_

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "messages_types.h"

namespace sesamesaddle {

/** What one process knows of another. */
struct Member {
  schema::MemberRecord record;
  TimePoint state_since;

  MemberId id() const { return MemberId(record.id); }
  Endpoint endpoint() const { return Endpoint::Unpack(record.endpoint); }
  /** Alive, or suspected but not yet found dead. */
  bool present() const {
    return record.state == schema::MemberState::kAlive ||
           record.state == schema::MemberState::kSuspect;
  }
  bool is_agent() const { return record.role == schema::Role::kAgent; }
};

/** @return the id of a process that started at `born_ms` under `name`. */
MemberId MakeMemberId(const std::string& name, int64_t born_ms);

/**
 * Whether `candidate` replaces `current`, by the precedence of SWIM: a higher
 * incarnation wins; with equal incarnations left, dead, suspect, alive win in
 * this order.
 */
bool Supersedes(int32_t candidate_incarnation,
                schema::MemberState::type candidate_state,
                int32_t current_incarnation,
                schema::MemberState::type current_state);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_MEMBERSHIP_MEMBER_H_
