#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "daemon/seed_discovery.h"
#include "daemon/settings.h"
#include "fake_store.h"

namespace sesamesaddle {
namespace {

std::vector<std::string> AgentArguments() {
  return {"sesamesaddled",  "agent",
          "--name",         "a-1",
          "--zone",         "z",
          "--listen",       "127.0.0.1:1000",
          "--admin-listen", "127.0.0.1:1001",
          "--platform",     "127.0.0.1:1002",
          "--target",       "127.0.0.1:1003"};
}

std::vector<std::string> BalancerArguments() {
  auto arguments = AgentArguments();
  arguments[1] = "balancer";
  arguments.resize(arguments.size() - 2);
  for (const char* text :
       {"--fabric-listen", "127.0.0.1:1004", "--fabric", "127.0.0.1:1005"}) {
    arguments.emplace_back(text);
  }
  return arguments;
}

/** Sets the value of a flag; an empty value removes the flag. */
std::vector<std::string> With(std::vector<std::string> arguments,
                              const std::string& flag,
                              const std::string& value) {
  const auto it = std::find(arguments.begin(), arguments.end(), flag);
  if (value.empty()) {
    arguments.erase(it, it + 2);
  } else if (it == arguments.end()) {
    arguments.push_back(flag);
    arguments.push_back(value);
  } else {
    *(it + 1) = value;
  }
  return arguments;
}

std::string ErrorOf(const std::vector<std::string>& arguments) {
  const auto settings = ReadSettings(arguments);
  if (settings) return "";
  CHECK(settings.error().code == 2);
  return settings.error().text;
}

TEST_CASE("Valid settings are parsed") {
  const auto agent = ReadSettings(With(AgentArguments(), "--slots", "3"));
  REQUIRE(agent.has_value());
  CHECK(agent->role == schema::Role::kAgent);
  CHECK(agent->slots == 3);
  CHECK(agent->target == Endpoint::Parse("127.0.0.1:1003")->Pack());
  const auto balancer = ReadSettings(BalancerArguments());
  REQUIRE(balancer.has_value());
  CHECK(balancer->role == schema::Role::kBalancer);
}

TEST_CASE(
    "An invalid setting gives a one-line error with its flag and variable") {
  const auto check_error = [](const std::string& flag, const std::string& value,
                              const std::string& expected) {
    const std::string text = ErrorOf(With(AgentArguments(), flag, value));
    CHECK(text == "sesamesaddled: " + expected + "\n");
  };
  check_error(
      "--zone", "",
      "--zone (SESAMESADDLE_ZONE): missing; expected the availability zone");
  check_error("--name", "a b",
              "--name (SESAMESADDLE_NAME): \"a b\" is not a valid name (use "
              "letters, digits, - _ .)");
  check_error(
      "--listen", "here:1",
      "--listen (SESAMESADDLE_LISTEN): the address is not an IPv4 address, "
      "not \"here:1\"");
  check_error("--target", "127.0.0.1",
              "--target (SESAMESADDLE_TARGET): the port is missing, expected "
              "ADDRESS:PORT, not \"127.0.0.1\"");
  check_error("--slots", "0",
              "--slots (SESAMESADDLE_SLOTS): 0 is not in the range 1 to 10000");
  check_error(
      "--log-level", "loud",
      "--log-level (SESAMESADDLE_LOG_LEVEL): \"loud\" is not debug, info, "
      "warning or error");
  check_error(
      "--admin-listen", "10.0.0.1:1",
      "--admin-listen (SESAMESADDLE_ADMIN_LISTEN): without a token the API "
      "listens on 127.0.0.0/8 only; set SESAMESADDLE_ADMIN_TOKEN or "
      "--admin-token-file");
  check_error(
      "--admin-token-file", "/nonexistent",
      "--admin-token-file (SESAMESADDLE_ADMIN_TOKEN_FILE): no token can be "
      "read from \"/nonexistent\"");
}

TEST_CASE("Conflicting, unknown and missing arguments are errors") {
  CHECK(ErrorOf(With(BalancerArguments(), "--fabric-listen", "127.0.0.1:1000"))
            .find("conflicts with --listen (SESAMESADDLE_LISTEN)") !=
        std::string::npos);
  CHECK(ErrorOf(With(AgentArguments(), "--colour", "red")).find("--colour") !=
        std::string::npos);
  CHECK(ErrorOf(With(AgentArguments(), "--slots", "many")).find("--slots") !=
        std::string::npos);
  CHECK_FALSE(ErrorOf({"sesamesaddled"}).empty());
}

TEST_CASE("An environment variable applies unless its flag is given") {
  setenv("SESAMESADDLE_SLOTS", "5", 1);
  CHECK(ReadSettings(AgentArguments())->slots == 5);
  CHECK(ReadSettings(With(AgentArguments(), "--slots", "3"))->slots == 3);
  unsetenv("SESAMESADDLE_SLOTS");
  setenv("SESAMESADDLE_ADMIN_TOKEN", "secret", 1);
  const auto open =
      ReadSettings(With(AgentArguments(), "--admin-listen", "10.0.0.1:1"));
  unsetenv("SESAMESADDLE_ADMIN_TOKEN");
  REQUIRE(open.has_value());
  CHECK(open->admin_token == "secret");
}

TEST_CASE("The help and version flags print their text and exit with code 0") {
  CHECK(ReadSettings({"sesamesaddled", "--help"}).error().code == 0);
  CHECK(ReadSettings({"sesamesaddled", "agent", "--help"})
            .error()
            .text.find("--slots") != std::string::npos);
  CHECK(ReadSettings({"sesamesaddled", "--version"}).error().text ==
        "sesamesaddled " + std::string(kVersion) + "\n");
}

/** Seed discovery of one process and the seeds that it found. */
struct TestProcess {
  TestProcess(MemoryStore& memory, VirtualScheduler& scheduler, uint16_t port,
              bool may_register = true)
      : random(port),
        store(memory, scheduler),
        discovery(
            store, scheduler, random, "z", Endpoint(INADDR_LOOPBACK, port),
            may_register,
            [this](const std::vector<Endpoint>& found) { seeds = found; },
            [this] { return has_peers; }) {
    discovery.Start();
  }

  SeededRandom random;
  FakeStore store;
  std::vector<Endpoint> seeds;
  bool has_peers = false;
  SeedDiscovery discovery;
};

TEST_CASE("The number of seeds in the store is limited per zone") {
  VirtualScheduler scheduler;
  MemoryStore memory;
  std::vector<std::unique_ptr<TestProcess>> processes;
  for (uint16_t i = 1; i <= 10; ++i) {
    processes.push_back(
        std::make_unique<TestProcess>(memory, scheduler, i, i != 10));
  }
  const auto run = [&](Duration duration) {
    const TimePoint end = scheduler.Now() + duration;
    while (scheduler.Now() < end) {
      scheduler.RunFor(std::chrono::milliseconds(100));
      memory.Expire(scheduler.Now());
    }
  };
  run(std::chrono::seconds(60));
  CHECK(memory.List("seeds/").items.size() == SeedDiscovery::kSeedsPerZone);
  CHECK(processes[9]->seeds.size() == SeedDiscovery::kSeedsPerZone);
  SECTION("A process that stops removes its seed at once") {
    for (auto& process : processes) process->discovery.Release();
    run(std::chrono::seconds(1));
    CHECK(memory.List("seeds/").items.empty());
  }
  SECTION(
      "Seeds whose leases expired during a store outage are registered again") {
    for (auto& process : processes) {
      process->store.call_outcome = [] {
        return StoreCallOutcome::kNotExecuted;
      };
    }
    run(std::chrono::seconds(30));
    CHECK(memory.List("seeds/").items.empty());
    for (auto& process : processes) {
      process->store.call_outcome = [] { return StoreCallOutcome::kAnswered; };
    }
    run(std::chrono::seconds(120));
    CHECK(memory.List("seeds/").items.size() == SeedDiscovery::kSeedsPerZone);
  }
}

}  // namespace
}  // namespace sesamesaddle
