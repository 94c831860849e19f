#include "agent/flow_registry.h"

#include <algorithm>

#include "schema/flow_key.h"

namespace sesamesaddle {
namespace {

constexpr int16_t kMaxHops = 6;
// From this hop on an agent looks a flow up itself even if other agents are the
// flow's home agents by its member list: two inconsistent member lists could
// otherwise forward a datagram back and forth.
constexpr int16_t kSkipHomeAgentCheckHops = 3;
constexpr Duration kSweepPeriod = std::chrono::seconds(10);

bool Contains(const std::vector<MemberId>& ids, MemberId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

FlowRegistry::FlowRegistry(ControlPlane& control, LoadView& loads,
                           PeerLiveness& liveness, RandomSource& random,
                           const FlowRegistryOptions& options)
    : control_(control),
      loads_(loads),
      liveness_(liveness),
      random_(random),
      options_(options),
      registrar_(control) {}

void FlowRegistry::OnEnvelope(TimePoint now, const Endpoint& from,
                              const schema::Envelope& envelope, Outbox& out) {
  const Flow flow = FromKey(envelope.flow);
  if (OwnedFlow* owned = Find(flow)) {
    if (!owned->handing_over) {
      ready_.push_back(envelope);
    } else if (owned->buffered.size() < options_.max_buffered_per_flow) {
      owned->buffered.push_back(envelope);
    }
    return;
  }
  if (ForwardToNewOwner(now, flow, envelope, out)) return;
  if (envelope.purpose == schema::Purpose::kAssign) {
    OnAssignment(now, from, envelope, out);
    return;
  }
  if (const auto lookup = lookups_.find(flow); lookup != lookups_.end()) {
    if (lookup->second.buffered.size() < options_.max_buffered_per_flow) {
      lookup->second.buffered.push_back(envelope);
    }
    return;
  }
  if (ForwardToDirectoryOwner(now, flow, envelope, out)) return;
  if (envelope.hops >= kMaxHops) {
    ++counters_.dropped_hops;
    return;
  }
  if (envelope.purpose == schema::Purpose::kForward && envelope.hops > 0) {
    RemoveStaleEntry(from, envelope, out);
  }
  const MemberId home = OtherHomeAgent(now, flow, envelope);
  if (home != MemberId()) {
    Forward(now, envelope, home, schema::Purpose::kRoute, Epoch(), out);
    return;
  }
  StartLookup(now, flow, envelope, out);
}

bool FlowRegistry::ForwardToNewOwner(TimePoint now, const Flow& flow,
                                     const schema::Envelope& envelope,
                                     Outbox& out) {
  const auto moved = moved_.find(flow);
  if (moved == moved_.end()) return false;
  const MemberId owner = moved->second.owner;
  if (IsUsableOwner(now, owner) &&
      Forward(now, envelope, owner, schema::Purpose::kForward, Epoch(), out)) {
    return true;
  }
  moved_.erase(moved);
  return false;
}

void FlowRegistry::OnAssignment(TimePoint now, const Endpoint& from,
                                const schema::Envelope& envelope, Outbox& out) {
  if (control_.services().Leaving(control_.self_id())) {
    schema::Misrouted refusal;
    refusal.envelope = envelope;
    refusal.reason = schema::MisrouteReason::kLeaving;
    refusal.revision = control_.replica().revision().value();
    out.Send(from, std::move(refusal));
    return;
  }
  TakeOwnership(now, FromKey(envelope.flow), ServiceId(envelope.service_id),
                Epoch(envelope.epoch));
  ready_.push_back(envelope);
}

MemberId FlowRegistry::OtherHomeAgent(TimePoint now, const Flow& flow,
                                      const schema::Envelope& envelope) const {
  const ServiceEntry* entry = ServiceOf(flow);
  if (entry == nullptr || envelope.hops >= kSkipHomeAgentCheckHops) {
    return MemberId();
  }
  const HomeAgents home_agents = FindHomeAgents(flow, entry->home_candidates);
  const MemberId self = control_.self_id();
  // A balancer skips a silent first home agent and sends to the second.
  const bool queried_as_second =
      home_agents.second == self && envelope.purpose == schema::Purpose::kRoute;
  if (home_agents.first == self || queried_as_second) return MemberId();
  return IsUsableOwner(now, home_agents.first) ? home_agents.first : MemberId();
}

void FlowRegistry::RemoveStaleEntry(const Endpoint& home,
                                    const schema::Envelope& envelope,
                                    Outbox& out) {
  schema::DirectoryEntry entry;
  entry.flow = envelope.flow;
  entry.owner = control_.self_id().value();
  entry.epoch = envelope.epoch;
  schema::DirectoryUpdate update;
  update.batch = 0;  // Not repeated: the next datagram triggers it again.
  update.sender = control_.self_id().value();
  update.removed.push_back(entry);
  out.Send(home, std::move(update));
}

bool FlowRegistry::ForwardToDirectoryOwner(TimePoint now, const Flow& flow,
                                           const schema::Envelope& envelope,
                                           Outbox& out) {
  if (!options_.use_directory) return false;
  const auto known = directory_.Find(flow);
  if (!known) return false;
  if (known->owner == control_.self_id()) {
    directory_.Remove(flow, known->owner);  // Of a flow dropped as idle.
    return false;
  }
  if (!IsUsableOwner(now, known->owner)) return false;
  const auto purpose = unconfirmed_.count(flow) != 0
                           ? schema::Purpose::kAssign
                           : schema::Purpose::kForward;
  return Forward(now, envelope, known->owner, purpose, known->epoch, out);
}

bool FlowRegistry::IsUsableOwner(TimePoint now, MemberId owner) const {
  const Member* member = control_.membership().Find(owner);
  return member != nullptr && member->present() &&
         !liveness_.Silent(now, owner);
}

bool FlowRegistry::Forward(TimePoint now, const schema::Envelope& envelope,
                           MemberId to, schema::Purpose::type purpose,
                           Epoch epoch, Outbox& out) {
  const Member* member = control_.membership().Find(to);
  if (member == nullptr || envelope.hops >= kMaxHops) return false;
  schema::Envelope copy = envelope;
  copy.recipient = to.value();
  copy.purpose = purpose;
  copy.epoch = epoch.value();
  copy.hops = static_cast<int16_t>(envelope.hops + 1);
  copy.revision = control_.replica().revision().value();
  ++counters_.forwarded;
  liveness_.OnSent(now, to);
  out.Send(member->endpoint(), std::move(copy));
  return true;
}

// ---- Lookups.

void FlowRegistry::StartLookup(TimePoint now, const Flow& flow,
                               const schema::Envelope& envelope, Outbox& out) {
  const ServiceEntry* entry = ServiceOf(flow);
  if (entry == nullptr) return;
  Lookup lookup;
  lookup.service = ServiceId(entry->service.id);
  lookup.query_id = next_query_id_++;
  lookup.deadline = now + options_.lookup_timeout;
  lookup.next_retry = now + options_.lookup_retry;
  lookup.buffered.push_back(envelope);
  if (options_.use_directory) {
    const auto stale = directory_.Find(flow);
    if (stale) lookup.known_epoch = stale->epoch;
    lookup.awaiting = ChooseQueried(now, flow, *entry);
  }
  ++counters_.lookups;
  const auto& stored = lookups_.emplace(flow, std::move(lookup)).first->second;
  if (stored.awaiting.empty()) {
    PlaceFlow(now, flow, out);
    return;
  }
  SendQueries(flow, stored, out);
}

std::set<MemberId> FlowRegistry::ChooseQueried(
    TimePoint now, const Flow& flow, const ServiceEntry& entry) const {
  const MemberId self = control_.self_id();
  std::set<MemberId> queried;
  const auto add = [&](MemberId id) {
    if (id != self && IsUsableOwner(now, id)) queried.insert(id);
  };
  const HomeAgents home_agents = FindHomeAgents(flow, entry.home_candidates);
  if (home_agents.first != MemberId()) add(home_agents.first);
  if (home_agents.second != MemberId()) add(home_agents.second);
  const auto changed =
      home_candidates_changed_at_.find(ServiceId(entry.service.id));
  const bool settled = changed != home_candidates_changed_at_.end() &&
                       now - changed->second >= options_.query_all_period;
  if (settled) return queried;
  // The home agents may have changed twice before the owner could register
  // again, so the owner itself has to be among the queried agents.
  for (const MemberId id : entry.agents) {
    if (queried.size() >= options_.max_queried) break;
    add(id);
  }
  return queried;
}

void FlowRegistry::SendQueries(const Flow& flow, const Lookup& lookup,
                               Outbox& out) {
  schema::DirectoryQuery query;
  query.query = lookup.query_id;
  query.flow = ToKey(flow);
  query.service_id = lookup.service.value();
  query.sender = control_.self_id().value();
  for (const MemberId id : lookup.awaiting) {
    const Member* member = control_.membership().Find(id);
    if (member != nullptr) out.Send(member->endpoint(), query);
  }
}

void FlowRegistry::OnQuery(const Endpoint& from,
                           const schema::DirectoryQuery& query, Outbox& out) {
  const Flow flow = FromKey(query.flow);
  const MemberId self = control_.self_id();
  schema::DirectoryReply reply;
  reply.query = query.query;
  reply.flow = query.flow;
  reply.placing = false;
  std::optional<Ownership> known = directory_.Find(flow);
  if (const OwnedFlow* owned = Find(flow)) {
    known = Ownership{self, owned->epoch};
  } else if (const auto moved = moved_.find(flow); moved != moved_.end()) {
    if (!known) known = Ownership{moved->second.owner, Epoch()};
  } else if (known && known->owner == self) {
    known.reset();
  }
  if (known) {
    schema::DirectoryEntry entry;
    entry.flow = query.flow;
    entry.owner = known->owner.value();
    entry.epoch = known->epoch.value();
    reply.__set_entry(entry);
  } else if (const auto lookup = lookups_.find(flow);
             lookup != lookups_.end()) {
    // Both agents look up the same flow: the one of higher weight places it.
    const MemberId requester(query.sender);
    reply.placing =
        RendezvousWeight(flow, self) > RendezvousWeight(flow, requester);
  }
  out.Send(from, std::move(reply));
}

void FlowRegistry::OnReply(TimePoint now, const Endpoint& from,
                           const schema::DirectoryReply& reply, Outbox& out) {
  const Flow flow = FromKey(reply.flow);
  const auto it = lookups_.find(flow);
  if (it == lookups_.end() || it->second.query_id != reply.query) return;
  Lookup& lookup = it->second;
  MemberId replier;
  for (const MemberId id : lookup.awaiting) {
    const Member* member = control_.membership().Find(id);
    if (member != nullptr && member->endpoint() == from) replier = id;
  }
  if (replier == MemberId()) return;
  lookup.awaiting.erase(replier);
  if (reply.placing) {
    ForwardBuffered(now, flow, replier, schema::Purpose::kRoute, Epoch(), out);
    return;
  }
  if (reply.__isset.entry) {
    const Ownership found{MemberId(reply.entry.owner),
                          Epoch(reply.entry.epoch)};
    if (IsUsableOwner(now, found.owner)) {
      directory_.Register(flow, found);
      ForwardBuffered(now, flow, found.owner, schema::Purpose::kForward,
                      found.epoch, out);
      return;
    }
    if (lookup.known_epoch < found.epoch) lookup.known_epoch = found.epoch;
  }
  if (lookup.awaiting.empty()) PlaceFlow(now, flow, out);
}

void FlowRegistry::ForwardBuffered(TimePoint now, const Flow& flow, MemberId to,
                                   schema::Purpose::type purpose, Epoch epoch,
                                   Outbox& out) {
  const auto it = lookups_.find(flow);
  const std::vector<schema::Envelope> buffered = std::move(it->second.buffered);
  lookups_.erase(it);
  for (const schema::Envelope& envelope : buffered) {
    Forward(now, envelope, to, purpose, epoch, out);
  }
}

void FlowRegistry::AdvanceLookups(TimePoint now, Outbox& out) {
  std::vector<Flow> expired;
  for (auto& [flow, lookup] : lookups_) {
    if (now >= lookup.deadline) {
      expired.push_back(flow);
    } else if (now >= lookup.next_retry) {
      lookup.next_retry = now + options_.lookup_retry;
      SendQueries(flow, lookup, out);
    }
  }
  for (const Flow& flow : expired) PlaceFlow(now, flow, out);
}

// ---- Placement and ownership.

void FlowRegistry::PlaceFlow(TimePoint now, const Flow& flow, Outbox& out) {
  const auto it = lookups_.find(flow);
  const ServiceId service = it->second.service;
  const Epoch known_epoch = it->second.known_epoch;
  const ServiceEntry* entry = control_.services().Find(service);
  if (entry == nullptr) {
    lookups_.erase(it);
    return;
  }
  std::vector<MemberId> candidates;
  for (const MemberId id : entry->home_candidates) {
    if (id == control_.self_id() || IsUsableOwner(now, id)) {
      candidates.push_back(id);
    }
  }
  const MemberId chosen = options_.place_by_hash
                              ? FindHomeAgents(flow, candidates).first
                              : loads_.ChooseForFlow(now, candidates);
  const Epoch epoch(known_epoch.value() + 1);
  ++(known_epoch == Epoch() ? counters_.placed : counters_.replaced);
  if (chosen == MemberId()) {
    lookups_.erase(it);
    return;
  }
  loads_.OnFlowPlaced(chosen);
  directory_.Register(flow, {chosen, epoch});
  if (chosen != control_.self_id()) {
    unconfirmed_.insert(flow);
    ForwardBuffered(now, flow, chosen, schema::Purpose::kAssign, epoch, out);
    return;
  }
  const std::vector<schema::Envelope> buffered = std::move(it->second.buffered);
  lookups_.erase(it);
  TakeOwnership(now, flow, service, epoch);
  ready_.insert(ready_.end(), buffered.begin(), buffered.end());
}

void FlowRegistry::OnAssignmentRefused(TimePoint now,
                                       const schema::Envelope& envelope,
                                       Outbox& out) {
  const Flow flow = FromKey(envelope.flow);
  const MemberId refuser(envelope.recipient);
  directory_.Remove(flow, refuser);
  unconfirmed_.erase(flow);
  schema::Envelope again = envelope;
  again.purpose = schema::Purpose::kRoute;
  OnEnvelope(now, control_.self_endpoint(), again, out);
}

OwnedFlow& FlowRegistry::TakeOwnership(TimePoint now, const Flow& flow,
                                       ServiceId service, Epoch epoch) {
  moved_.erase(flow);
  OwnedFlow& owned = owned_[flow];
  owned.service = service;
  owned.epoch = epoch;
  owned.last_used = now;
  owned.next_message_id = static_cast<uint16_t>(random_.Next());
  RegisterFlow(flow, owned);
  return owned;
}

OwnedFlow& FlowRegistry::Adopt(TimePoint now, const Flow& flow,
                               ServiceId service, Epoch epoch, Outbox& out) {
  if (OwnedFlow* known = Find(flow)) {
    if (known->epoch < epoch) known->epoch = epoch;
    RegisterFlow(flow, *known);
    return *known;
  }
  if (lookups_.count(flow) != 0) {
    ForwardBuffered(now, flow, control_.self_id(), schema::Purpose::kForward,
                    epoch, out);
  }
  return TakeOwnership(now, flow, service, epoch);
}

void FlowRegistry::RegisterFlow(const Flow& flow, OwnedFlow& owned) {
  const ServiceEntry* entry = control_.services().Find(owned.service);
  if (entry == nullptr) return;
  owned.home_agents = FindHomeAgents(flow, entry->home_candidates);
  schema::DirectoryEntry registration;
  registration.flow = ToKey(flow);
  registration.owner = control_.self_id().value();
  registration.epoch = owned.epoch.value();
  for (const MemberId home :
       {owned.home_agents.first, owned.home_agents.second}) {
    if (home == MemberId()) continue;
    if (home == control_.self_id()) {
      directory_.Register(flow, {home, owned.epoch});
    } else {
      registrar_.Register(home, registration);
    }
  }
}

OwnedFlow* FlowRegistry::Find(const Flow& flow) {
  const auto it = owned_.find(flow);
  return it == owned_.end() ? nullptr : &it->second;
}

void FlowRegistry::FinishHandover(TimePoint now, const Flow& flow,
                                  MemberId owner, Outbox& out) {
  const auto it = owned_.find(flow);
  if (it == owned_.end()) return;
  const std::vector<schema::Envelope> buffered = std::move(it->second.buffered);
  owned_.erase(it);
  directory_.Remove(flow, control_.self_id());
  moved_[flow] = {owner, now + options_.moved_retention};
  for (const schema::Envelope& envelope : buffered) {
    Forward(now, envelope, owner, schema::Purpose::kForward, Epoch(), out);
  }
}

void FlowRegistry::CancelHandover(const Flow& flow) {
  OwnedFlow* owned = Find(flow);
  if (owned == nullptr) return;
  owned->handing_over = false;
  ready_.insert(ready_.end(), owned->buffered.begin(), owned->buffered.end());
  owned->buffered.clear();
}

// ---- The directory.

void FlowRegistry::OnUpdate(const Endpoint& from,
                            const schema::DirectoryUpdate& update,
                            Outbox& out) {
  schema::DirectoryAck ack;
  ack.batch = update.batch;
  for (const schema::DirectoryEntry& entry : update.entries) {
    const Flow flow = FromKey(entry.flow);
    const Ownership offered{MemberId(entry.owner), Epoch(entry.epoch)};
    auto current = directory_.Register(flow, offered);
    const Member* current_owner =
        current ? control_.membership().Find(current->owner) : nullptr;
    const bool current_owner_gone =
        current && current->owner != control_.self_id() &&
        (current_owner == nullptr || !current_owner->present());
    if (current_owner_gone) {
      directory_.Remove(flow, current->owner);
      current = directory_.Register(flow, offered);
    }
    if (current) {
      schema::DirectoryEntry other;
      other.flow = entry.flow;
      other.owner = current->owner.value();
      other.epoch = current->epoch.value();
      ack.superseded.push_back(other);
      continue;
    }
    unconfirmed_.erase(flow);
    OwnedFlow* owned = Find(flow);
    if (owned != nullptr && owned->epoch < offered.epoch) {
      superseded_.emplace_back(flow, offered);
    }
  }
  for (const schema::DirectoryEntry& entry : update.removed) {
    directory_.Remove(FromKey(entry.flow), MemberId(entry.owner));
  }
  out.Send(from, std::move(ack));
}

void FlowRegistry::OnAck(const schema::DirectoryAck& ack) {
  registrar_.OnAck(ack);
  for (const schema::DirectoryEntry& entry : ack.superseded) {
    const Flow flow = FromKey(entry.flow);
    const OwnedFlow* owned = Find(flow);
    if (owned == nullptr) continue;
    const MemberId winner(entry.owner);
    const Member* member = control_.membership().Find(winner);
    if (winner == control_.self_id() || member == nullptr ||
        !member->present()) {
      continue;
    }
    ++counters_.superseded;
    superseded_.emplace_back(flow, Ownership{winner, Epoch(entry.epoch)});
  }
}

// ---- Changes and time.

void FlowRegistry::OnServicesChanged(TimePoint now) {
  const MemberId self = control_.self_id();
  for (const auto& [id, entry] : control_.services().services()) {
    if (!Contains(entry.agents, self)) continue;
    auto [it, is_new] = last_home_candidates_.try_emplace(id);
    if (!is_new && it->second == entry.home_candidates) continue;
    it->second = entry.home_candidates;
    home_candidates_changed_at_[id] = now;
  }
  for (auto& [flow, owned] : owned_) {
    const ServiceEntry* entry = control_.services().Find(owned.service);
    if (entry == nullptr) continue;
    const HomeAgents home_agents = FindHomeAgents(flow, entry->home_candidates);
    if (home_agents.first == owned.home_agents.first &&
        home_agents.second == owned.home_agents.second) {
      continue;
    }
    RegisterFlow(flow, owned);
  }
}

void FlowRegistry::OnMemberGone(MemberId member) {
  registrar_.ForgetHomeAgent(member);
  for (auto& [flow, lookup] : lookups_) lookup.awaiting.erase(member);
}

void FlowRegistry::RegisterAll() {
  for (auto& [flow, owned] : owned_) RegisterFlow(flow, owned);
}

void FlowRegistry::OnTick(TimePoint now, Outbox& out) {
  AdvanceLookups(now, out);
  registrar_.OnTick(now, out);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepPeriod;
    DropIdleFlows(now);
    SweepDirectory();
  }
}

void FlowRegistry::DropIdleFlows(TimePoint now) {
  for (auto it = moved_.begin(); it != moved_.end();) {
    it = now >= it->second.expires ? moved_.erase(it) : std::next(it);
  }
  for (auto it = owned_.begin(); it != owned_.end();) {
    const OwnedFlow& owned = it->second;
    const bool idle = owned.running == 0 && owned.feeds == 0 &&
                      !owned.handing_over &&
                      now - owned.last_used >= options_.idle_timeout;
    if (!idle) {
      ++it;
      continue;
    }
    schema::DirectoryEntry entry;
    entry.flow = ToKey(it->first);
    entry.owner = control_.self_id().value();
    entry.epoch = owned.epoch.value();
    for (const MemberId home :
         {owned.home_agents.first, owned.home_agents.second}) {
      if (home == control_.self_id()) {
        directory_.Remove(it->first, home);
      } else if (home != MemberId()) {
        registrar_.Remove(home, entry);
      }
    }
    it = owned_.erase(it);
  }
}

void FlowRegistry::SweepDirectory() {
  const MemberId self = control_.self_id();
  directory_.RemoveIf([&](const Flow& flow, const Ownership& ownership) {
    const Member* owner = control_.membership().Find(ownership.owner);
    const bool owner_gone =
        ownership.owner != self && (owner == nullptr || !owner->present());
    const ServiceEntry* entry = ServiceOf(flow);
    if (owner_gone || entry == nullptr) return true;
    const HomeAgents home_agents = FindHomeAgents(flow, entry->home_candidates);
    return home_agents.first != self && home_agents.second != self;
  });
}

const ServiceEntry* FlowRegistry::ServiceOf(const Flow& flow) const {
  return control_.services().FindByAddress(flow.service);
}

}  // namespace sesamesaddle
