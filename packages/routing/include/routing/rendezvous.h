#ifndef SESAMESADDLE_ROUTING_RENDEZVOUS_H_
#define SESAMESADDLE_ROUTING_RENDEZVOUS_H_

#include <cstdint>
#include <vector>

#include "core/endpoint.h"
#include "core/strong_id.h"

namespace sesamesaddle {

/**
 * Returns the weight of a member for a flow in rendezvous hashing (Thaler and
 * Ravishankar, 1998). The member of the highest weight is the flow's first home
 * agent. A member that joins or leaves moves only the flows it gains or loses.
 */
uint64_t RendezvousWeight(const Flow& flow, MemberId member);

/**
 * The home agents of a flow, which hold its directory entry: the two members of
 * the highest weight.
 */
struct HomeAgents {
  MemberId first;   // Zero if there are no members.
  MemberId second;  // Zero if there is only one member.
};

/** Returns the home agents of a flow, in time linear in the members. */
HomeAgents FindHomeAgents(const Flow& flow,
                          const std::vector<MemberId>& members);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ROUTING_RENDEZVOUS_H_
