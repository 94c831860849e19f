// Runs planned changes and failures with each mechanism on and off and prints a
// table; all runs use a virtual clock. The baseline places a flow on a live
// target by hash alone, without directory, load, deduplication or handover.

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

// Requests per second: 70 % of 7 targets x 3 slots at a mean of 20 ms.
constexpr double kRequestsPerSecond = 735;
constexpr size_t kCallers = 140;
constexpr size_t kFeeds = 40;
constexpr double kWriteShare = 0.3;
constexpr double kHotShare = 0.3;
// A longer time without a notification breaks the feed's flow; the state of a
// feed changes each second.
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
  const auto no_offload = [](AgentOptions& o) { o.runner.offload = false; };
  const auto no_deduplication = [](AgentOptions& o) {
    o.deduplicate_requests = false;
  };
  const auto no_handover = [](AgentOptions& o) { o.hand_over = false; };
  return {{"all", [](AgentOptions&) {}},
          {"no directory", no_directory},
          {"no lending", no_offload},
          {"no memory", no_deduplication},
          {"no handover", no_handover},
          {"baseline", [=](AgentOptions& o) {
             no_directory(o);
             no_offload(o);
             no_deduplication(o);
             no_handover(o);
             o.flows.place_by_hash = true;
           }}};
}

void Load(Scenario& scenario, Duration duration) {
  scenario.Load(duration, kRequestsPerSecond, kWriteShare);
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
         // The stop timeout ends the agent if it still runs.
         s.cluster().KillAgent(2);
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
           s.Load(seconds(4), kRequestsPerSecond / 4, kWriteShare);
           s.cluster().SetMode(name, schema::InstanceMode::kServing);
           s.Load(seconds(2), kRequestsPerSecond / 4, kWriteShare);
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

void RunCase(const Case& test_case, const Variant& variant, uint64_t seed) {
  ClusterOptions options;
  options.seed = seed;
  variant.change(options.agent);
  Scenario scenario(options);
  scenario.hot_share = kHotShare;
  scenario.AddCallers(kCallers, kFeeds);
  Load(scenario, seconds(5));
  scenario.ResetWorkBaseline();
  test_case.run(scenario);
  const double imbalance = scenario.Imbalance();
  scenario.Finish();
  const auto ms = [&scenario](double percent) {
    return std::chrono::duration<double, std::milli>(
               scenario.Percentile(percent))
        .count();
  };
  printf("%-20s %-13s %8d %8d %6d %6d %6d %7d %6.2f %8.1f %8.1f\n",
         test_case.name, variant.name,
         scenario.Count(RequestOutcome::kAnswered),
         scenario.Count(RequestOutcome::kNotRun),
         scenario.Count(RequestOutcome::kUnknown), scenario.DuplicateRuns(),
         scenario.MisreportedOutcomes(), scenario.BrokenFlows(kFeedBound),
         imbalance, ms(50), ms(99));
  fflush(stdout);
}

int Main(int argc, char** argv) {
  uint64_t seed = 1;
  std::string only_case;
  CLI::App app("Compares mechanisms and a baseline.", "compare");
  app.add_option("--seed", seed, "Seed of the run")->capture_default_str();
  app.add_option("--case", only_case, "Only the case of that name");
  CLI11_PARSE(app, argc, argv);
  printf("%-20s %-13s %8s %8s %6s %6s %6s %7s %6s %8s %8s\n", "case", "variant",
         "answered", "not_run", "unkn", "dupl", "false", "broken", "imbal",
         "p50_ms", "p99_ms");
  for (const Case& test_case : Cases()) {
    if (!only_case.empty() && only_case != test_case.name) continue;
    for (const Variant& variant : Variants()) RunCase(test_case, variant, seed);
  }
  return 0;
}

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) { return sesamesaddle::Main(argc, argv); }
