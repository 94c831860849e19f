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

/** A service and the agents beside the targets that may serve it. */
struct ServiceEntry {
  schema::Service service;
  /** Agents that rank for flows; draining ones only if there is no other. */
  std::vector<MemberId> home_candidates;
  /** Every present agent that may serve it, draining ones included. */
  std::vector<MemberId> agents;
  /** Agents that leave: draining or retired. */
  std::vector<MemberId> leaving;
};

/**
 * Which agents serve which address, from the configuration and the members.
 * A change of one service or one member touches only what it concerns.
 */
class ServiceTable {
 public:
  /** Takes over a configuration; unchanged services keep their entries. */
  void SetConfiguration(const schema::Configuration& configuration);
  /** Takes over what is known of an agent; balancers are ignored. */
  void SetMember(const Member& member);

  /** @return the service of an address, or null. */
  const ServiceEntry* FindByAddress(const Endpoint& address) const;
  const ServiceEntry* Find(ServiceId service) const;
  /** Whether the agent may serve the service. */
  bool Serves(MemberId agent, ServiceId service) const;
  /** Whether the agent is to take no new work. */
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

  void Fill(ServiceEntry& entry);
  void PlaceAgent(ServiceEntry& entry, MemberId id, const Agent& agent);
  bool IsLeaving(const Agent& agent) const;

  std::unordered_map<ServiceId, ServiceEntry> services_;
  std::unordered_map<Endpoint, ServiceId> by_address_;
  std::map<MemberId, Agent> agents_;
  std::map<std::string, schema::InstanceMode::type> modes_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ROUTING_SERVICE_TABLE_H_
