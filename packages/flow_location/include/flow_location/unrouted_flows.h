#ifndef SESAMESADDLE_FLOW_LOCATION_UNROUTED_FLOWS_H_
#define SESAMESADDLE_FLOW_LOCATION_UNROUTED_FLOWS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "evidence/reset_evidence.h"
#include "flow_model/route_table.h"

namespace sesamesaddle {

/**
 * Packets of flows whose route this process does not know. The flow may have
 * opened through a balancer with a later configuration, so its packets wait for
 * that configuration, or for a read of the store that shows that there is none.
 */
class UnroutedFlows {
 public:
  /** A flow is dropped without a result after this; its client retransmits. */
  static constexpr Duration kMaxWait = std::chrono::seconds(2);
  /** Maximum number of flows; packets of further ones are dropped. */
  static constexpr size_t kMaxFlows = 4096;
  /** Maximum number of packets kept for a flow; later ones are dropped. */
  static constexpr size_t kMaxPackets = 16;

  /** The packets of one flow, oldest first. */
  struct Packets {
    Flow flow;
    std::vector<std::string> packets;
  };
  /** A flow without a route in the newest configuration. */
  struct Absent {
    Flow flow;
    /** The client's latest acknowledgement number. */
    uint32_t acknowledged = 0;
    RouteAbsent evidence;
  };

  /** Keeps a packet; drops it if there is no room. */
  void Add(TimePoint now, const Flow& flow, uint32_t acknowledged,
           std::string packet);
  /** Removes and returns the flows that have a route in `routes`. */
  std::vector<Packets> TakeRouted(const RouteTable& routes);
  /**
   * Removes and returns the flows that have no route.
   * @param routes  the newest configuration in the store at `read_began`
   */
  std::vector<Absent> TakeAbsent(const RouteTable& routes,
                                 TimePoint read_began);
  /** Drops flows that have waited for kMaxWait. */
  void Expire(TimePoint now);
  bool empty() const { return flows_.empty(); }
  size_t size() const { return flows_.size(); }

 private:
  struct Waiting {
    TimePoint first_arrived{};
    uint32_t acknowledged = 0;
    std::vector<std::string> packets;
  };

  std::unordered_map<Flow, Waiting> flows_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_LOCATION_UNROUTED_FLOWS_H_
