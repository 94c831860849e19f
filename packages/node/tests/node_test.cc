#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <vector>

#include "configuration/change_rules.h"
#include "core/random.h"
#include "node/control_plane.h"

namespace sesamesaddle {
namespace {

/** Control planes on a virtual clock with a lossy network in memory. */
class Network {
 public:
  explicit Network(uint64_t seed) : random_(seed) {}

  uint64_t loss_percent = 0;

  ControlPlane& Add(schema::Role::type role = schema::Role::kBalancer) {
    const auto port = static_cast<uint16_t>(100 + nodes_.size());
    schema::MemberRecord record;
    record.name = "n-" + std::to_string(nodes_.size());
    record.role = role;
    record.zone = nodes_.size() % 2 == 0 ? "x" : "y";
    record.endpoint = Endpoint(INADDR_LOOPBACK, port).Pack();
    record.born_ms = 1;
    record.id = MakeMemberId(record.name, 1).value();
    nodes_.push_back(
        std::make_unique<ControlPlane>(record, MembershipOptions(), random_));
    nodes_.back()->membership().AddSeeds({Endpoint(INADDR_LOOPBACK, 100)});
    return *nodes_.back();
  }

  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(10);
      auto packets = std::exchange(packets_, {});
      for (auto& [from, send] : packets) {
        const size_t to = Endpoint(send.to).port() - 100U;
        if (to >= nodes_.size() || random_.Below(100) < loss_percent) continue;
        Outbox out;
        nodes_[to]->OnMessage(
            now_, Endpoint(INADDR_LOOPBACK, static_cast<uint16_t>(100 + from)),
            send.message, out);
        Collect(to, out);
      }
      for (size_t i = 0; i < nodes_.size(); ++i) {
        Outbox out;
        nodes_[i]->OnTick(now_, out);
        Collect(i, out);
      }
    }
  }

  void Record(size_t at, const schema::ChangeRecord& record) {
    Outbox out;
    nodes_[at]->OnRecord(record, out);
    Collect(at, out);
  }

  ControlPlane& node(size_t i) { return *nodes_[i]; }
  size_t size() const { return nodes_.size(); }
  void Collect(size_t from, Outbox& out) {
    for (const Action& action : out.Take()) {
      packets_.emplace_back(from, std::get<SendPeer>(action));
    }
  }

 private:
  SeededRandom random_;
  std::vector<std::unique_ptr<ControlPlane>> nodes_;
  std::vector<std::pair<size_t, SendPeer>> packets_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
};

schema::ChangeRecord MakeRecord(int64_t revision) {
  schema::CreateService create;
  create.name = "service-" + std::to_string(revision);
  create.address = revision;
  schema::ChangeRecord record;
  record.revision = revision;
  record.change.__set_create_service(create);
  return record;
}

TEST_CASE("A change is in force everywhere within 6 s, despite loss") {
  Network network(1);
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

TEST_CASE("A newcomer learns thousands of services from peers, store or not") {
  Network network(2);
  network.Add();
  network.Add();
  network.RunFor(std::chrono::seconds(2));
  for (int64_t revision = 1; revision <= 2800; ++revision) {
    network.Record(0, MakeRecord(revision));
    if (revision % 50 == 0) network.RunFor(std::chrono::milliseconds(20));
  }
  network.RunFor(std::chrono::seconds(5));
  REQUIRE(network.node(1).replica().revision() == Revision(2800));
  const ControlPlane& late = network.Add();
  network.RunFor(std::chrono::seconds(15));
  CHECK(late.replica().current() == network.node(0).replica().current());
}

TEST_CASE("A few balancers a zone watch the store, whatever their number") {
  Network network(3);
  for (int i = 0; i < 20; ++i) network.Add();
  for (int i = 0; i < 10; ++i) network.Add(schema::Role::kAgent);
  network.RunFor(std::chrono::seconds(20));
  int watchers = 0;
  for (size_t i = 0; i < network.size(); ++i) {
    watchers += static_cast<int>(network.node(i).ShouldWatchStore());
  }
  CHECK(watchers == 6);  // Two zones.
}

TEST_CASE("The count of processes where a change is in force is asked for") {
  Network network(4);
  for (int i = 0; i < 12; ++i) network.Add();
  network.RunFor(std::chrono::seconds(10));
  network.Record(3, MakeRecord(1));
  network.RunFor(std::chrono::seconds(2));
  for (int i = 0; i < 5; ++i) {
    Outbox out;
    network.node(3).AskRevisions(Revision(1), 100, out);
    network.Collect(3, out);
    network.RunFor(std::chrono::milliseconds(100));
  }
  CHECK(network.node(3).CountInForce(Revision(1)) == 12);
  CHECK(network.node(3).CountInForce(Revision(2)) == 0);
}

TEST_CASE("Answers avoid balancers that stop") {
  Network network(5);
  for (int i = 0; i < 3; ++i) network.Add();
  ControlPlane& agent = network.Add(schema::Role::kAgent);
  network.RunFor(std::chrono::seconds(5));
  const Endpoint stopping = network.node(1).self_endpoint();
  CHECK(agent.UsableBalancer(stopping));
  network.node(1).BeginStop();
  network.RunFor(std::chrono::seconds(3));
  CHECK_FALSE(agent.UsableBalancer(stopping));
  for (int i = 0; i < 20; ++i) {
    CHECK(agent.RandomBalancer(network.node(0).self_endpoint()) ==
          network.node(2).self_endpoint());
  }
}

}  // namespace
}  // namespace sesamesaddle
