#ifndef SESAMESADDLE_ROUTING_SERVICE_TABLE_H_
#define SESAMESADDLE_ROUTING_SERVICE_TABLE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "configuration_types.h"
#include "core/endpoint.h"
#include "core/strong_id.h"
#include "membership/member.h"

namespace sesamesaddle {

/** A service and the agents whose targets may serve it. */
struct ServiceEntry {
  schema::Service service;
  /**
   * Agents eligible as home agents of flows. Leaving agents are included only
   * if there are no others.
   */
  std::vector<MemberId> home_candidates;
  /** All present agents that may serve it, including leaving ones. */
  std::vector<MemberId> agents;
  /** Agents that are draining or retired, or in an evacuated zone. */
  std::vector<MemberId> leaving;
};

/**
 * Maps service addresses to agents, from the configuration and the members.
 * A change of one service or one member updates only the entries it affects.
 */
class ServiceTable {
 public:
  /** Replaces the configuration; unchanged services keep their entries. */
  void SetConfiguration(const schema::Configuration& configuration);
  /** Updates or removes an agent; balancers are ignored. */
  void SetMember(const Member& member);

  /** Returns the service at an address, or null. */
  const ServiceEntry* FindByAddress(const Endpoint& address) const;
  /** Returns the entry of a service, or null. */
  const ServiceEntry* Find(ServiceId service) const;
  /** Returns whether the agent may serve the service. */
  bool Serves(MemberId agent, ServiceId service) const;
  /**
   * Returns whether the agent gets no new work, as it is draining, retired or
   * in an evacuated zone.
   */
  bool Leaving(MemberId agent) const;
  const std::unordered_map<ServiceId, ServiceEntry>& services() const {
    return services_;
  }

 private:
  struct Agent {
    std::string name;
    std::string zone;
    bool draining = false;
  };

  void RebuildAgents(ServiceEntry& entry);
  void AddAgent(ServiceEntry& entry, MemberId id, const Agent& agent);
  bool IsLeaving(const Agent& agent) const;

  std::unordered_map<ServiceId, ServiceEntry> services_;
  std::unordered_map<Endpoint, ServiceId> by_address_;
  std::map<MemberId, Agent> agents_;
  std::map<std::string, schema::InstanceMode::type> instance_modes_;
  std::map<std::string, int64_t> evacuated_zones_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ROUTING_SERVICE_TABLE_H_
