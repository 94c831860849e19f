#ifndef SESAMESADDLE_ROUTING_RENDEZVOUS_H_
#define SESAMESADDLE_ROUTING_RENDEZVOUS_H_

#include <cstdint>
#include <vector>

#include "core/endpoint.h"
#include "core/strong_id.h"

namespace sesamesaddle {

/**
 * The weight of a member for a flow (Thaler, Ravishankar 1998). The member of
 * the highest weight is the flow's first home; a member that joins or leaves
 * moves only the flows it gains or loses.
 */
uint64_t RendezvousWeight(const Flow& flow, MemberId member);

/** The two members of the highest weight. */
struct HomeAgents {
  MemberId first;   // Zero if there is no member at all.
  MemberId second;  // Zero if there is only one member.
};

/** Ranks the members for the flow; the cost grows with their number. */
HomeAgents FindHomeAgents(const Flow& flow,
                          const std::vector<MemberId>& members);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ROUTING_RENDEZVOUS_H_
