#include "command/command.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

#include "command/table.h"
#include "core/endpoint.h"

namespace sesamesaddle {
namespace {

schema::Change ParseChange(const std::string& text) {
  const auto command = ParseCommand(text);
  INFO(text);
  REQUIRE(command.has_value());
  return std::get<schema::Change>(*command);
}

TEST_CASE("Change commands are parsed with all their settings") {
  const auto create =
      ParseChange(
          "create service a address 1.2.3.4:5 priority high deadline 2s "
          "drain-grace 1m")
          .create_service;
  CHECK(create.name == "a");
  CHECK(create.address == Endpoint::Parse("1.2.3.4:5")->Pack());
  CHECK(create.priority == schema::Priority::kHigh);
  CHECK(create.deadline_ms == 2000);
  CHECK(create.drain_grace_ms == 60000);
  const auto change_service =
      ParseChange("change service a deadline 500ms").change_service;
  CHECK(change_service.deadline_ms == 500);
  CHECK_FALSE(change_service.__isset.address);
  CHECK(ParseChange("change service a address 1.2.3.4:5")
            .change_service.__isset.address);
  CHECK(ParseChange("remove service a").remove_service.name == "a");
  const auto allow =
      ParseChange("allow targets web-* in z1 for a").allow_targets;
  CHECK(allow.service_name == "a");
  CHECK(allow.rule.pattern == "web-*");
  CHECK(allow.rule.zone == "z1");
  CHECK(ParseChange("deny targets w for a").deny_targets.rule.zone.empty());
  CHECK(ParseChange("drain instance i").set_instance_mode.mode ==
        schema::InstanceMode::kDraining);
  CHECK(ParseChange("retire instance i").set_instance_mode.mode ==
        schema::InstanceMode::kRetired);
  CHECK(ParseChange("restore instance i").set_instance_mode.mode ==
        schema::InstanceMode::kServing);
}

TEST_CASE("Zones are evacuated and restored, apart from instances") {
  const auto evacuate = ParseChange("evacuate zone z1");
  REQUIRE(evacuate.__isset.set_zone_mode);
  CHECK(evacuate.set_zone_mode.zone == "z1");
  CHECK(evacuate.set_zone_mode.evacuated);
  const auto restore = ParseChange("restore zone \"z1\"").set_zone_mode;
  CHECK(restore.zone == "z1");
  CHECK_FALSE(restore.evacuated);
  // An instance may be called zone, and a zone instance.
  CHECK(ParseChange("restore instance zone").set_instance_mode.name == "zone");
  CHECK(ParseChange("restore zone instance").set_zone_mode.zone == "instance");
}

TEST_CASE("An error names the commands and subjects that are expected") {
  CHECK(ParseCommand("evict zone z1").error().message ==
        "unknown command \"evict\"; expected create, change, remove, allow, "
        "deny, drain, restore, retire, evacuate, show or help");
  CHECK(ParseCommand("restore").error().message == "expected instance or zone");
  CHECK(ParseCommand("evacuate zone").error().message ==
        "expected an availability zone");
  CHECK(ParseCommand("show").error().message ==
        "expected services, targets, balancers, flows, changes, zones or load");
  CHECK(ParseCommand("show zone").error().message ==
        "expected services, targets, balancers, flows, changes, zones or load, "
        "not \"zone\"");
  const std::string help = kCommandHelp;
  for (const char* command :
       {"evacuate zone NAME\n", "restore zone NAME\n", "|zones|load\n"}) {
    CHECK(help.find(command) != std::string::npos);
  }
}

TEST_CASE("Queries are parsed with their conditions") {
  const auto command =
      ParseCommand("show targets where zone=z1 and name ~ \"a *\" and slots>2");
  REQUIRE(command.has_value());
  const auto& query = std::get<Query>(*command);
  CHECK(query.subject == Subject::kTargets);
  REQUIRE(query.conditions.size() == 3);
  CHECK(query.conditions[0].column == "zone");
  CHECK(query.conditions[0].value == "z1");
  CHECK(query.conditions[1].comparison == Comparison::kMatches);
  CHECK(query.conditions[1].value == "a *");
  CHECK(query.conditions[2].comparison == Comparison::kGreater);
  const auto subject = [](const std::string& text) {
    return std::get<Query>(*ParseCommand(text)).subject;
  };
  CHECK(subject("show zones where evacuated = yes") == Subject::kZones);
  CHECK(subject("show load where free < 1") == Subject::kLoad);
}

TEST_CASE("A syntax error reports its column") {
  const auto column = [](const std::string& text) {
    const auto command = ParseCommand(text);
    INFO(text);
    REQUIRE_FALSE(command.has_value());
    return command.error().column;
  };
  CHECK(column("") == 1);
  CHECK(column("make service a") == 1);
  CHECK(column("create target a") == 8);
  CHECK(column("create service") == 15);
  CHECK(column("create service a") == 17);
  CHECK(column("create service a address x") == 26);
  CHECK(column("create service a address 1.2.3.4:5 priority top") == 45);
  CHECK(column("create service a address 1.2.3.4:5 deadline 5") == 45);
  CHECK(column("create service a address 1.2.3.4:5 colour red") == 36);
  CHECK(column("change service a") == 17);
  CHECK(column("remove service a b") == 18);
  CHECK(column("show things") == 6);
  CHECK(column("show targets where") == 19);
  CHECK(column("show targets where a b") == 22);
  CHECK(column("show targets where a = 1 or b = 2") == 26);
  CHECK(column("drain instance \"x") == 16);
  CHECK(column("evacuate") == 9);
  CHECK(column("evacuate instance i") == 10);
  CHECK(column("evacuate zone") == 14);
  CHECK(column("evacuate zone z1 now") == 18);
  CHECK(column("restore") == 8);
  CHECK(column("restore service s") == 9);
  CHECK(column("restore \"zone\" z1") == 9);
  CHECK(column("drain zone z1") == 7);
  CHECK(column("show load where") == 16);
}

TEST_CASE("Any text is parsed or gives an error column within the text") {
  rc::prop("random text", [](const std::string& text) {
    const auto command = ParseCommand(text);
    RC_ASSERT(command.has_value() || command.error().column <= text.size() + 1);
  });
  rc::prop("random words of the language", [] {
    const auto words = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>(
            "create", "service", "a", "address", "1.2.3.4:5", "show", "targets",
            "where", "=", "and", "drain", "instance", "for", "in", "allow",
            "10s", "deadline", "\"", "evacuate", "restore", "zone", "load"));
    std::string text;
    for (const auto& word : words) text += word + " ";
    const auto command = ParseCommand(text);
    RC_ASSERT(command.has_value() || command.error().column <= text.size() + 1);
  });
}

schema::Table MakeTable() {
  schema::Table table;
  table.columns = {"name", "slots"};
  for (const auto& [name, slots] :
       {std::pair("a1", "3"), std::pair("a2", "10"), std::pair("b", "x")}) {
    schema::Row row;
    row.cells = {name, slots};
    table.rows.push_back(row);
  }
  return table;
}

TEST_CASE("Filters compare numbers numerically and match patterns") {
  const auto count = [](const Condition& condition) {
    return FilterTable(MakeTable(), {condition})->rows.size();
  };
  CHECK(count({"slots", Comparison::kGreater, "3"}) == 2);  // "x" as text.
  CHECK(count({"slots", Comparison::kLess, "10"}) == 1);
  CHECK(count({"name", Comparison::kMatches, "a*"}) == 2);
  CHECK(count({"name", Comparison::kNotEqual, "b"}) == 2);
  CHECK(FilterTable(MakeTable(), {{"zone", Comparison::kEqual, ""}}).error() ==
        "there is no column zone; the columns are: name slots");
}

TEST_CASE("Tables have aligned columns and end with the row count") {
  CHECK(FormatTable(MakeTable()) ==
        "name  slots\na1    3\na2    10\nb     x\n(3 rows)\n");
}

}  // namespace
}  // namespace sesamesaddle
