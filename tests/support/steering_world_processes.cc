// The processes of a SteeringWorld: how a balancer and an agent send.

#include "steering_world_processes.h"

#include "schema/codec.h"

namespace sesamesaddle {
namespace {

// One-way delays as in the users' network.
constexpr Duration kHopDelay = std::chrono::microseconds(500);
// As in steering_daemon's exchange between balancers.
constexpr Duration kPeerQueryPeriod = std::chrono::seconds(1);
// Round trip of a call to the store.
constexpr Duration kStoreRoundTrip = std::chrono::milliseconds(5);

/** Whether a version without the wide check takes the packet for malformed. */
bool HasWideCheck(const std::string& packet) {
  const auto kind = static_cast<HopKind>(packet[TestPacketCodec::kKind]);
  return kind > HopKind::kYielded;
}

}  // namespace

void SteeringWorld::Balancer::ToAgent(const Endpoint& agent,
                                      std::string_view packet) {
  const size_t to = agent.ip() - AgentAddress(0).ip();
  world.Transmit(to, kHopDelay, [this, to, bytes = std::string(packet)] {
    Agent* other = world.agents_[to].get();
    if (other == nullptr) return;
    if (world.agents_without_wide_check.count(to) != 0 && HasWideCheck(bytes)) {
      ++world.unreadable_packets;
      return;
    }
    other->process.Receive(
        VirtualSocket::kPackets, [this, other, bytes]() mutable {
          other->flows.OnBalancerPacket(world.scheduler.Now(),
                                        BalancerAddress(index), bytes.data(),
                                        bytes.size());
        });
  });
}

void SteeringWorld::Balancer::Query(const Endpoint& agent,
                                    const schema::FlowQuery& query) {
  const size_t to = agent.ip() - AgentAddress(0).ip();
  ++world.queries;
  if (world.count_bytes) {
    schema::SteeringMessage message;
    message.__set_query(query);
    world.query_bytes += EncodeCompact(message).size();
  }
  if (world.lose_queries) return;
  schema::FlowQuery understood = query;
  if (world.agents_without_digests.count(to) != 0) {
    understood.__isset.digest_query = false;
  }
  world.Transmit(to, kHopDelay, [this, to, understood] {
    Agent* other = world.agents_[to].get();
    if (other == nullptr) return;
    other->process.Receive(VirtualSocket::kControl, [this, other, understood] {
      other->flows.OnQuery(world.scheduler.Now(), BalancerAddress(index),
                           understood);
    });
  });
}

void SteeringWorld::Balancer::Notify(const Endpoint& agent,
                                     const schema::AgentNotice& notice) {
  const size_t to = agent.ip() - AgentAddress(0).ip();
  ++world.notices;
  if (world.lose_notices) return;
  world.Transmit(to, kHopDelay, [this, to, notice] {
    Agent* other = world.agents_[to].get();
    if (other == nullptr) return;
    other->process.Receive(VirtualSocket::kControl, [this, to, other, notice] {
      if (notice.__isset.entry_missing) world.OnEntryMissing(to);
      other->flows.OnNotice(world.scheduler.Now(), BalancerAddress(index),
                            notice);
    });
  });
}

void SteeringWorld::Balancer::RefreshDirectory() {
  if (reading_directory) return;
  reading_directory = true;
  ++world.directory_reads;
  const TimePoint began = world.scheduler.Now();
  world.Deliver(kStoreRoundTrip, [this, began] {
    process.Receive(VirtualSocket::kStore, [this, began] {
      reading_directory = false;
      if (world.peer_copy && world.stale_balancers.count(index) != 0) {
        ReadCopy(*world.peer_copy);
        return;
      }
      ReadDirectory();
      flows.Apply(world.scheduler.Now(), world.NewestRoutes());
      flows.OnDirectoryRead(world.scheduler.Now(), began,
                            StoreRevision(world.revision_));
    });
  });
}

bool SteeringWorld::Balancer::ProbeInstance(const Endpoint& agent) {
  const size_t to = agent.ip() - AgentAddress(0).ip();
  world.Deliver(2 * kHopDelay, [this, agent, to] {
    const MachineState state = world.StateOfMachine(to);
    if (state == MachineState::kNoAnswer) return;
    const auto answer = state == MachineState::kRefuses
                            ? InstanceAnswer::kRefused
                            : InstanceAnswer::kAccepted;
    process.Receive(VirtualSocket::kStore, [this, agent, answer] {
      flows.OnInstanceAnswer(agent, answer);
    });
  });
  return true;
}

void SteeringWorld::Balancer::ReadDirectory() {
  for (const auto& [target, revision] : world.listed_) {
    directory.Put(
        world.scheduler.Now(), KeyOf(target),
        world.RecordFor(index, target, world.draining_.count(target) != 0),
        StoreRevision(revision));
    flows.OnAgentListed(world.scheduler.Now(), AgentAddress(target));
  }
  for (const size_t target : world.unusable_entries_) {
    flows.OnUnlistedAgent(world.scheduler.Now(), AgentAddress(target));
  }
  if (world.stale_balancers.count(index) == 0) world.ReadZones(flows);
}

void SteeringWorld::Balancer::ReadCopy(const StoreCopy& copy) {
  const TimePoint now = world.scheduler.Now();
  for (size_t target = 0; target < world.targets.size(); ++target) {
    const auto entry = copy.listed.find(target);
    if (entry == copy.listed.end()) {
      const auto agent =
          directory.Remove(now, KeyOf(target), StoreRevision(copy.revision));
      if (agent) flows.OnAgentUnlisted(now, *agent);
      continue;
    }
    directory.Put(
        now, KeyOf(target),
        world.RecordFor(index, target, world.draining_.count(target) != 0),
        StoreRevision(entry->second));
    flows.OnAgentListed(now, AgentAddress(target));
  }
  flows.Apply(now, copy.routes);
  flows.OnDirectoryRead(now, copy.at, StoreRevision(copy.revision));
}

void SteeringWorld::Balancer::RunTimers() {
  const TimePoint now = world.scheduler.Now();
  const auto gone = directory.Expire(now, true);
  if (!gone.empty()) flows.OnTargetsDropped(gone);
  flows.OnTick(now);
  AskPeers();
}

void SteeringWorld::Balancer::AskPeers() {
  const TimePoint now = world.scheduler.Now();
  if (now < next_peer_query || !flows.NeedsUnlistedAgents(now)) return;
  next_peer_query = now + kPeerQueryPeriod;
  for (size_t peer = 0; peer < world.balancers_.size(); ++peer) {
    if (peer != index) AskPeer(peer);
  }
}

void SteeringWorld::Balancer::AskPeer(size_t peer) {
  const StoreRevision since = flows.directory_revision();
  const auto reply = [this, peer](StoreRevision revision,
                                  const std::vector<Endpoint>& agents) {
    Balancer* asker = world.balancers_[index].get();
    if (asker == nullptr) return;
    asker->process.Receive(VirtualSocket::kControl, [=] {
      asker->flows.OnUnlistedAgents(asker->world.scheduler.Now(),
                                    BalancerAddress(peer), revision, agents);
    });
  };
  world.Deliver(kHopDelay, [this, peer, since, reply] {
    Balancer* asked = world.balancers_[peer].get();
    if (asked == nullptr) return;
    asked->process.Receive(VirtualSocket::kControl, [asked, since, reply] {
      SteeringWorld& at = asked->world;
      // It has followed the store up to here, unless it does not learn changes.
      if (at.stale_balancers.count(asked->index) == 0) {
        asked->flows.OnDirectoryRead(at.scheduler.Now(), TimePoint(),
                                     StoreRevision(at.revision_));
      }
      const auto agents =
          asked->flows.UnlistedAgents(at.scheduler.Now(), since);
      if (!agents) return;
      at.Deliver(kHopDelay, [reply, agents = *agents,
                             revision = asked->flows.directory_revision()] {
        reply(revision, agents);
      });
    });
  });
}

void SteeringWorld::Agent::ToBalancer(const Endpoint& balancer,
                                      std::string_view packet) {
  const size_t to = balancer.ip() - BalancerAddress(0).ip();
  world.Transmit(index, kHopDelay, [this, to, bytes = std::string(packet)] {
    Balancer* other = world.balancers_[to].get();
    if (other == nullptr) return;
    other->process.Receive(
        VirtualSocket::kPeerPackets, [this, other, bytes]() mutable {
          other->flows.OnAgentPacket(world.scheduler.Now(), AgentAddress(index),
                                     bytes.data(), bytes.size());
        });
  });
}

void SteeringWorld::Agent::Report(const Endpoint& balancer,
                                  const schema::AgentReport& report) {
  ++world.reports;
  if (report.__isset.zone) ++world.reports_with_zone;
  if (world.count_bytes) {
    schema::SteeringMessage message;
    message.__set_report(report);
    world.report_bytes += EncodeCompact(message).size();
  }
  if (world.lose_reports) return;
  const size_t to = balancer.ip() - BalancerAddress(0).ip();
  schema::AgentReport read = report;
  if (world.agents_without_wide_check.count(index) != 0 ||
      world.balancers_without_wide_check.count(to) != 0) {
    read.reads_wide_check = false;
    read.__isset.reads_wide_check = false;
  }
  const Duration delay = kHopDelay + world.report_delay;
  world.Transmit(index, delay, [this, to, report = read] {
    Balancer* other = world.balancers_[to].get();
    if (other == nullptr) return;
    other->process.Receive(VirtualSocket::kControl, [this, other, report] {
      other->flows.OnReport(world.scheduler.Now(), report);
    });
  });
}

}  // namespace sesamesaddle
