// What an agent leaves to its next process at a planned stop: all flows of its
// target, so that the next process can deny any other flow.

#include <catch2/catch.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "flow_location/flow_record_policy.h"
#include "schema/codec.h"
#include "steering_world.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kTargets = 4;
constexpr size_t kClients = 24;
constexpr int64_t kNowMs = 1000000;
constexpr int64_t kRevision = 17;

/** A fleet with open flows at all targets. */
struct OpenFlowFleet : SteeringWorld {
  explicit OpenFlowFleet(size_t balancers)
      : SteeringWorld(balancers, kTargets, 31) {
    for (size_t i = 0; i < kClients; ++i) {
      AddClient(true).deadline = seconds(8);
    }
    REQUIRE(RunRounds(*this, 2, milliseconds(200)) == 2 * kClients);
  }
  std::optional<schema::FlowRecord> StopAndRecord(size_t i) {
    StopAgent(i);
    return agent(i)->RecordAllFlows(scheduler.Now(), kNowMs, kRevision);
  }
  /** Starts the agent again with the record, and a balancer without flows. */
  void RestartWith(size_t i, const schema::FlowRecord& record, bool complete) {
    KillAgent(i);
    StartAgent(i);
    agent(i)->Recall(scheduler.Now(), record, complete);
    Announce(i);
    KillBalancer(0);
    StartBalancer(0);
  }
};

// Guards against packets of an open flow that go to other targets for as long
// as the flow's own agent is away.
TEST_CASE("Planned restarts of agents send no packet to another target") {
  OpenFlowFleet fleet(1);
  constexpr Duration kGap = milliseconds(1800);
  for (size_t i = 0; i < kTargets; ++i) {
    fleet.RestartAgent(i, milliseconds(500), milliseconds(100));
    fleet.RunFor(seconds(2));
  }
  fleet.RestartAgent(0, kGap, milliseconds(100));
  fleet.RunFor(seconds(1));
  fleet.KillBalancer(0);
  fleet.StartBalancer(0);
  CHECK(RunRounds(fleet, 1, seconds(4)) == kClients);
  CHECK(fleet.returned == 0);
  CHECK(fleet.misdirected.empty());
  CHECK(fleet.wrong_resets.empty());
}

TEST_CASE("A record is complete only if its writer knew all flows") {
  OpenFlowFleet fleet(1);
  CHECK_FALSE(
      fleet.agent(0)->RecordAllFlows(fleet.scheduler.Now(), kNowMs, kRevision));
  const auto record = fleet.StopAndRecord(0);
  REQUIRE(record);
  CHECK(record->flows.size() == fleet.agent(0)->flow_count());
  CHECK(HasAllFlows(*record, kNowMs, kRevision));
  // Its process was killed and left no record.
  fleet.CrashAgent(1, milliseconds(100), milliseconds(100));
  fleet.RunFor(milliseconds(500));
  CHECK_FALSE(fleet.StopAndRecord(1));
}

TEST_CASE("A complete record is valid for a short time") {
  constexpr int64_t kValidMs = kCompleteRecordValidity / milliseconds(1);
  schema::FlowRecord record;
  // Earlier builds write no such time.
  CHECK_FALSE(HasAllFlows(record, kNowMs, kRevision));
  record.__set_complete_at_ms(kNowMs);
  record.__set_entry_revision(kRevision);
  const auto stored = DecodeCompact<schema::FlowRecord>(EncodeCompact(record));
  REQUIRE(stored);
  CHECK(HasAllFlows(*stored, kNowMs, kRevision));
  CHECK(HasAllFlows(*stored, kNowMs + kValidMs, kRevision));
  CHECK_FALSE(HasAllFlows(*stored, kNowMs + kValidMs + 1, kRevision));
  // A later process has written its entry, or withdrawn it.
  CHECK_FALSE(HasAllFlows(*stored, kNowMs, kRevision + 1));
  CHECK_FALSE(HasAllFlows(*stored, kNowMs, std::nullopt));
  // The clock was set back.
  CHECK_FALSE(HasAllFlows(*stored, kNowMs - 1, kRevision));
}

// Guards against a reset of a flow that opened while its agent was stopping.
TEST_CASE("A flow that was opening at the agent's stop is left to the target") {
  OpenFlowFleet fleet(1);
  auto record = fleet.StopAndRecord(0);
  REQUIRE(record);
  REQUIRE_FALSE(record->flows.empty());
  for (schema::RecordedFlow& flow : record->flows) flow.__set_undecided(true);
  fleet.RestartWith(0, *record, true);
  CHECK(RunRounds(fleet, 1, seconds(4)) == kClients);
  CHECK(fleet.wrong_resets.empty());
  CHECK(fleet.agent(0)->flow_count() == record->flows.size());
}

TEST_CASE("A flow that another target may hold is recorded as undecided") {
  OpenFlowFleet fleet(2);
  // No target can have been replaced before the other flows opened.
  fleet.RunFor(seconds(3));
  for (size_t i = 0; i < kTargets; ++i) fleet.Announce(i);
  VirtualFlowClient& client = *fleet.clients.front();
  size_t holder = 0;
  while (!fleet.targets[holder]->HoldsOpen(client.flow())) ++holder;
  // No new flow is placed there, and the copy passes balancers without flows.
  fleet.Announce(holder, true);
  for (size_t i = 0; i < 2; ++i) {
    fleet.KillBalancer(i);
    fleet.StartBalancer(i);
  }
  client.RetransmitSyn();
  fleet.RunFor(milliseconds(50));
  size_t undecided = 0;
  for (size_t i = 0; i < kTargets; ++i) {
    const auto record = fleet.StopAndRecord(i);
    REQUIRE(record);
    for (const schema::RecordedFlow& flow : record->flows) {
      if (flow.undecided) ++undecided;
    }
  }
  CHECK(undecided == 1);
}

// Guards against taking a late copy of a SYN for a new flow from the same port,
// after which the process would forget the open one.
TEST_CASE("A late SYN copy after a planned restart breaks no flow") {
  OpenFlowFleet fleet(1);
  VirtualFlowClient& client = *fleet.clients.front();
  size_t holder = 0;
  while (!fleet.targets[holder]->HoldsOpen(client.flow())) ++holder;
  fleet.RunFor(seconds(3));
  for (size_t i = 0; i < kTargets; ++i) fleet.Announce(i, i != holder);
  const bool answered_since = GENERATE(false, true);
  fleet.RestartAgent(holder, milliseconds(500), milliseconds(100));
  fleet.RunFor(seconds(2));
  if (answered_since) {
    CHECK(RunRounds(fleet, 1, milliseconds(200)) == kClients);
  }
  fleet.KillBalancer(0);
  fleet.StartBalancer(0);
  client.RetransmitSyn();
  // Longer than an agent keeps a flow that does not open.
  fleet.RunFor(seconds(5));
  fleet.KillBalancer(0);
  fleet.StartBalancer(0);
  CHECK(RunRounds(fleet, 1, seconds(4)) == kClients);
  CHECK(fleet.wrong_resets.empty());
}

// Guards against resets of flows that a new target took before it announced
// itself, as flows of the recorded one.
TEST_CASE("A record resets no flow of a target that had not announced itself") {
  OpenFlowFleet fleet(1);
  VirtualFlowClient& client = *fleet.clients.front();
  fleet.RunFor(seconds(3));
  for (size_t i = 0; i < kTargets; ++i) fleet.Announce(i, i != 0);
  client.Close();
  fleet.targets[0]->Crash();
  fleet.targets[0]->Start();
  client.Request("new");
  fleet.RunFor(milliseconds(300));
  REQUIRE(fleet.targets[0]->HoldsOpen(client.flow()));
  fleet.RestartAgent(0, milliseconds(500), milliseconds(100));
  fleet.RunFor(milliseconds(1000));
  fleet.AnnounceStart(0);
  fleet.RunFor(seconds(2));
  CHECK(fleet.wrong_resets.empty());
  CHECK(client.has_flow());
}

// Guards against denials by a process that may not know all flows.
TEST_CASE("A record that may lack flows denies none") {
  OpenFlowFleet fleet(1);
  auto record = fleet.StopAndRecord(0);
  REQUIRE(record);
  record->flows.clear();
  fleet.RestartWith(0, *record, false);
  CHECK(RunRounds(fleet, 1, seconds(4)) == kClients);
  CHECK(fleet.wrong_resets.empty());
}

}  // namespace
}  // namespace sesamesaddle
