#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "daemon/seed_keeper.h"
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

/** Replaces the value after a flag, or takes the flag out. */
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

std::string FaultOf(const std::vector<std::string>& arguments) {
  const auto settings = ReadSettings(arguments);
  if (settings) return "";
  CHECK(settings.error().code == 2);
  return settings.error().text;
}

TEST_CASE("Good settings are read") {
  const auto agent = ReadSettings(With(AgentArguments(), "--slots", "3"));
  REQUIRE(agent.has_value());
  CHECK(agent->role == schema::Role::kAgent);
  CHECK(agent->slots == 3);
  CHECK(agent->target == Endpoint::Parse("127.0.0.1:1003")->Pack());
  const auto balancer = ReadSettings(BalancerArguments());
  REQUIRE(balancer.has_value());
  CHECK(balancer->role == schema::Role::kBalancer);
}

TEST_CASE("Each fault is one line that names the flag and the variable") {
  const auto fault = [](const std::string& flag, const std::string& value,
                        const std::string& expected) {
    const std::string text = FaultOf(With(AgentArguments(), flag, value));
    CHECK(text == "sesamesaddled: " + expected + "\n");
  };
  fault("--zone", "",
        "--zone (SESAMESADDLE_ZONE): missing; give the availability zone");
  fault("--name", "a b",
        "--name (SESAMESADDLE_NAME): \"a b\" is not a name (letters, digits, - "
        "_ .)");
  fault("--listen", "here:1",
        "--listen (SESAMESADDLE_LISTEN): the address is not an IPv4 address, "
        "not \"here:1\"");
  fault("--target", "127.0.0.1",
        "--target (SESAMESADDLE_TARGET): the port is missing, expected "
        "ADDRESS:PORT, not \"127.0.0.1\"");
  fault("--slots", "0",
        "--slots (SESAMESADDLE_SLOTS): 0 is not from 1 to 10000");
  fault("--log-level", "loud",
        "--log-level (SESAMESADDLE_LOG_LEVEL): \"loud\" is not debug, info, "
        "warning or error");
  fault("--admin-listen", "10.0.0.1:1",
        "--admin-listen (SESAMESADDLE_ADMIN_LISTEN): without a token the API "
        "listens on 127.0.0.0/8 only; set SESAMESADDLE_ADMIN_TOKEN or "
        "--admin-token-file");
  fault("--admin-token-file", "/nonexistent",
        "--admin-token-file (SESAMESADDLE_ADMIN_TOKEN_FILE): no token can be "
        "read from \"/nonexistent\"");
}

TEST_CASE("Conflicting, unknown and missing arguments are faults") {
  CHECK(FaultOf(With(BalancerArguments(), "--fabric-listen", "127.0.0.1:1000"))
            .find("conflicts with --listen (SESAMESADDLE_LISTEN)") !=
        std::string::npos);
  CHECK(FaultOf(With(AgentArguments(), "--colour", "red")).find("--colour") !=
        std::string::npos);
  CHECK(FaultOf(With(AgentArguments(), "--slots", "many")).find("--slots") !=
        std::string::npos);
  CHECK_FALSE(FaultOf({"sesamesaddled"}).empty());
}

TEST_CASE("A variable sets what no flag sets, and the flag goes first") {
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

TEST_CASE("Help and version end well") {
  CHECK(ReadSettings({"sesamesaddled", "--help"}).error().code == 0);
  CHECK(ReadSettings({"sesamesaddled", "agent", "--help"})
            .error()
            .text.find("--slots") != std::string::npos);
  CHECK(ReadSettings({"sesamesaddled", "--version"}).error().text ==
        "sesamesaddled " + std::string(kVersion) + "\n");
}

/** A seed keeper of one process and what it found. */
struct Keeper {
  Keeper(MemoryStore& memory, VirtualScheduler& scheduler, uint16_t port,
         bool may_hold = true)
      : random(port),
        store(memory, scheduler),
        keeper(
            store, scheduler, random, "z", Endpoint(INADDR_LOOPBACK, port),
            may_hold,
            [this](const std::vector<Endpoint>& found) { seeds = found; },
            [this] { return connected; }) {
    keeper.Start();
  }

  SeededRandom random;
  FakeStore store;
  std::vector<Endpoint> seeds;
  bool connected = false;
  SeedKeeper keeper;
};

TEST_CASE("A few balancers hold the seeds, whatever their number") {
  VirtualScheduler scheduler;
  MemoryStore memory;
  std::vector<std::unique_ptr<Keeper>> keepers;
  for (uint16_t i = 1; i <= 10; ++i) {
    keepers.push_back(std::make_unique<Keeper>(memory, scheduler, i, i != 10));
  }
  const auto run = [&](Duration duration) {
    const TimePoint end = scheduler.Now() + duration;
    while (scheduler.Now() < end) {
      scheduler.RunFor(std::chrono::milliseconds(100));
      memory.Expire(scheduler.Now());
    }
  };
  run(std::chrono::seconds(60));
  CHECK(memory.List("seeds/").items.size() == SeedKeeper::kSlotsPerZone);
  CHECK(keepers[9]->seeds.size() == SeedKeeper::kSlotsPerZone);
  SECTION("A holder that stops gives its slot up at once") {
    for (auto& keeper : keepers) keeper->keeper.Release();
    run(std::chrono::seconds(1));
    CHECK(memory.List("seeds/").items.empty());
  }
  SECTION("A holder whose lease lapsed while it was away finds out") {
    for (auto& keeper : keepers) {
      keeper->store.fate = [] { return Fate::kNotTaken; };
    }
    run(std::chrono::seconds(30));
    CHECK(memory.List("seeds/").items.empty());
    for (auto& keeper : keepers) {
      keeper->store.fate = [] { return Fate::kAnswered; };
    }
    run(std::chrono::seconds(120));
    CHECK(memory.List("seeds/").items.size() == SeedKeeper::kSlotsPerZone);
  }
}

}  // namespace
}  // namespace sesamesaddle
