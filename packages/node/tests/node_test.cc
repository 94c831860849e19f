#include <catch2/catch.hpp>

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
