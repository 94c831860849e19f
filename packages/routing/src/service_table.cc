#include "routing/service_table.h"

#include <algorithm>

#include "configuration/change_rules.h"

namespace sesamesaddle {
namespace {

void Erase(std::vector<MemberId>& ids, MemberId id) {
  const auto it = std::find(ids.begin(), ids.end(), id);
  if (it != ids.end()) ids.erase(it);
}

void RemoveAgent(ServiceEntry& entry, MemberId id) {
  Erase(entry.agents, id);
  Erase(entry.leaving, id);
  Erase(entry.home_candidates, id);
}

/** Leaving agents are eligible only if there are no others. */
void SelectHomeCandidates(ServiceEntry& entry) {
  if (entry.leaving.size() == entry.agents.size()) {
    entry.home_candidates = entry.agents;
    return;
  }
  entry.home_candidates.clear();
  for (const MemberId id : entry.agents) {
    const bool leaving = std::find(entry.leaving.begin(), entry.leaving.end(),
                                   id) != entry.leaving.end();
    if (!leaving) entry.home_candidates.push_back(id);
  }
}

}  // namespace

void ServiceTable::SetConfiguration(
    const schema::Configuration& configuration) {
  const bool modes_changed = instance_modes_ != configuration.instances ||
                             evacuated_zones_ != configuration.evacuated_zones;
  instance_modes_ = configuration.instances;
  evacuated_zones_ = configuration.evacuated_zones;
  std::unordered_map<ServiceId, ServiceEntry> services;
  for (const auto& [name, service] : configuration.services) {
    const ServiceId id(service.id);
    const auto known = services_.find(id);
    const bool same_targets = known != services_.end() &&
                              known->second.service.targets == service.targets;
    ServiceEntry& entry = services[id];
    if (same_targets) entry = std::move(known->second);
    entry.service = service;
    if (!same_targets || modes_changed) RebuildAgents(entry);
  }
  services_ = std::move(services);
  by_address_.clear();
  for (const auto& [id, entry] : services_) {
    by_address_[Endpoint::Unpack(entry.service.address)] = id;
  }
}

void ServiceTable::SetMember(const Member& member) {
  if (!member.is_agent()) return;
  if (!member.present()) {
    if (agents_.erase(member.id()) == 0) return;
    for (auto& [id, entry] : services_) {
      RemoveAgent(entry, member.id());
      SelectHomeCandidates(entry);
    }
    return;
  }
  const Agent agent{member.record.name, member.record.zone,
                    member.record.draining};
  agents_[member.id()] = agent;
  for (auto& [id, entry] : services_) {
    if (!MayServe(entry.service, agent.name, agent.zone)) continue;
    RemoveAgent(entry, member.id());
    AddAgent(entry, member.id(), agent);
    SelectHomeCandidates(entry);
  }
}

const ServiceEntry* ServiceTable::FindByAddress(const Endpoint& address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? nullptr : Find(it->second);
}

const ServiceEntry* ServiceTable::Find(ServiceId service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

bool ServiceTable::Serves(MemberId agent, ServiceId service) const {
  const ServiceEntry* entry = Find(service);
  if (entry == nullptr) return false;
  const auto known = agents_.find(agent);
  return known != agents_.end() &&
         MayServe(entry->service, known->second.name, known->second.zone);
}

bool ServiceTable::Leaving(MemberId agent) const {
  const auto known = agents_.find(agent);
  return known != agents_.end() && IsLeaving(known->second);
}

void ServiceTable::RebuildAgents(ServiceEntry& entry) {
  entry.agents.clear();
  entry.leaving.clear();
  for (const auto& [id, agent] : agents_) {
    if (MayServe(entry.service, agent.name, agent.zone)) {
      AddAgent(entry, id, agent);
    }
  }
  SelectHomeCandidates(entry);
}

void ServiceTable::AddAgent(ServiceEntry& entry, MemberId id,
                            const Agent& agent) {
  entry.agents.push_back(id);
  if (IsLeaving(agent)) entry.leaving.push_back(id);
}

bool ServiceTable::IsLeaving(const Agent& agent) const {
  return agent.draining || instance_modes_.count(agent.name) != 0 ||
         evacuated_zones_.count(agent.zone) != 0;
}

}  // namespace sesamesaddle
