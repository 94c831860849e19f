#include <catch2/catch.hpp>

#include "configuration/zone_mode.h"
#include "control_network.h"
#include "node/control_plane.h"

namespace sesamesaddle {
namespace {

schema::ChangeRecord MakeRecord(int64_t revision) {
  schema::CreateService create;
  create.name = "service-" + std::to_string(revision);
  create.address = revision;
  schema::ChangeRecord record;
  record.revision = revision;
  record.change.__set_create_service(create);
  return record;
}

schema::ChangeRecord MakeZoneRecord(int64_t revision, bool evacuated) {
  schema::SetZoneMode zone;
  zone.zone = "x";
  zone.evacuated = evacuated;
  schema::ChangeRecord record;
  record.revision = revision;
  record.change.__set_set_zone_mode(zone);
  AddInstanceForm(record.change);
  return record;
}

TEST_CASE("A change reaches all processes within 6 s despite 10 % loss") {
  ControlNetwork network(1);
  network.loss_percent = 10;
  for (int i = 0; i < 40; ++i) network.Add();
  network.RunFor(std::chrono::seconds(20));
  for (int64_t revision = 1; revision <= 5; ++revision) {
    network.Record(static_cast<size_t>(revision), MakeRecord(revision));
    network.RunFor(std::chrono::seconds(6));
    for (size_t i = 0; i < network.size(); ++i) {
      CHECK(network.node(i).replica().revision() == Revision(revision));
    }
  }
}

TEST_CASE("A new process fetches a large configuration from peers alone") {
  ControlNetwork network(2);
  network.Add();
  network.Add();
  network.RunFor(std::chrono::seconds(2));
  for (int64_t revision = 1; revision <= 2800; ++revision) {
    network.Record(0, MakeRecord(revision));
    if (revision % 50 == 0) network.RunFor(std::chrono::milliseconds(20));
  }
  network.RunFor(std::chrono::seconds(5));
  REQUIRE(network.node(1).replica().revision() == Revision(2800));
  const ControlPlane& late = network.node(network.Add());
  network.RunFor(std::chrono::seconds(15));
  CHECK(late.replica().current() == network.node(0).replica().current());
}

TEST_CASE(
    "Three balancers per zone watch the store, regardless of their number") {
  ControlNetwork network(3);
  for (int i = 0; i < 20; ++i) {
    network.Add(schema::Role::kBalancer, i % 2 == 0 ? "x" : "y");
  }
  for (int i = 0; i < 10; ++i) network.Add(schema::Role::kAgent);
  network.RunFor(std::chrono::seconds(20));
  int watchers = 0;
  for (size_t i = 0; i < network.size(); ++i) {
    watchers += static_cast<int>(network.node(i).ShouldWatchStore());
  }
  CHECK(watchers == 6);  // Two zones.
}

TEST_CASE("Requested revisions yield the count of processes with a change") {
  ControlNetwork network(4);
  for (int i = 0; i < 12; ++i) network.Add();
  network.RunFor(std::chrono::seconds(10));
  network.Record(3, MakeRecord(1));
  network.RunFor(std::chrono::seconds(2));
  for (int i = 0; i < 5; ++i) {
    Outbox out;
    network.node(3).RequestRevisions(Revision(1), 100, out);
    network.SendOutbox(3, out);
    network.RunFor(std::chrono::milliseconds(100));
  }
  CHECK(network.node(3).CountMembersWithRevision(Revision(1)) == 12);
  CHECK(network.node(3).CountMembersWithRevision(Revision(2)) == 0);
}

TEST_CASE(
    "The instances of an evacuated zone announce that they are draining") {
  // Processes of earlier versions know the evacuation by nothing else.
  ControlNetwork network(6);
  network.Add(schema::Role::kBalancer, "x");
  network.Add(schema::Role::kBalancer, "y");
  const size_t evacuated = network.Add(schema::Role::kAgent, "x");
  const size_t other = network.Add(schema::Role::kAgent, "y");
  network.RunFor(std::chrono::seconds(5));
  const auto announced = [&](size_t agent) {
    const MemberId id = network.node(agent).self_id();
    return network.node(1).membership().Find(id)->record.draining;
  };
  const Endpoint balancer = network.node(0).self_endpoint();
  network.Record(1, MakeZoneRecord(1, true));
  network.RunFor(std::chrono::seconds(3));
  CHECK(announced(evacuated));
  CHECK_FALSE(announced(other));
  CHECK_FALSE(network.node(other).IsUsableBalancer(balancer));
  network.Record(1, MakeZoneRecord(2, false));
  network.RunFor(std::chrono::seconds(3));
  CHECK_FALSE(announced(evacuated));
  CHECK(network.node(other).IsUsableBalancer(balancer));
}

TEST_CASE("A stopping balancer is not selected for responses") {
  ControlNetwork network(5);
  for (int i = 0; i < 3; ++i) network.Add();
  ControlPlane& agent = network.node(network.Add(schema::Role::kAgent));
  network.RunFor(std::chrono::seconds(5));
  const Endpoint stopping = network.node(1).self_endpoint();
  CHECK(agent.IsUsableBalancer(stopping));
  network.node(1).BeginStop();
  network.RunFor(std::chrono::seconds(3));
  CHECK_FALSE(agent.IsUsableBalancer(stopping));
  for (int i = 0; i < 20; ++i) {
    CHECK(agent.RandomBalancer(network.node(0).self_endpoint()) ==
          network.node(2).self_endpoint());
  }
}

}  // namespace
}  // namespace sesamesaddle
