// Cost of routing a datagram, by number of agents and of service addresses, and
// of updating the service table when a member or the configuration changes.

#include <benchmark/benchmark.h>

#include <memory>

#include "balancer/balancer.h"
#include "routing/rendezvous.h"
#include "routing/service_table.h"

namespace sesamesaddle {
namespace {

const TimePoint kNow(std::chrono::hours(1));

schema::MemberRecord MakeRecord(const std::string& name,
                                schema::Role::type role, uint32_t i) {
  schema::MemberRecord record;
  record.name = name;
  record.role = role;
  record.zone = "z";
  record.endpoint = Endpoint(0x0a000000 + i, 7000).Pack();
  record.state = schema::MemberState::kAlive;
  record.born_ms = 1;
  record.id = MakeMemberId(name, 1).value();
  return record;
}

Endpoint ServiceAddress(int64_t service) {
  return {0x0b000000 + static_cast<uint32_t>(service), 5683};
}

schema::Configuration MakeConfiguration(int64_t services) {
  schema::Configuration configuration;
  for (int64_t i = 0; i < services; ++i) {
    schema::Service service;
    service.id = i + 1;
    service.name = "s" + std::to_string(i);
    service.address = ServiceAddress(i).Pack();
    schema::TargetRule rule;
    rule.pattern = service.name + "-*";
    service.targets = {rule};
    configuration.services[service.name] = service;
  }
  configuration.revision = services;
  return configuration;
}

void BM_FindHomes(benchmark::State& state) {
  std::vector<MemberId> members;
  for (int64_t i = 1; i <= state.range(0); ++i) members.emplace_back(i);
  uint32_t caller = 0;
  for (auto unused : state) {
    const Flow flow{Endpoint(++caller, 1), Endpoint(1, 1)};
    benchmark::DoNotOptimize(FindHomeAgents(flow, members));
  }
}
BENCHMARK(BM_FindHomes)->Arg(3)->Arg(7)->Arg(30)->Arg(100)->Arg(300);

/** A balancer for `services` services with `agents` agents each. */
struct BalancerFixture {
  BalancerFixture(int64_t services, int64_t agents, size_t hints) {
    BalancerOptions options;
    options.hint_capacity = hints;
    balancer = std::make_unique<Balancer>(
        MakeRecord("b", schema::Role::kBalancer, 0), options, random);
    balancer->control().OnSnapshot(MakeConfiguration(services));
    uint32_t next_host = 1;
    for (int64_t s = 0; s < services; ++s) {
      for (int64_t a = 0; a < agents; ++a) {
        schema::Gossip gossip;
        gossip.kind = schema::GossipKind::kAck;
        gossip.sender =
            MakeRecord("s" + std::to_string(s) + "-" + std::to_string(a),
                       schema::Role::kAgent, next_host++);
        schema::PeerMessage message;
        message.__set_gossip(gossip);
        Outbox out;
        balancer->OnMessage(kNow, Endpoint(), message, out);
      }
    }
  }

  SeededRandom random{1};
  std::unique_ptr<Balancer> balancer;
};

void RunRoutingBenchmark(benchmark::State& state, int64_t services,
                         int64_t agents) {
  BalancerFixture fixture(services, agents, 0);
  uint32_t caller = 0;
  for (auto unused : state) {
    ++caller;
    Outbox out;
    fixture.balancer->OnCallerDatagram(
        kNow, {Endpoint(caller, 1), ServiceAddress(caller % services)},
        std::string(60, 'x'), out);
    benchmark::DoNotOptimize(out.Take());
  }
}

void BM_RouteAgainstAgents(benchmark::State& state) {
  RunRoutingBenchmark(state, 1, state.range(0));
}
BENCHMARK(BM_RouteAgainstAgents)->Arg(3)->Arg(30)->Arg(100)->Arg(300);

void BM_RouteAgainstAddresses(benchmark::State& state) {
  RunRoutingBenchmark(state, state.range(0), 3);
}
BENCHMARK(BM_RouteAgainstAddresses)->Arg(28)->Arg(280)->Arg(2800);

void BM_MemberChange(benchmark::State& state) {
  ServiceTable table;
  table.SetConfiguration(MakeConfiguration(state.range(0)));
  Member member;
  member.record = MakeRecord("s0-0", schema::Role::kAgent, 1);
  for (auto unused : state) {
    member.record.draining = !member.record.draining;
    table.SetMember(member);
  }
}
BENCHMARK(BM_MemberChange)->Arg(280)->Arg(1400)->Arg(2800);

/** One service changes its rules; the table holds 2.6 agents per service. */
void BM_ConfigurationChange(benchmark::State& state) {
  const int64_t services = state.range(0);
  auto configuration = MakeConfiguration(services);
  ServiceTable table;
  table.SetConfiguration(configuration);
  for (int64_t i = 0; i < services * 26 / 10; ++i) {
    Member member;
    const std::string name =
        "s" + std::to_string(i % services) + "-" + std::to_string(i / services);
    member.record =
        MakeRecord(name, schema::Role::kAgent, static_cast<uint32_t>(i));
    table.SetMember(member);
  }
  for (auto unused : state) {
    auto& zone = configuration.services["s0"].targets[0].zone;
    zone = zone.empty() ? "z" : "";
    table.SetConfiguration(configuration);
  }
}
BENCHMARK(BM_ConfigurationChange)->Arg(280)->Arg(1400)->Arg(2800);

}  // namespace
}  // namespace sesamesaddle

BENCHMARK_MAIN();
