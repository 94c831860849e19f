// Cost of finding out that flows are lost, as after a restart of all processes:
// datagrams and bytes between a balancer and the agents, time until the clients
// get their resets, and processor time of the balancer, messages encoded and
// decoded. One run with agents that give digests, one with agents that are
// asked flow by flow.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "platform/packet_codec.h"
#include "schema/codec.h"
#include "schema/flow_key.h"
#include "silent_log.h"
#include "steering/flow_agent.h"
#include "steering/flow_balancer.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow(std::chrono::hours(1));
const Endpoint kRoute(0xc6120001, 443);
// IP and UDP headers of a datagram.
constexpr size_t kHeaderBytes = 28;
// Of a query and its report, with the delay of urgent reports.
constexpr Duration kRoundTrip = milliseconds(3);
constexpr Duration kStoreRoundTrip = milliseconds(5);
constexpr Duration kTickPeriod = milliseconds(10);
// A search that has not ended is dropped after 2 s.
constexpr Duration kLongestRun = milliseconds(2100);
// The fleet of CAPACITY.md has 2.64 targets per service.
constexpr int64_t kServicesOfFleet = 2800;

std::string ServiceName(int64_t i) { return "service-" + std::to_string(i); }

/** A balancer, and agents that hold no flow. */
class LostFlows : public FlowBalancerOutput {
 public:
  LostFlows(int64_t targets, bool digests)
      : digests_(digests),
        placement_(Topology("here"), directory_),
        balancer_({Topology("here")}, codec_, directory_, zones_, placement_,
                  *this, log_) {
    RouteTable routes;
    routes.version = 1;
    routes.routes[kRoute].services = {{ServiceName(0), 1}};
    balancer_.SetStoreCurrent(TimePoint(), true);
    balancer_.Apply(now_, std::move(routes));
    const int64_t services = targets > kServicesOfFleet ? kServicesOfFleet : 1;
    for (int64_t i = 0; i < targets; ++i) {
      schema::TargetRecord record;
      record.id = "target-" + std::to_string(i);
      record.born_ms = 1;
      record.service_name = ServiceName(i % services);
      record.agent =
          Endpoint(0x0a000000 + static_cast<uint32_t>(i), 8172).Pack();
      record.zone = i % 3 == 0 ? "here" : "there";
      record.slots = 3;
      record.state = schema::TargetState::kReady;
      directory_.Put(now_, record.id, record, StoreRevision(i + 1));
    }
  }

  void ToAgent(const Endpoint& /*agent*/,
               std::string_view /*packet*/) override {}
  void ToClient(const Endpoint& /*client*/,
                std::string_view /*packet*/) override {
    ++resets;
  }
  void Query(const Endpoint& agent, const schema::FlowQuery& query) override {
    schema::SteeringMessage message;
    message.__set_query(query);
    ++datagrams;
    bytes += EncodeCompact(message).size() + kHeaderBytes;
    Reply(agent, query);
  }
  void Notify(const Endpoint& /*agent*/,
              const schema::AgentNotice& /*notice*/) override {}
  bool ProbeInstance(const Endpoint& /*agent*/) override { return true; }
  void RefreshDirectory() override {
    if (directory_read_ <= now_) directory_read_ = now_ + kStoreRoundTrip;
  }

  /** Sends a packet of each flow; runs until all are reset or dropped. */
  void Run(uint32_t flows) {
    for (uint32_t i = 0; i < flows; ++i) {
      std::string packet =
          codec_.EncodeReset({kRoute, Endpoint(0x64400000 + i, 40000)}, 7);
      packet[2] = 16;  // An acknowledgement.
      Measure([&] {
        balancer_.OnClientPacket(now_, packet.data(), packet.size());
      });
    }
    const TimePoint end = now_ + kLongestRun;
    TimePoint next_tick = now_;
    const TimePoint began = now_;
    while (now_ < end && resets < flows) {
      now_ += milliseconds(1);
      DeliverReports();
      Measure([&] { balancer_.FlushQueries(now_); });
      if (now_ == directory_read_) {
        Measure([&] {
          balancer_.OnDirectoryRead(now_, now_ - kStoreRoundTrip,
                                    StoreRevision(directory_.size()));
        });
      }
      if (now_ < next_tick) continue;
      next_tick += kTickPeriod;
      Measure([&] { balancer_.OnTick(now_); });
    }
    took = now_ - began;
  }

  int64_t datagrams = 0;
  size_t bytes = 0;
  uint32_t resets = 0;
  Duration took{};
  std::chrono::steady_clock::duration processor{};

 private:
  template <typename Action>
  void Measure(const Action& action) {
    const auto began = std::chrono::steady_clock::now();
    action();
    processor += std::chrono::steady_clock::now() - began;
  }

  void Reply(const Endpoint& agent, const schema::FlowQuery& query) {
    const std::vector<schema::FlowKey>& flows = query.flows;
    size_t sent = 0;
    do {
      schema::AgentReport report;
      report.agent = agent.Pack();
      report.service_name = directory_.Find(agent)->record.service_name;
      report.state = schema::TargetState::kReady;
      const size_t end =
          std::min(flows.size(), sent + FlowAgent::kMaxFlowsPerReport);
      report.not_held.assign(flows.begin() + static_cast<ptrdiff_t>(sent),
                             flows.begin() + static_cast<ptrdiff_t>(end));
      if (digests_ && sent == 0 && query.__isset.digest_query) {
        schema::FlowDigest digest;
        digest.query = query.digest_query;
        report.__set_digest(digest);
      }
      schema::SteeringMessage message;
      message.__set_report(report);
      std::string encoded = EncodeCompact(message);
      ++datagrams;
      bytes += encoded.size() + kHeaderBytes;
      reports_.emplace(now_ + kRoundTrip, std::move(encoded));
      sent = end;
    } while (sent < flows.size());
  }

  void DeliverReports() {
    while (!reports_.empty() && reports_.begin()->first <= now_) {
      const std::string encoded = std::move(reports_.begin()->second);
      reports_.erase(reports_.begin());
      Measure([&] {
        const auto message = DecodeCompact<schema::SteeringMessage>(encoded);
        balancer_.OnReport(now_, message->report);
      });
    }
  }

  bool digests_;
  TimePoint now_ = kNow;
  TimePoint directory_read_{};
  std::multimap<TimePoint, std::string> reports_;
  PlatformPacketCodec codec_;
  SilentLog log_;
  ZoneEvacuations zones_;
  TargetDirectory directory_{zones_};
  LeastWaitPlacement placement_;
  FlowBalancer balancer_;
};

void BM_LostFlows(benchmark::State& state) {
  const auto flows = static_cast<uint32_t>(state.range(1));
  for (auto unused : state) {
    LostFlows run(state.range(0), state.range(2) != 0);
    run.Run(flows);
    state.SetIterationTime(
        std::chrono::duration<double>(run.processor).count());
    state.counters["datagrams"] = static_cast<double>(run.datagrams);
    state.counters["bytes"] = static_cast<double>(run.bytes);
    state.counters["resets"] = run.resets;
    state.counters["until_ms"] =
        static_cast<double>(run.took / milliseconds(1));
  }
}
BENCHMARK(BM_LostFlows)
    ->ArgNames({"targets", "flows", "digests"})
    ->ArgsProduct({{48, 136}, {1, 300}, {0, 1}})
    ->Args({7400, 1, 0})
    ->Args({7400, 1, 1})
    // Without digests this does not end in minutes.
    ->Args({7400, 300, 1})
    ->Iterations(1)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace sesamesaddle

BENCHMARK_MAIN();
