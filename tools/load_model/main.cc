// Plays a load with ways of admitting flows, and prints what the clients got.

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "load_model.h"

namespace sesamesaddle {
namespace {

struct Options {
  std::string scenario_path;
  std::vector<std::string> ways = {"order=priority", "order=deadline"};
  uint64_t first_seed = 1;
  int seeds = 3;
  bool windows = false;
};

void PrintOutcome(const char* name, const Outcome& outcome) {
  printf("  %-18s %7d %7d %7d %8d   %.3f\n", name, outcome.sent,
         outcome.in_time, outcome.late, outcome.unserved(), outcome.worth());
}

void AddTo(Outcome& sum, const Outcome& outcome) {
  sum.sent += outcome.sent;
  sum.in_time += outcome.in_time;
  sum.late += outcome.late;
  sum.value_sent += outcome.value_sent;
  sum.value_earned += outcome.value_earned;
}

void AddTo(std::vector<Outcome>& sums, const std::vector<Outcome>& outcomes) {
  if (sums.size() < outcomes.size()) sums.resize(outcomes.size());
  for (size_t i = 0; i < outcomes.size(); ++i) AddTo(sums[i], outcomes[i]);
}

/** Plays the scenario with each seed and prints the sums. */
template <typename Play>
void PrintWay(const std::string& name, const LoadScenario& scenario,
              const Options& options, Play play) {
  const auto began = std::chrono::steady_clock::now();
  LoadResult sum;
  for (int i = 0; i < options.seeds; ++i) {
    const LoadResult result = play(options.first_seed + i);
    AddTo(sum.all, result.all);
    AddTo(sum.by_class, result.by_class);
    AddTo(sum.by_window, result.by_window);
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - began;
  printf("%s (%.1f s a play)\n", name.c_str(), took.count() / options.seeds);
  PrintOutcome("all", sum.all);
  for (size_t i = 0; i < sum.by_class.size(); ++i) {
    PrintOutcome(scenario.classes[i].name.c_str(), sum.by_class[i]);
  }
  if (!options.windows) return;
  for (size_t i = 0; i < sum.by_window.size(); ++i) {
    const auto second =
        i * static_cast<size_t>(LoadResult::kWindow / std::chrono::seconds(1));
    PrintOutcome(("from second " + std::to_string(second)).c_str(),
                 sum.by_window[i]);
  }
}

int Run(const Options& options) {
  std::ifstream file(options.scenario_path);
  std::stringstream document;
  document << file.rdbuf();
  const auto scenario = ParseLoadScenario(document.str());
  if (!file || !scenario) {
    fprintf(stderr, "load_model: %s: %s\n", options.scenario_path.c_str(),
            file ? scenario.error().c_str() : "cannot be read");
    return 2;
  }
  printf("%-20s %7s %7s %7s %8s   %s\n", "", "sent", "in time", "late",
         "unserved", "worth");
  for (const std::string& name : options.ways) {
    const auto way = ParseAdmissionOptions(name);
    if (!way) {
      fprintf(stderr, "load_model: %s\n", way.error().c_str());
      return 2;
    }
    PrintWay(name, *scenario, options,
             [&](uint64_t seed) { return PlayLoad(*scenario, *way, seed); });
  }
  PrintWay("bound", *scenario, options,
           [&](uint64_t seed) { return BoundOfLoad(*scenario, seed); });
  return 0;
}

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) {
  sesamesaddle::Options options;
  CLI::App app("Plays a load with several ways of admitting flows.",
               "load_model");
  app.add_option("scenario", options.scenario_path, "The load (TOML)")
      ->required();
  app.add_option("--way", options.ways,
                 "Settings of the admission, as for --admission of "
                 "sesamesaddled; may be repeated");
  app.add_option("--seed", options.first_seed, "First seed")
      ->capture_default_str();
  app.add_option("--seeds", options.seeds, "Plays of each way")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  app.add_flag("--windows", options.windows,
               "Also print what was sent in each two seconds");
  CLI11_PARSE(app, argc, argv);
  return sesamesaddle::Run(options);
}
