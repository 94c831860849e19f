#include "configuration/zone_mode.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "configuration/change_log.h"
#include "configuration/change_rules.h"
#include "configuration/replica.h"
#include "fake_store.h"
#include "schema/codec.h"

namespace sesamesaddle {
namespace {

schema::Change SetZone(const std::string& zone, bool evacuated) {
  schema::SetZoneMode set;
  set.zone = zone;
  set.evacuated = evacuated;
  schema::Change change;
  change.__set_set_zone_mode(set);
  AddInstanceForm(change);
  return change;
}

schema::Change SetInstance(const std::string& name,
                           schema::InstanceMode::type mode) {
  schema::SetInstanceMode set;
  set.name = name;
  set.mode = mode;
  schema::Change change;
  change.__set_set_instance_mode(set);
  return change;
}

/** Returns the change as a version without SetZoneMode decodes it. */
schema::Change AsEarlierVersion(const schema::Change& change) {
  schema::Change known = change;
  known.__isset.set_zone_mode = false;
  known.set_zone_mode = {};
  return known;
}

schema::ChangeRecord MakeRecord(int64_t revision,
                                const schema::Change& change) {
  schema::ChangeRecord record;
  record.revision = revision;
  record.change_id = std::to_string(revision);
  record.change = change;
  return record;
}

std::string RefusalOf(schema::Configuration configuration,
                      const schema::Change& change) {
  const auto before = configuration;
  const auto result = ApplyChange(configuration, change, 100);
  REQUIRE_FALSE(result.has_value());
  CHECK(configuration == before);
  return result.error().message;
}

TEST_CASE("An evacuated zone keeps its revision until it is restored") {
  schema::Configuration configuration;
  REQUIRE(ApplyChange(configuration, SetZone("z1", true), 1));
  REQUIRE(ApplyChange(configuration, SetZone("z2", true), 2));
  REQUIRE(ApplyChange(configuration,
                      SetInstance("i", schema::InstanceMode::kDraining), 3));
  CHECK(configuration.evacuated_zones ==
        std::map<std::string, int64_t>{{"z1", 1}, {"z2", 2}});
  REQUIRE(ApplyChange(configuration, SetZone("z1", false), 4));
  CHECK_FALSE(IsEvacuated(configuration, "z1"));
  CHECK(IsEvacuated(configuration, "z2"));
  REQUIRE(ApplyChange(configuration, SetZone("z2", false), 5));
  CHECK(configuration.evacuated_zones.empty());
  // Restoring a zone restores no instance that was drained by itself.
  CHECK(configuration.instances ==
        std::map<std::string, schema::InstanceMode::type>{
            {"i", schema::InstanceMode::kDraining}});
}

TEST_CASE("Invalid changes of zones are refused and change nothing") {
  schema::Configuration configuration;
  REQUIRE(ApplyChange(configuration, SetZone("z1", true), 1));
  CHECK(RefusalOf(configuration, SetZone("z1", true)) ==
        "zone z1 is evacuated already");
  CHECK(RefusalOf(configuration, SetZone("z2", false)) ==
        "zone z2 is not evacuated");
  CHECK(RefusalOf(configuration, SetZone("", true)) ==
        "\"\" is not a name (letters, digits, - _ .)");
  CHECK(RefusalOf(configuration, SetZone("a zone", true)) ==
        "\"a zone\" is not a name (letters, digits, - _ .)");
  CHECK(RefusalOf(configuration, SetZone(std::string(49, 'z'), true)) ==
        "a zone whose name is longer than 48 bytes cannot be evacuated");
  CHECK(ApplyChange(configuration, SetZone(std::string(48, 'z'), true), 2));
}

TEST_CASE("A replica that joins late gets evacuated zones from the snapshot") {
  VirtualScheduler scheduler;
  MemoryStore memory;
  FakeStore store(memory, scheduler);
  ConfigurationReplica replica;
  ChangeLog log(
      store, scheduler, replica,
      [&](const schema::ChangeRecord& r) { replica.OfferRecord(r); },
      [&](const schema::Configuration& s) { replica.OfferSnapshot(s); });
  const auto submit = [&](const schema::Change& change) {
    log.Submit(MakeRecord(0, change), std::chrono::seconds(5),
               [](const SubmitResult& result) {
                 CHECK(result.outcome == SubmitResult::Outcome::kAccepted);
               });
    scheduler.RunFor(std::chrono::milliseconds(50));
  };
  schema::Change without_instance_form = SetZone("z1", true);
  without_instance_form.__isset.set_instance_mode = false;
  submit(without_instance_form);
  // What a process of an earlier version reads must not be an empty change.
  const auto stored =
      DecodeCompact<schema::ChangeRecord>(memory.Read(LogKey(1))->value);
  CHECK(AsEarlierVersion(stored->change) ==
        SetInstance("evacuated-zone.z1", schema::InstanceMode::kDraining));
  for (int i = 0; i < 299; ++i) {
    submit(SetInstance("i", i % 2 == 0 ? schema::InstanceMode::kDraining
                                       : schema::InstanceMode::kServing));
  }
  REQUIRE(replica.revision() == Revision(300));
  REQUIRE(memory.Read(LogKey(1)).error() == StoreError::kNotFound);
  ConfigurationReplica late;
  ChangeLog late_log(
      store, scheduler, late,
      [&](const schema::ChangeRecord& r) { late.OfferRecord(r); },
      [&](const schema::Configuration& s) { late.OfferSnapshot(s); });
  late_log.Load([](bool) {});
  scheduler.RunFor(std::chrono::seconds(1));
  CHECK(late.current() == replica.current());
  CHECK(late.current().evacuated_zones.at("z1") == 1);
}

TEST_CASE(
    "A process of an earlier version applies what follows an evacuation") {
  // Without the instance form the record would be an empty change to it, which
  // it refuses: it would stay at the revision before.
  schema::Change without_form = SetZone("z1", true);
  without_form.__isset.set_instance_mode = false;
  ConfigurationReplica stuck;
  CHECK(stuck.OfferRecord(MakeRecord(1, AsEarlierVersion(without_form))) ==
        OfferResult::kInvalid);

  rc::prop("any changes of zones and of instances", [] {
    ConfigurationReplica current;
    ConfigurationReplica earlier;
    for (int64_t revision = 1; revision <= 20; ++revision) {
      const std::string name = *rc::gen::element<std::string>("z1", "z2", "z3");
      const auto mode = *rc::gen::element(schema::InstanceMode::kServing,
                                          schema::InstanceMode::kDraining,
                                          schema::InstanceMode::kRetired);
      const auto change = *rc::gen::element(
          SetZone(name, true), SetZone(name, false), SetInstance(name, mode),
          SetInstance(ZoneInstanceName(name), mode));
      const int64_t next = current.revision().value() + 1;
      const auto applied = current.OfferRecord(MakeRecord(next, change));
      RC_ASSERT(earlier.OfferRecord(
                    MakeRecord(next, AsEarlierVersion(change))) == applied);
    }
    // Also the effect of a record that such a process has passed on.
    RC_ASSERT(earlier.current() == current.current());

    // Its snapshot lacks the field, but a later version restores the zones.
    schema::Configuration snapshot = earlier.current();
    snapshot.evacuated_zones.clear();
    ConfigurationReplica restored;
    if (snapshot.revision == 0) return;
    RC_ASSERT(restored.OfferSnapshot(snapshot) == OfferResult::kApplied);
    for (const std::string zone : {"z1", "z2", "z3"}) {
      RC_ASSERT(IsEvacuated(restored.current(), zone) ==
                IsEvacuated(current.current(), zone));
    }
  });
}

TEST_CASE("A snapshot of an earlier version is read without evacuated zones") {
  // Removes the empty map of field 4, which earlier versions do not write.
  schema::Configuration configuration;
  configuration.revision = 7;
  std::string bytes = EncodeCompact(configuration);
  const std::string empty_field("\x1b\x00", 2);
  const size_t field = bytes.rfind(empty_field);
  REQUIRE(field != std::string::npos);
  bytes.erase(field, empty_field.size());
  const auto decoded = DecodeCompact<schema::Configuration>(bytes);
  REQUIRE(decoded.has_value());
  CHECK(*decoded == configuration);
}

}  // namespace
}  // namespace sesamesaddle
