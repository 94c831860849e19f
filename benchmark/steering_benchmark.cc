// Costs of packet flows without sockets: placing a new flow and forwarding a
// packet at a balancer, by number of agents; adding directory entries; handling
// an agent report; and the memory of a directory entry and of a flow.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>

#include "platform/packet_codec.h"
#include "schema/codec.h"
#include "silent_log.h"
#include "steering/flow_balancer.h"

namespace sesamesaddle {
namespace {

const TimePoint kNow(std::chrono::hours(1));
const Endpoint kRoute(0xc6120001, 443);

/** Discards all output. */
class DiscardingOutput : public FlowBalancerOutput {
 public:
  void ToAgent(const Endpoint& /*agent*/, std::string_view packet) override {
    benchmark::DoNotOptimize(packet.data());
  }
  void ToClient(const Endpoint& /*client*/,
                std::string_view /*packet*/) override {}
  void Query(const Endpoint& /*agent*/,
             const schema::FlowQuery& /*query*/) override {}
  void Notify(const Endpoint& /*agent*/,
              const schema::AgentNotice& /*notice*/) override {}
  void RefreshDirectory() override {}
  bool ProbeInstance(const Endpoint& /*agent*/) override { return true; }
};

schema::TargetRecord MakeRecord(int64_t i) {
  schema::TargetRecord record;
  record.id = "target-" + std::to_string(i);
  record.born_ms = 1;
  record.service_name = "orders";
  record.agent = Endpoint(0x0a000000 + static_cast<uint32_t>(i), 8172).Pack();
  record.zone = i % 3 == 0 ? "here" : "there";
  record.slots = 3;
  record.state = schema::TargetState::kReady;
  record.__set_reads_wide_check(true);
  return record;
}

/** A balancer with `agents` targets of one service in its directory. */
struct FlowBalancerFixture {
  explicit FlowBalancerFixture(int64_t agents)
      : placement(Topology("here"), directory),
        balancer({Topology("here")}, codec, directory, zones, placement, output,
                 log) {
    RouteTable routes;
    routes.version = 1;
    routes.routes[kRoute].services = {{"orders", 1}};
    balancer.Apply(kNow, std::move(routes));
    for (int64_t i = 0; i < agents; ++i) {
      directory.Put(kNow, std::to_string(i), MakeRecord(i),
                    StoreRevision(i + 1));
    }
  }

  /** Returns a packet from `client`:`port` to the route: a SYN, or an ACK. */
  std::string Packet(uint32_t client, uint16_t port, bool syn) {
    std::string packet = codec.EncodeReset({kRoute, Endpoint(client, port)}, 7);
    packet[2] = static_cast<char>(syn ? 1 : 16);
    return packet;
  }

  PlatformPacketCodec codec;
  SilentLog log;
  DiscardingOutput output;
  ZoneEvacuations zones;
  TargetDirectory directory{zones};
  LeastWaitPlacement placement;
  FlowBalancer balancer;
};

void BM_NewFlow(benchmark::State& state) {
  FlowBalancerFixture fixture(state.range(0));
  uint32_t client = 1;
  for (auto unused : state) {
    std::string syn = fixture.Packet(++client, 40000, true);
    fixture.balancer.OnClientPacket(kNow, syn.data(), syn.size());
    // Resets the counts of placed flows, so that no target becomes full.
    if (client % 16 == 0) {
      for (AgentView* view : fixture.directory.All()) {
        view->placed_since_report = 0;
      }
    }
  }
}
BENCHMARK(BM_NewFlow)->Arg(3)->Arg(30)->Arg(300)->Iterations(20000);

void BM_PacketOfKnownFlow(benchmark::State& state) {
  FlowBalancerFixture fixture(state.range(0));
  std::string syn = fixture.Packet(1, 40000, true);
  fixture.balancer.OnClientPacket(kNow, syn.data(), syn.size());
  std::string packet = fixture.Packet(1, 40000, false);
  for (auto unused : state) {
    fixture.balancer.OnClientPacket(kNow, packet.data(), packet.size());
  }
}
BENCHMARK(BM_PacketOfKnownFlow)->Arg(3)->Arg(300);

void BM_DirectoryEntry(benchmark::State& state) {
  for (auto unused : state) {
    ZoneEvacuations zones;
    TargetDirectory directory(zones);
    for (int64_t i = 0; i < state.range(0); ++i) {
      directory.Put(kNow, std::to_string(i), MakeRecord(i),
                    StoreRevision(i + 1));
    }
    benchmark::DoNotOptimize(directory.size());
  }
}
BENCHMARK(BM_DirectoryEntry)
    ->Arg(50)
    ->Arg(500)
    ->Arg(2000)
    ->Unit(benchmark::kMillisecond);

void BM_DirectoryMemory(benchmark::State& state) {
  for (auto unused : state) {
    ZoneEvacuations zones;
    TargetDirectory directory(zones);
    const size_t before = mallinfo2().uordblks;
    for (int64_t i = 0; i < state.range(0); ++i) {
      directory.Put(kNow, "online/target/" + std::to_string(i), MakeRecord(i),
                    StoreRevision(i + 1));
    }
    const size_t after = mallinfo2().uordblks;
    state.counters["bytes_per_entry"] = static_cast<double>(after - before) /
                                        static_cast<double>(state.range(0));
  }
}
BENCHMARK(BM_DirectoryMemory)->Arg(500)->Arg(7400)->Iterations(1);

void BM_FlowMemory(benchmark::State& state) {
  for (auto unused : state) {
    FlowBalancerFixture fixture(3);
    const size_t before = mallinfo2().uordblks;
    for (uint32_t i = 0; i < state.range(0); ++i) {
      std::string packet = fixture.Packet(i + 1, 40000, true);
      fixture.balancer.OnClientPacket(kNow, packet.data(), packet.size());
      packet = fixture.Packet(i + 1, 40000, false);
      fixture.balancer.OnClientPacket(kNow, packet.data(), packet.size());
      for (AgentView* view : fixture.directory.All()) {
        view->placed_since_report = 0;
      }
    }
    const size_t after = mallinfo2().uordblks;
    state.counters["bytes_per_flow"] = static_cast<double>(after - before) /
                                       static_cast<double>(state.range(0));
  }
}
BENCHMARK(BM_FlowMemory)->Arg(1000)->Arg(10000)->Iterations(1);

void BM_Report(benchmark::State& state) {
  FlowBalancerFixture fixture(3);
  schema::SteeringMessage message;
  schema::AgentReport report;
  report.agent = Endpoint(0x0a000000, 8172).Pack();
  report.service_name = "orders";
  report.state = schema::TargetState::kReady;
  message.__set_report(report);
  const std::string bytes = EncodeCompact(message);
  state.counters["bytes"] = static_cast<double>(bytes.size());
  for (auto unused : state) {
    const auto decoded = DecodeCompact<schema::SteeringMessage>(bytes);
    fixture.balancer.OnReport(kNow, decoded->report);
  }
}
BENCHMARK(BM_Report);

}  // namespace
}  // namespace sesamesaddle

BENCHMARK_MAIN();
