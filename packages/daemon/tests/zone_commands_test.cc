#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "configuration/zone_mode.h"
#include "control_network.h"
#include "daemon/operator_commands.h"
#include "daemon/zone_table.h"
#include "fake_store.h"

namespace sesamesaddle {
namespace {

/** The first process of a network, as the role of a daemon without data path.
 */
class NetworkRole : public Role {
 public:
  explicit NetworkRole(ControlNetwork& network) : network_(network) {}

  ControlPlane& control() override { return network_.node(0); }
  void OnMessage(TimePoint /*now*/, const Endpoint& /*from*/,
                 const schema::PeerMessage& /*message*/,
                 Outbox& /*out*/) override {}
  void OnTick(TimePoint /*now*/, Outbox& /*out*/) override {}
  void ExecuteAction(const Action& /*action*/) override {}
  void BeginStop() override {}
  std::string PendingWork(TimePoint /*now*/) const override { return ""; }
  void Leave(TimePoint /*now*/, Outbox& /*out*/) override {}
  Counters counters() const override { return {}; }
  void FillDump(TimePoint /*now*/, schema::StateDump& dump) const override {
    dump.loads = loads;
  }

  std::vector<schema::TargetLoad> loads;

 private:
  ControlNetwork& network_;
};

/** Operators' commands on a balancer, with agents in the zones x, x and y. */
struct Zones {
  Zones() {
    for (const char* zone : {"x", "x", "y"}) {
      network.Add(schema::Role::kAgent, zone);
    }
    network.RunFor(std::chrono::seconds(10));
    schema::CreateService create;
    create.name = "s";
    create.address = 1;
    schema::Change service;
    service.__set_create_service(create);
    schema::AllowTargets allow;
    allow.service_name = "s";
    allow.rule.pattern = "*";
    schema::Change rule;
    rule.__set_allow_targets(allow);
    Submit(service);
    Submit(rule);
  }

  void Submit(const schema::Change& change) {
    schema::ChangeRecord record;
    record.change = change;
    log.Submit(record, std::chrono::seconds(5), [](const SubmitResult&) {});
    RunFor(std::chrono::seconds(1));
  }

  void RunFor(Duration duration) {
    constexpr Duration kSlice = std::chrono::milliseconds(10);
    for (Duration elapsed{}; elapsed < duration; elapsed += kSlice) {
      scheduler.RunFor(kSlice);
      network.RunFor(kSlice);
    }
  }

  schema::CommandReply Run(const std::string& text, Duration wait = {}) {
    std::optional<schema::CommandReply> reply;
    CommandOptions options;
    options.wait = wait;
    commands.Execute(text, options, [&](const auto& r) { reply = r; });
    for (int i = 0; i < 100 && !reply; ++i) {
      RunFor(std::chrono::milliseconds(100));
    }
    REQUIRE(reply.has_value());
    return *reply;
  }

  /** Returns the row of `show zones`, joined with blanks. */
  std::string Row(const std::string& zone) {
    const auto table = Run("show zones where name = " + zone).table;
    if (table.rows.empty()) return "none";
    std::string text;
    for (const auto& cell : table.rows[0].cells) {
      text += (text.empty() ? "" : " ") + cell;
    }
    return text;
  }

  /** Returns the modes of the targets in a zone, sorted and joined. */
  std::string Modes(const std::string& zone) {
    std::string text;
    for (const auto& row :
         Run("show targets where zone = " + zone).table.rows) {
      text += (text.empty() ? "" : " ") + row.cells.at(4);
    }
    return text;
  }

  std::vector<bool> Leaving() {
    std::vector<bool> leaving;
    for (size_t i = 1; i < network.size(); ++i) {
      leaving.push_back(
          network.node(0).services().Leaving(network.node(i).self_id()));
    }
    return leaving;
  }

  ControlNetwork network{7};
  size_t self = network.Add(schema::Role::kBalancer, "b");
  NetworkRole role{network};
  VirtualScheduler scheduler;
  MemoryStore memory;
  FakeStore store{memory, scheduler};
  ChangeLog log{
      store, scheduler, network.node(0).replica(),
      [this](const schema::ChangeRecord& record) { network.Record(0, record); },
      [](const schema::Configuration&) {}};
  SeededRandom random{1};
  OperatorCommands commands{role, log, scheduler, random, [this](Outbox& out) {
                              network.SendOutbox(0, out);
                            }};
};

TEST_CASE("Evacuating and restoring a zone waits for all processes") {
  Zones zones;
  const auto evacuated = zones.Run("evacuate zone x", std::chrono::seconds(5));
  CHECK(evacuated.outcome == schema::CommandOutcome::kAccepted);
  CHECK(evacuated.message ==
        "accepted, revision 3; in force at 4 of 4 processes");
  CHECK(zones.Leaving() == std::vector<bool>{true, true, false});
  CHECK(zones.Modes("x") == "evacuated evacuated");
  CHECK(zones.Modes("y") == "serving");
  const auto again = zones.Run("evacuate zone x");
  CHECK(again.outcome == schema::CommandOutcome::kRefused);
  CHECK(again.message == "refused: zone x is evacuated already");
  CHECK(zones.Run("restore zone x", std::chrono::seconds(5)).message ==
        "accepted, revision 4; in force at 4 of 4 processes");
  zones.RunFor(std::chrono::seconds(5));
  CHECK(zones.Leaving() == std::vector<bool>{false, false, false});
  CHECK(zones.Run("restore zone x").message ==
        "refused: zone x is not evacuated");
}

TEST_CASE("A restored zone leaves its drained and retired targets drained") {
  Zones zones;
  zones.Run("drain instance instance-1");
  zones.Run("evacuate zone x");
  zones.Run("retire instance instance-3");
  CHECK(zones.Modes("x") == "draining evacuated");
  zones.RunFor(std::chrono::seconds(5));
  CHECK(zones.Leaving() == std::vector<bool>{true, true, true});
  zones.Run("restore zone x");
  zones.RunFor(std::chrono::seconds(5));
  CHECK(zones.Leaving() == std::vector<bool>{true, false, true});
  // The other order: the instance is restored while its zone is evacuated.
  zones.Run("evacuate zone x");
  zones.Run("restore instance instance-1");
  zones.RunFor(std::chrono::seconds(5));
  CHECK(zones.Leaving() == std::vector<bool>{true, true, true});
  zones.Run("restore zone x");
  zones.RunFor(std::chrono::seconds(5));
  CHECK(zones.Leaving() == std::vector<bool>{false, false, true});
}

TEST_CASE("The reply names an empty zone and the loss of all targets") {
  Zones zones;
  const auto unknown = zones.Run("evacuate zone w");
  CHECK(unknown.outcome == schema::CommandOutcome::kAccepted);
  CHECK(unknown.message == "accepted, revision 3; no target is in zone w now");
  CHECK(zones.Row("w") == "w yes 3 0 0 0 0");
  CHECK(zones.Run("evacuate zone x").message == "accepted, revision 4");
  const auto last = zones.Run("evacuate zone y", std::chrono::seconds(5));
  CHECK(last.message ==
        "accepted, revision 5; no target of any zone takes new work now; in "
        "force at 4 of 4 processes");
  CHECK(zones.Run("restore zone x").message == "accepted, revision 6");
  // An agent that joins the zone later takes no new work either.
  zones.network.Add(schema::Role::kAgent, "w");
  zones.RunFor(std::chrono::seconds(10));
  CHECK(zones.Leaving() == std::vector<bool>{false, false, true, true});
}

TEST_CASE("The table of zones sums the loads that this process knows") {
  Zones zones;
  zones.Run("evacuate zone x");
  CHECK(zones.Row("x") == "x yes 3 2 0 - -");
  CHECK(zones.Row("y") == "y no - 1 0 - -");
  CHECK(zones.Row("b") == "b no - 0 0 0 0");
  for (const char* name : {"instance-1", "instance-2"}) {
    schema::TargetLoad load;
    load.name = name;
    load.flows = 20;
    load.in_flight = 3;
    zones.role.loads.push_back(load);
    if (zones.role.loads.size() == 1) {
      CHECK(zones.Row("x") == "x yes 3 2 1 20 3");
    }
  }
  CHECK(zones.Row("x") == "x yes 3 2 2 40 6");
  CHECK(zones.Row("y") == "y no - 1 0 - -");
  zones.Run("restore zone x");
  CHECK(zones.Row("x") == "x no - 2 2 40 6");
  const auto load = zones.Run("show load");
  CHECK(load.outcome == schema::CommandOutcome::kRefused);
  CHECK(load.message ==
        "refused: balancers of packet flows have the table of load; here show "
        "zones lists the flows of each zone");
}

}  // namespace
}  // namespace sesamesaddle
