#ifndef SESAMESADDLE_TESTS_SUPPORT_STEERING_WORLD_PROCESSES_H_
#define SESAMESADDLE_TESTS_SUPPORT_STEERING_WORLD_PROCESSES_H_

#include <memory>
#include <string>

#include "steering_world.h"
#include "virtual_process.h"

namespace sesamesaddle {

/** Delay between a target and its agent, which share a machine. */
constexpr Duration kLocalDelay = std::chrono::microseconds(50);

/** Discards durations. */
class NullDurationObserver : public DurationObserver {
 public:
  void Observe(Duration /*duration*/) override {}
};

struct SteeringWorld::Balancer : public FlowBalancerOutput {
  Balancer(SteeringWorld& world, size_t index)
      : world(world),
        index(index),
        placement(MakePlacement(world.placement_, Topology("zone"), directory)),
        flows({Topology("zone"), std::chrono::seconds(60), world.split,
               world.admission},
              world.codec_, directory, zones, *placement, *this, world.log_),
        process(world.scheduler, world.datagrams_per_poll,
                [this] { RunTimers(); }) {
    directory.OnAllRead(world.scheduler.Now());
    flows.SetStoreCurrent(world.scheduler.Now(), true);
    flows.Apply(world.scheduler.Now(), world.RoutesAtStart(index));
  }

  void ToAgent(const Endpoint& agent, std::string_view packet) override;
  void ToClient(const Endpoint& /*client*/, std::string_view packet) override {
    world.OnReset(packet, "balancer " + std::to_string(index));
    world.ToClient(std::string(packet));
  }
  void Query(const Endpoint& agent, const schema::FlowQuery& query) override;
  void Notify(const Endpoint& agent,
              const schema::AgentNotice& notice) override;
  void RefreshDirectory() override;
  bool ProbeInstance(const Endpoint& agent) override;
  /** Copies the store's entries into the directory. */
  void ReadDirectory();
  /** Applies a complete read of the contents that a peer's copy has. */
  void ReadCopy(const StoreCopy& copy);
  void RunTimers();
  /** Asks the peers for unlisted agents when that is due. */
  void AskPeers();
  void AskPeer(size_t peer);

  SteeringWorld& world;
  size_t index;
  bool reading_directory = false;
  TimePoint next_peer_query{};
  ZoneEvacuations zones;
  TargetDirectory directory{zones};
  std::unique_ptr<PlacementPolicy> placement;
  FlowBalancer flows;
  VirtualProcess process;
};

struct SteeringWorld::Agent : public FlowAgentOutput {
  Agent(SteeringWorld& world, size_t index)
      : world(world),
        index(index),
        flows(world.scheduler.Now(),
              {AgentAddress(index), world.ServiceOf(index),
               std::chrono::seconds(60), world.ZoneOf(index), world.admission},
              world.codec_, *this, world.log_, observer),
        process(world.scheduler, world.datagrams_per_poll,
                [this] { RunTimers(); }) {}

  void ToTarget(std::string_view packet) override {
    world.Deliver(kLocalDelay, [this, bytes = std::string(packet)] {
      world.targets[index]->OnPacket(bytes);
      if (world.closed_ports_show) ReportClosedPort();
    });
  }
  void ToClient(const Endpoint& /*client*/, std::string_view packet) override {
    const auto header = world.codec_.Decode(packet);
    if (header->reset && header->payload_bytes == 0) {
      world.OnReset(packet, "agent " + std::to_string(index));
    }
    if (world.Connected(index)) world.ToClient(std::string(packet));
  }
  void ToBalancer(const Endpoint& balancer, std::string_view packet) override;
  void Report(const Endpoint& balancer,
              const schema::AgentReport& report) override;
  /** Delivers the error of a packet to a port at which no target runs. */
  void ReportClosedPort() {
    if (world.targets[index]->alive || world.agents_[index].get() != this) {
      return;
    }
    process.Receive(VirtualSocket::kPeerPackets, [this] {
      flows.OnTargetUnreachable(world.scheduler.Now());
    });
  }
  void RunTimers() { flows.OnTick(world.scheduler.Now()); }

  SteeringWorld& world;
  size_t index;
  NullDurationObserver observer;
  FlowAgent flows;
  VirtualProcess process;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_STEERING_WORLD_PROCESSES_H_
