// Runs planned changes and failures with mechanisms on and off, and against a
// baseline router (a flow goes to one live target by hash, without ownership,
// load, memory or handover), on the virtual clock. Prints a table.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "scenario.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// 70 % of 7 targets x 3 slots at a mean of 20 ms.
constexpr double kRate = 735;
constexpr size_t kCallers = 140;
constexpr size_t kFeeds = 40;
constexpr double kWrites = 0.3;
constexpr double kHot = 0.3;
// A feed that is silent for longer breaks its flow; its state changes each
// second.
constexpr Duration kFeedBound = seconds(5);

struct Variant {
  const char* name;
  std::function<void(AgentOptions&)> change;
};

struct Case {
  const char* name;
  std::function<void(Scenario&)> run;
};

std::vector<Variant> Variants() {
  const auto no_directory = [](AgentOptions& o) {
    o.flows.use_directory = false;
  };
  const auto no_lending = [](AgentOptions& o) { o.runner.offload = false; };
  const auto no_memory = [](AgentOptions& o) {
    o.deduplicate_requests = false;
  };
  const auto no_handover = [](AgentOptions& o) { o.hand_over = false; };
  return {{"all", [](AgentOptions&) {}},
          {"no directory", no_directory},
          {"no lending", no_lending},
          {"no memory", no_memory},
          {"no handover", no_handover},
          {"baseline", [=](AgentOptions& o) {
             no_directory(o);
             no_lending(o);
             no_memory(o);
             no_handover(o);
             o.flows.place_by_hash = true;
           }}};
}

void Load(Scenario& scenario, Duration duration) {
  scenario.Load(duration, kRate, kWrites);
}

std::vector<Case> Cases() {
  return {
      {"steady", [](Scenario& s) { Load(s, seconds(20)); }},
      {"drain",
       [](Scenario& s) {
         Load(s, seconds(5));
         s.cluster().SetMode("order-2", schema::InstanceMode::kDraining);
         Load(s, seconds(15));
       }},
      {"agent restart",
       [](Scenario& s) {
         Load(s, seconds(5));
         s.cluster().StopAgent(2);
         Load(s, seconds(5));
         s.cluster().KillAgent(2);  // The stop timeout, if it still runs.
         s.cluster().AddAgent("order-n", Scenario::kSlots);
         Load(s, seconds(10));
       }},
      {"balancer killed",
       [](Scenario& s) {
         Load(s, seconds(5));
         s.cluster().KillBalancer(0);
         Load(s, seconds(15));
       }},
      {"target joins",
       [](Scenario& s) {
         Load(s, seconds(5));
         s.cluster().AddAgent("order-n", Scenario::kSlots);
         Load(s, seconds(15));
       }},
      {"target lost",
       [](Scenario& s) {
         Load(s, seconds(5));
         s.cluster().KillAgent(2);
         Load(s, seconds(15));
       }},
      {"slow target",
       [](Scenario& s) {
         s.cluster().target(2).work = milliseconds(100);
         Load(s, seconds(20));
       }},
      {"drains under loss",
       [](Scenario& s) {
         s.cluster().options().loss_percent = 8;
         for (const char* name : {"order-1", "order-4", "order-5"}) {
           s.cluster().SetMode(name, schema::InstanceMode::kDraining);
           s.Load(seconds(4), kRate / 4, kWrites);
           s.cluster().SetMode(name, schema::InstanceMode::kServing);
           s.Load(seconds(2), kRate / 4, kWrites);
         }
       }},
      {"loss and repetition",
       [](Scenario& s) {
         s.cluster().options().loss_percent = 3;
         s.cluster().options().duplicate_percent = 5;
         Load(s, seconds(20));
       }},
  };
}

void RunOne(const Case& one, const Variant& variant, uint64_t seed) {
  ClusterOptions options;
  options.seed = seed;
  variant.change(options.agent);
  Scenario scenario(options);
  scenario.hot_share = kHot;
  scenario.AddCallers(kCallers, kFeeds);
  Load(scenario, seconds(5));
  scenario.ResetWorkBaseline();
  one.run(scenario);
  const double imbalance = scenario.Imbalance();
  scenario.Finish();
  const auto ms = [&scenario](double percent) {
    return std::chrono::duration<double, std::milli>(
               scenario.Percentile(percent))
        .count();
  };
  printf("%-20s %-13s %8d %8d %6d %6d %6d %7d %6.2f %8.1f %8.1f\n", one.name,
         variant.name, scenario.Count(RequestOutcome::kAnswered),
         scenario.Count(RequestOutcome::kNotRun),
         scenario.Count(RequestOutcome::kUnknown), scenario.DuplicateRuns(),
         scenario.MisreportedOutcomes(), scenario.BrokenFlows(kFeedBound),
         imbalance, ms(50), ms(99));
  fflush(stdout);
}

int Main(int argc, char** argv) {
  uint64_t seed = 1;
  std::string only;
  CLI::App app("Compares mechanisms and a baseline.", "compare");
  app.add_option("--seed", seed, "Seed of the run")->capture_default_str();
  app.add_option("--case", only, "Only the case of that name");
  CLI11_PARSE(app, argc, argv);
  printf("%-20s %-13s %8s %8s %6s %6s %6s %7s %6s %8s %8s\n", "case", "variant",
         "answered", "not_run", "unkn", "dupl", "false", "broken", "imbal",
         "p50_ms", "p99_ms");
  for (const Case& one : Cases()) {
    if (!only.empty() && only != one.name) continue;
    for (const Variant& variant : Variants()) RunOne(one, variant, seed);
  }
  return 0;
}

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) { return sesamesaddle::Main(argc, argv); }
