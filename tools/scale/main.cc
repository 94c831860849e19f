// Measures how memory, traffic and time grow with size, at three or more sizes
// each; docs/CAPACITY.md is calculated from the slopes. Each subcommand prints
// a table. The real classes run in one process on a virtual clock.

#include <malloc.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "agent/flow_registry.h"
#include "configuration/change_rules.h"
#include "control_network.h"
#include "routing/flow_directory.h"
#include "virtual_cluster.h"

namespace sesamesaddle {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Returns the heap bytes that `make` leaves in use. */
template <typename Make>
double HeapBytes(const Make& make) {
  const auto before = mallinfo2().uordblks + mallinfo2().hblkhd;
  const auto kept = make();
  const auto after = mallinfo2().uordblks + mallinfo2().hblkhd;
  return static_cast<double>(after) - static_cast<double>(before);
}

schema::MemberRecord MakeRecord(size_t i, schema::Role::type role) {
  schema::MemberRecord record;
  record.name = "ordering-target-" + std::to_string(i);
  record.role = role;
  record.zone = "zone-" + std::to_string(i % 7);
  record.endpoint =
      Endpoint(0x0a000000 + static_cast<uint32_t>(i), 7000).Pack();
  record.admin = record.endpoint;
  record.state = schema::MemberState::kAlive;
  record.slots = 3;
  record.born_ms = 1;
  record.id = MakeMemberId(record.name, 1).value();
  return record;
}

schema::ChangeRecord MakeChange(int64_t revision) {
  schema::CreateService create;
  create.name = "service-" + std::to_string(revision);
  create.address =
      Endpoint(0x0b000000 + static_cast<uint32_t>(revision), 5683).Pack();
  schema::ChangeRecord record;
  record.revision = revision;
  record.change_id = "0123456789abcdef";
  record.author = "operator";
  record.time_ms = 1800000000000;
  record.change.__set_create_service(create);
  record.text = "create service " + create.name + " address 11.0.0.1:5683";
  return record;
}

// ---- Memory.

double MemberBytes(size_t count) {
  return HeapBytes([count] {
    static SeededRandom random(1);
    auto members = std::make_unique<Membership>(
        MakeRecord(0, schema::Role::kBalancer), MembershipOptions(), random);
    std::vector<OutgoingGossip> out;
    for (size_t i = 1; i <= count; ++i) {
      schema::Gossip gossip;
      gossip.kind = schema::GossipKind::kAck;
      gossip.sender = MakeRecord(i, schema::Role::kAgent);
      members->OnGossip(TimePoint(seconds(1)), Endpoint(), gossip, Revision(),
                        out);
    }
    members->TakeChanges();
    return members;
  });
}

double ServiceBytes(size_t count) {
  return HeapBytes([count] {
    auto replica = std::make_unique<ConfigurationReplica>();
    auto table = std::make_unique<ServiceTable>();
    schema::Configuration configuration;
    for (size_t i = 1; i <= count; ++i) {
      schema::Service service;
      service.id = static_cast<int64_t>(i);
      service.name = "service-" + std::to_string(i);
      service.address = static_cast<int64_t>(i);
      schema::TargetRule rule;
      rule.pattern = service.name + "-target-*";
      service.targets = {rule};
      configuration.services[service.name] = service;
    }
    configuration.revision = 1;
    replica->OfferSnapshot(configuration);
    table->SetConfiguration(replica->current());
    return std::make_pair(std::move(replica), std::move(table));
  });
}

double DirectoryBytes(size_t count) {
  return HeapBytes([count] {
    auto directory = std::make_unique<FlowDirectory>();
    for (size_t i = 0; i < count; ++i) {
      directory->Register({Endpoint(static_cast<uint32_t>(i), 1), Endpoint()},
                          {MemberId(1), Epoch(1)});
    }
    return directory;
  });
}

double HintBytes(size_t count) {
  return HeapBytes([count] {
    auto hints = std::make_unique<HintCache>(count);
    for (size_t i = 0; i < count; ++i) {
      hints->Put({Endpoint(static_cast<uint32_t>(i), 1), Endpoint()},
                 MemberId(1));
    }
    return hints;
  });
}

/** Flows at one agent, each with one answered write and one feed. */
double FlowBytes(size_t count) {
  return HeapBytes([count] {
    ClusterOptions options;
    auto cluster = std::make_unique<VirtualCluster>(options);
    cluster->AddBalancer();
    cluster->AddAgent("a-0", 1000);
    constexpr Endpoint kService(0x7f000101, 5683);
    cluster->RunFor(seconds(1));
    cluster->AddService("s", kService, "a-*");
    cluster->RunFor(seconds(1));
    cluster->target(0).work = std::chrono::milliseconds(1);
    for (size_t i = 0; i < count; ++i) {
      VirtualCaller& caller = cluster->AddCaller(kService);
      caller.StartFeed(cluster->now(), "feed");
      caller.Start(cluster->now(), coap::Code::kPost, std::to_string(i));
      if (i % 50 == 49) cluster->RunFor(std::chrono::milliseconds(20));
    }
    cluster->RunFor(seconds(2));
    if (cluster->agent(0).flows().owned().size() != count) {
      fprintf(stderr, "scale: not all flows were placed\n");
    }
    cluster->callers().clear();
    return cluster;
  });
}

void MeasureMemory() {
  struct Row {
    const char* what;
    double (*bytes)(size_t);
    std::vector<size_t> sizes;
  };
  const std::vector<Row> rows = {
      {"member", MemberBytes, {1000, 4000, 8000}},
      {"service address", ServiceBytes, {700, 1400, 2800}},
      {"directory entry", DirectoryBytes, {1000, 10000, 100000}},
      {"hint", HintBytes, {1000, 10000, 65536}},
      {"flow with feed and write", FlowBytes, {250, 500, 1000, 2000}},
  };
  printf("%-26s %10s %14s %10s\n", "what", "count", "bytes", "each");
  for (const Row& row : rows) {
    for (const size_t size : row.sizes) {
      const double bytes = row.bytes(size);
      printf("%-26s %10zu %14.0f %10.0f\n", row.what, size, bytes,
             bytes / static_cast<double>(size));
    }
  }
}

// ---- Gossip.

std::unique_ptr<ControlNetwork> MakeControlNetwork(size_t count,
                                                   size_t zones = 7) {
  MembershipOptions options;
  auto network = std::make_unique<ControlNetwork>(count, options);
  for (size_t i = 0; i < count; ++i) {
    network->Add(i % 10 == 0 ? schema::Role::kBalancer : schema::Role::kAgent,
                 "zone-" + std::to_string(i * zones / count));
  }
  return network;
}

void MeasureGossip(const std::vector<size_t>& sizes) {
  printf("%8s %10s %14s %14s %14s\n", "members", "join_s", "bytes/s/member",
         "msgs/s/member", "cpu_us/s/member");
  for (const size_t size : sizes) {
    auto network = MakeControlNetwork(size);
    const Duration join =
        network->RunUntil([&] { return network->Converged(); }, minutes(3));
    // Lets the member updates of the start disseminate first.
    network->RunFor(seconds(30));
    const double cpu = CpuSeconds();
    constexpr int kMeasured = 20;
    network->RunFor(seconds(kMeasured));
    const double spent = CpuSeconds() - cpu;
    network->ResetTraffic();
    network->count_bytes = true;
    network->RunFor(seconds(kMeasured));
    const auto total = network->Total();
    const double member_seconds = static_cast<double>(size) * kMeasured;
    printf("%8zu %10.1f %14.0f %14.2f %14.0f\n", size, Seconds(join),
           static_cast<double>(total.bytes) / member_seconds,
           static_cast<double>(total.messages) / member_seconds,
           spent * 1e6 / member_seconds);
    fflush(stdout);
  }
}

void MeasureChange(const std::vector<size_t>& sizes) {
  printf("%8s %14s %18s %18s\n", "members", "in_force_ms", "bytes/member",
         "messages/member");
  for (const size_t size : sizes) {
    auto network = MakeControlNetwork(size);
    network->RunUntil([&] { return network->Converged(); }, minutes(3));
    network->RunFor(seconds(30));
    network->count_bytes = true;
    network->ResetTraffic();
    network->RunFor(seconds(6));
    const auto idle = network->Total();
    network->ResetTraffic();
    network->Record(1, MakeChange(1));
    const Duration took = network->RunUntil(
        [&] { return network->CountAtRevision(Revision(1)) == size; },
        minutes(1));
    network->RunFor(seconds(6) - took);
    const auto busy = network->Total();
    const auto each = [size](int64_t value) {
      return static_cast<double>(value) / static_cast<double>(size);
    };
    printf("%8zu %14.0f %18.0f %18.2f\n", size, Seconds(took) * 1000,
           each(busy.bytes - idle.bytes), each(busy.messages - idle.messages));
    fflush(stdout);
  }
}

/**
 * Measures time and traffic until the members agree after a failure. zone and
 * rack: consecutive members, a zone's worth or one of 200, fail at once.
 * restart: a quarter restarts at once. split: two halves lose contact, then the
 * network heals.
 */
void MeasureFailure(const std::vector<size_t>& sizes, const std::string& kind) {
  printf("%8s %10s %12s %18s %18s\n", "members", "affected", "agree_s",
         "mean bytes/s", "most bytes/s");
  for (const size_t size : sizes) {
    auto network = MakeControlNetwork(size);
    network->RunUntil([&] { return network->Converged(); }, minutes(3));
    network->RunFor(seconds(30));
    size_t affected = size / 7;
    if (kind == "zone" || kind == "rack") {
      if (kind == "rack") affected = size / 200 + 1;
      // Spares the seeds, so that only the failure of other members is
      // measured.
      for (size_t i = 10; i < 10 + affected; ++i) network->Kill(i);
    } else if (kind == "restart") {
      affected = size / 4;
      for (size_t i = 10; i < 10 + affected; ++i) network->Restart(i);
    } else {
      affected = size / 2;
      network->Split(affected);
      // Long enough for each half to mark all members of the other dead.
      network->RunFor(minutes(5));
      network->Split(0);
    }
    network->count_bytes = true;
    network->ResetTraffic();
    const Duration took =
        network->RunUntil([&] { return network->Converged(); }, minutes(5));
    const auto total = network->Total();
    printf("%8zu %10zu %12.1f %18.0f %18lld%s\n", size, affected, Seconds(took),
           static_cast<double>(total.bytes) /
               (static_cast<double>(network->Running()) *
                std::max(1.0, Seconds(took))),
           static_cast<long long>(total.peak_bytes_per_second),  // NOLINT
           network->Converged() ? "" : "  (not agreed)");
    fflush(stdout);
  }
}

/**
 * Measures how long a process without state takes to obtain the members and a
 * full configuration.
 */
void MeasureStart(const std::vector<size_t>& sizes) {
  constexpr int64_t kServices = 2800;
  printf("%8s %10s %12s %12s\n", "members", "services", "members_s",
         "services_s");
  for (const size_t size : sizes) {
    auto network = MakeControlNetwork(size);
    network->RunUntil([&] { return network->Converged(); }, minutes(3));
    schema::Configuration snapshot;
    for (int64_t revision = 1; revision <= kServices; ++revision) {
      const auto applied =
          ApplyChange(snapshot, MakeChange(revision).change, revision);
      if (!applied) fprintf(stderr, "scale: a change was refused\n");
    }
    for (size_t i = 0; i < network->size(); ++i) {
      network->node(i).OnSnapshot(snapshot);
    }
    network->RunFor(seconds(20));
    const size_t new_member = network->Add();
    ControlPlane& node = network->node(new_member);
    const Duration members = network->RunUntil(
        [&] { return node.membership().present_count() == size; }, minutes(3));
    const Duration services = network->RunUntil(
        [&] { return node.replica().revision() == Revision(kServices); },
        minutes(1));
    printf("%8zu %10lld %12.1f %12.1f\n", size,
           static_cast<long long>(kServices),  // NOLINT
           Seconds(members), Seconds(members + services));
    fflush(stdout);
  }
}

// ---- Drain.

void MeasureDrain() {
  printf("%8s %12s %14s\n", "flows", "handed_s", "flows/s");
  for (const size_t flows : {250, 500, 1000, 2000}) {
    ClusterOptions options;
    VirtualCluster cluster(options);
    cluster.AddBalancer();
    cluster.AddAgent("a-0", 1000);
    constexpr Endpoint kService(0x7f000101, 5683);
    cluster.RunFor(seconds(1));
    cluster.AddService("s", kService, "a-*");
    cluster.RunFor(seconds(1));
    for (size_t i = 0; i < flows; ++i) {
      cluster.AddCaller(kService).StartFeed(cluster.now(), "feed");
      if (i % 50 == 49) cluster.RunFor(std::chrono::milliseconds(20));
    }
    cluster.AddAgent("a-1", 1000);
    cluster.AddAgent("a-2", 1000);
    cluster.RunFor(seconds(15));
    cluster.SetMode("a-0", schema::InstanceMode::kDraining);
    const TimePoint start = cluster.now();
    while (!cluster.agent(0).flows().owned().empty() &&
           cluster.now() - start < minutes(2)) {
      cluster.RunFor(std::chrono::milliseconds(10));
    }
    const double took = Seconds(cluster.now() - start);
    printf("%8zu %12.2f %14.0f\n", flows, took,
           static_cast<double>(flows) / took);
  }
}

int Main(int argc, char** argv) {
  std::vector<size_t> sizes = {64, 256, 1024};
  CLI::App app("Measures how the costs of the design grow.", "scale");
  app.require_subcommand(1);
  app.add_option("--sizes", sizes, "Fleet sizes, ascending")
      ->delimiter(',')
      ->capture_default_str();
  const auto add = [&app](const char* name, const char* help) {
    return app.add_subcommand(name, help)->fallthrough();
  };
  const auto* memory = add("memory", "Bytes per member, address, flow, entry");
  const auto* gossip = add("gossip", "Bytes and processor time per member");
  const auto* change = add("change", "Bytes and time of one change");
  const auto* zone = add("zone", "A seventh of the members dies at once");
  const auto* rack = add("rack", "One member of 200 dies at once");
  const auto* restart = add("restart", "A quarter restarts at once");
  const auto* split = add("split", "Two halves lose each other and meet again");
  const auto* start = add("start", "One process starts from nothing");
  const auto* drain = add("drain", "Flows of one agent go to others");
  CLI11_PARSE(app, argc, argv);
  if (memory->parsed()) MeasureMemory();
  if (gossip->parsed()) MeasureGossip(sizes);
  if (change->parsed()) MeasureChange(sizes);
  if (zone->parsed()) MeasureFailure(sizes, "zone");
  if (rack->parsed()) MeasureFailure(sizes, "rack");
  if (restart->parsed()) MeasureFailure(sizes, "restart");
  if (split->parsed()) MeasureFailure(sizes, "split");
  if (start->parsed()) MeasureStart(sizes);
  if (drain->parsed()) MeasureDrain();
  return 0;
}

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) { return sesamesaddle::Main(argc, argv); }
