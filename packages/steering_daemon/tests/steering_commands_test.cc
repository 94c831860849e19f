#include "steering_daemon/steering_commands.h"

#include <catch2/catch.hpp>
#include <string>

#include "silent_log.h"
#include "steering_daemon/steering_tables.h"
#include "test_packet_codec.h"

namespace sesamesaddle {
namespace {

const TimePoint kNow(std::chrono::seconds(1000));
const Endpoint kRoute(0xc6120001, 443);
const Endpoint kCaller(0x64400007, 40001);

/** Discards the output of a balancer or an agent, except the last packet. */
class RecordingOutput : public FlowBalancerOutput, public FlowAgentOutput {
 public:
  void ToAgent(const Endpoint& /*agent*/, std::string_view packet) override {
    last_packet = std::string(packet);
  }
  void ToClient(const Endpoint& /*client*/,
                std::string_view /*packet*/) override {}
  void Query(const Endpoint& /*agent*/,
             const schema::FlowQuery& /*query*/) override {}
  void Notify(const Endpoint& /*agent*/,
              const schema::AgentNotice& /*notice*/) override {}
  void RefreshDirectory() override {}
  void ToTarget(std::string_view /*packet*/) override {}
  void ToBalancer(const Endpoint& /*balancer*/,
                  std::string_view /*packet*/) override {}
  void Report(const Endpoint& /*balancer*/,
              const schema::AgentReport& /*report*/) override {}

  std::string last_packet;
};

class NullDurationObserver : public DurationObserver {
 public:
  void Observe(Duration /*duration*/) override {}
};

schema::TargetRecord MakeRecord() {
  schema::TargetRecord record;
  record.id = "i-1";
  record.born_ms = 1;
  record.service_name = "orders";
  record.agent = Endpoint(0x0a010001, 8172).Pack();
  record.zone = "montreal";
  record.slots = 3;
  record.state = schema::TargetState::kReady;
  return record;
}

/** A balancer that has placed one flow at the only target, and its agent. */
struct PlacedFlow : public TableProvider {
  PlacedFlow() {
    RouteTable routes;
    routes.version = 7;
    routes.routes[kRoute].name = "r-1";
    routes.routes[kRoute].services = {{"orders", 1}};
    balancer.Apply(kNow, std::move(routes));
    directory.Put(kNow, "target/1", MakeRecord(), StoreRevision(5));
    agent.OnAnnouncement(kNow, Announcement());
    PacketHeader syn;
    syn.source = kCaller;
    syn.destination = kRoute;
    syn.syn = true;
    std::string packet = TestPacketCodec::Encode(syn);
    balancer.OnClientPacket(kNow, packet.data(), packet.size());
    packet = output.last_packet;
    agent.OnBalancerPacket(kNow, Endpoint(0x0a020001, 7722), packet.data(),
                           packet.size());
  }

  static TargetAnnouncement Announcement() {
    TargetAnnouncement announcement;
    announcement.id = "i-1";
    announcement.born_ms = 1;
    announcement.service = "orders";
    announcement.slots = 3;
    announcement.sequence = 1;
    return announcement;
  }

  tl::expected<schema::Table, std::string> BuildTable(
      Subject subject) const override {
    if (as_agent) {
      return MakeTable(subject, AgentTableSources{kNow, agent, MakeRecord()});
    }
    return MakeTable(
        subject, BalancerTableSources{kNow, balancer, directory, peers, 12});
  }

  schema::CommandReply Run(const std::string& text) {
    schema::CommandReply reply;
    SteeringCommands(*this).Execute(
        text, {}, [&reply](const auto& answer) { reply = answer; });
    return reply;
  }

  bool as_agent = false;
  TestPacketCodec codec;
  SilentLog log;
  RecordingOutput output;
  NullDurationObserver observer;
  ZoneEvacuations zones;
  TargetDirectory directory{zones};
  LeastWaitPlacement placement{Topology("montreal"), directory};
  FlowBalancer balancer{
      {Topology("montreal")}, codec, directory, zones, placement, output, log};
  FlowAgent agent{kNow,
                  {Endpoint(0x0a010001, 8172), "orders",
                   std::chrono::seconds(60), "montreal"},
                  codec,
                  output,
                  log,
                  observer};
  std::map<std::string, ReplicaExchange::Peer> peers = {
      {"balancer/2", {Endpoint(0x0a020002, 7720), Endpoint(0x0a020002, 7721)}}};
};

std::string Cell(const schema::Table& table, const std::string& column) {
  for (size_t i = 0; i < table.columns.size(); ++i) {
    if (table.columns[i] == column) return table.rows.at(0).cells.at(i);
  }
  return "no such column";
}

TEST_CASE("A balancer answers queries for all tables") {
  PlacedFlow fixture;
  const auto targets = fixture.Run("show targets where zone = montreal");
  REQUIRE(targets.table.rows.size() == 1);
  CHECK(Cell(targets.table, "name") == "i-1");
  CHECK(Cell(targets.table, "usable") == "yes");
  CHECK(fixture.Run("show targets where slots > 3").table.rows.empty());
  const auto services = fixture.Run("show services");
  CHECK(Cell(services.table, "services") == "orders:1");
  CHECK(Cell(services.table, "targets") == "1");
  const auto flows = fixture.Run("show flows");
  CHECK(Cell(flows.table, "caller") == "100.64.0.7:40001");
  CHECK(Cell(flows.table, "agent") == "10.1.0.1:8172");
  CHECK(Cell(fixture.Run("show balancers").table, "name") == "balancer/2");
  const auto changes = fixture.Run("show changes");
  CHECK(Cell(changes.table, "revision") == "12");
  CHECK(Cell(changes.table, "version") == "7");
}

TEST_CASE("An agent answers queries for its target, flows and balancers") {
  PlacedFlow fixture;
  fixture.as_agent = true;
  CHECK(Cell(fixture.Run("show targets").table, "state") == "ready");
  const auto flows = fixture.Run("show flows where state = opening");
  CHECK(Cell(flows.table, "balancer") == "10.2.0.1:7722");
  CHECK(Cell(fixture.Run("show balancers").table, "report_period_ms") == "50");
  const auto services = fixture.Run("show services");
  CHECK(services.outcome == schema::CommandOutcome::kRefused);
  CHECK(services.message ==
        "refused: an agent keeps no configuration; ask a balancer");
}

TEST_CASE("Changes, unknown columns and syntax errors are rejected") {
  PlacedFlow fixture;
  CHECK(fixture.Run("drain instance i-1").outcome ==
        schema::CommandOutcome::kRefused);
  CHECK(fixture.Run("show targets where colour = red").outcome ==
        schema::CommandOutcome::kRefused);
  const auto syntax = fixture.Run("show nothing");
  CHECK(syntax.outcome == schema::CommandOutcome::kSyntaxError);
  CHECK(syntax.column == 6);
  CHECK(fixture.Run("help").message == kCommandHelp);
}

}  // namespace
}  // namespace sesamesaddle
