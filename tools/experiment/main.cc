// Plays ways of running the system on the users' bench and compares them.

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "comparison.h"

namespace sesamesaddle {
namespace {

constexpr char kDeployFile[] = "deploy/system.toml";

struct Options {
  std::string plan_path;
  std::string bench;
  std::string tree;
  std::string results;
  size_t jobs = 4;
  bool table_only = false;
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Starts the bench in the tree; returns its process id, or -1. */
pid_t StartBench(const Options& options, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), options.bench);
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addchdir_np(&actions, options.tree.c_str());
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null",
                                   O_WRONLY, 0);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t child = -1;
  const int failed = posix_spawn(&child, options.bench.c_str(), &actions,
                                 nullptr, pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  return failed == 0 ? child : -1;
}

/** Plays what is missing of one way, several plays at a time. */
bool PlayWay(const Options& options, const ExperimentPlan& plan,
             const PlayStore& store, const Way& way) {
  std::deque<Play> missing;
  for (const Play& play : plan.plays) {
    if (!store.Read(way, play)) missing.push_back(play);
  }
  std::map<pid_t, Play> running;
  bool complete = true;
  while (!missing.empty() || !running.empty()) {
    while (!missing.empty() && running.size() < options.jobs) {
      const Play play = missing.front();
      missing.pop_front();
      const pid_t child =
          StartBench(options, BenchArguments(play, plan.name + ": " + way.name,
                                             store.PathOf(way, play)));
      if (child < 0) {
        fprintf(stderr, "experiment: %s cannot be started\n",
                options.bench.c_str());
        return false;
      }
      running.emplace(child, play);
    }
    int status = 0;
    const pid_t ended = waitpid(-1, &status, 0);
    const auto it = running.find(ended);
    if (it == running.end()) continue;
    const bool played = store.Read(way, it->second).has_value();
    printf("%s, %s: %s\n", way.name.c_str(), NameOf(it->second).c_str(),
           played ? "played" : "no report");
    fflush(stdout);
    complete = complete && played;
    running.erase(it);
  }
  return complete;
}

int Run(Options options) {
  const auto plan = ParseExperimentPlan(ReadFile(options.plan_path));
  if (!plan) {
    fprintf(stderr, "experiment: %s: %s\n", options.plan_path.c_str(),
            plan.error().c_str());
    return 2;
  }
  options.results = std::filesystem::absolute(options.results);
  std::filesystem::create_directories(options.results);
  const PlayStore store(options.results);
  bool complete = true;
  const std::string deploy_path = options.tree + "/" + kDeployFile;
  const std::string deploy = ReadFile(deploy_path);
  for (const Way& way : plan->ways) {
    if (options.table_only) break;
    const auto changed =
        WithArguments(deploy, way.balancer_arguments, way.agent_arguments);
    if (!changed) {
      fprintf(stderr, "experiment: %s: %s\n", deploy_path.c_str(),
              changed.error().c_str());
      return 2;
    }
    std::ofstream(deploy_path) << *changed;
    complete = PlayWay(options, *plan, store, way) && complete;
    std::ofstream(deploy_path) << deploy;
  }
  const std::string table = FormatComparison(*plan, store);
  std::ofstream(options.results + "/comparison.md") << table;
  fputs(table.c_str(), stdout);
  return complete ? 0 : 1;
}

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) {
  sesamesaddle::Options options;
  CLI::App app(
      "Compares ways of running the system on the same days and seeds.",
      "experiment");
  app.add_option("plan", options.plan_path, "Ways, deployments, days (TOML)")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--bench", options.bench, "The users' bench")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--tree", options.tree,
                 "A scratch copy of the repository, whose deploy file is "
                 "changed for each way")
      ->required()
      ->check(CLI::ExistingDirectory);
  app.add_option("--results", options.results,
                 "Folder of the reports; plays that have one are not repeated")
      ->required();
  app.add_option("--jobs", options.jobs, "Plays at a time")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  app.add_flag("--table", options.table_only, "Only print the comparison");
  CLI11_PARSE(app, argc, argv);
  return sesamesaddle::Run(options);
}
