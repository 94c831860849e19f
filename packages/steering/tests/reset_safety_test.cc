#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/random.h"
#include "steering_world.h"
#include "test_packet_codec.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kBalancers = 4;
constexpr size_t kTargets = 6;
constexpr size_t kKeptFlows = 24;
constexpr size_t kShortFlows = 24;
/** The entry of a living target is back within two seconds. */
constexpr uint64_t kMaxLapseMs = 2000;
/** Targets announce themselves at least this often. */
constexpr uint64_t kMaxAnnounceMs = 1200;
/** Time for all processes to start and for flows to open. */
constexpr Duration kWarmUp = seconds(1);

/** The kinds of events that a generated history consists of. */
enum class Event {
  kBalancerDies,
  kBalancerStarts,
  kEntryLapses,
  kReportsDelayed,
  kReportsPrompt,
  kPacketLoss,
  kNoPacketLoss,
  kTargetsSlow,
  kTargetsFast,
  kLateAnnouncement,
  kSynCopyArrivesLate,
  kAgentRestarts,
};
constexpr uint64_t kEventKinds = 12;

/**
 * A fleet with open and new flows, and a generated history of events. No target
 * ends, so every flow that a target holds has to stay whole.
 */
class GeneratedHistory {
 public:
  GeneratedHistory(uint64_t seed, const AdmissionOptions& admission)
      : random_(seed),
        world_(kBalancers, kTargets, seed, PlacementKind::kLeastWait,
               admission) {
    for (size_t i = 0; i < kKeptFlows + kShortFlows; ++i) {
      world_.AddClient(i < kKeptFlows).deadline = milliseconds(1500);
    }
  }

  /** Plays the events and returns the resets of flows that a target held. */
  std::vector<WrongReset> Play(int events) {
    SendRequests();
    world_.RunFor(kWarmUp);
    for (int i = 0; i < events; ++i) {
      Apply(static_cast<Event>(random_.Below(kEventKinds)));
      world_.RunFor(milliseconds(random_.Below(300)));
    }
    return world_.wrong_resets;
  }

 private:
  void SendRequests() {
    for (auto& client : world_.clients) {
      if (!client->busy()) {
        client->Request("r" + std::to_string(++requests_));
      }
    }
    world_.scheduler.After(milliseconds(30), [this] { SendRequests(); });
  }

  void Apply(Event event) {
    const size_t balancer = random_.Below(kBalancers);
    const size_t target = random_.Below(kTargets);
    switch (event) {
      case Event::kBalancerDies:
        if (world_.balancer(balancer) != nullptr) {
          world_.KillBalancer(balancer);
        }
        break;
      case Event::kBalancerStarts:
        // One that starts during a lapse cannot know of the entry.
        if (world_.balancer(balancer) == nullptr && lapsed_ == 0) {
          world_.StartBalancer(balancer);
        }
        break;
      case Event::kEntryLapses:
        ++lapsed_;
        world_.RemoveEntry(target);
        world_.scheduler.After(milliseconds(random_.Below(kMaxLapseMs)),
                               [this, target] {
                                 --lapsed_;
                                 world_.List(target);
                               });
        break;
      case Event::kReportsDelayed:
        world_.report_delay = milliseconds(random_.Below(150));
        break;
      case Event::kReportsPrompt:
        world_.report_delay = Duration::zero();
        break;
      case Event::kPacketLoss:
        world_.loss = 0.05;
        break;
      case Event::kNoPacketLoss:
        world_.loss = 0;
        break;
      case Event::kTargetsSlow:
        for (auto& slow : world_.targets) slow->work = milliseconds(120);
        break;
      case Event::kTargetsFast:
        for (auto& fast : world_.targets) fast->work = milliseconds(20);
        break;
      case Event::kLateAnnouncement:
        world_.Announce(target);
        break;
      case Event::kSynCopyArrivesLate:
        world_.clients[random_.Below(kKeptFlows)]->RetransmitSyn();
        break;
      case Event::kAgentRestarts:
        world_.KillAgent(target);
        world_.StartAgent(target);
        world_.scheduler.After(milliseconds(random_.Below(kMaxAnnounceMs)),
                               [this, target] { world_.Announce(target); });
        break;
    }
  }

  SeededRandom random_;
  SteeringWorld world_;
  int64_t requests_ = 0;
  /** Lapses of entries that have not ended. */
  int lapsed_ = 0;
};

// Guards against a balancer that resets a flow which it cannot find although
// the flow's target and agent run.
TEST_CASE("No order of events resets a flow that a living target holds") {
  constexpr uint64_t kHistories = 150;
  constexpr int kEvents = 60;
  const std::string choices = GENERATE(
      as<std::string>(), "order=priority,room-wait=bounded",
      "order=priority,room-wait=attempt", "order=deadline,room-wait=bounded",
      "order=deadline,room-wait=attempt");
  const auto admission = ParseAdmissionOptions(choices);
  REQUIRE(admission);
  for (uint64_t seed = 1; seed <= kHistories; ++seed) {
    const auto wrong = GeneratedHistory(seed, *admission).Play(kEvents);
    INFO(choices << ", seed " << seed);
    for (const WrongReset& reset : wrong) {
      UNSCOPED_INFO(reset.sender << ": " << reset.log_line);
    }
    CHECK(wrong.empty());
  }
}

// Guards against the search for a flow that ended, which resets a new flow from
// the same port.
TEST_CASE("A new flow from the same port ends the search for the former one") {
  SteeringWorld world(1, 3, 5);
  world.RunFor(seconds(1));
  world.lose_queries = true;
  const Endpoint caller(0x64500001, 40000);
  PacketHeader data;
  data.source = caller;
  data.destination = SteeringWorld::RouteAddress();
  data.ack = true;
  data.sequence = 1000;
  world.FromClient(TestPacketCodec::Encode(data, "request"));
  world.RunFor(milliseconds(50));
  REQUIRE(world.balancer(0)->counters().searches == 1);
  PacketHeader syn;
  syn.source = caller;
  syn.destination = SteeringWorld::RouteAddress();
  syn.syn = true;
  syn.sequence = 0x70000000;
  world.FromClient(TestPacketCodec::Encode(syn));
  world.RunFor(milliseconds(50));
  world.lose_queries = false;
  world.RunFor(seconds(3));
  CHECK(world.balancer(0)->counters().placed == 1);
  CHECK(world.resets == 0);
}

// Guards against a copy of the SYN that is placed anew, and refused, while the
// target of the open flow is being searched.
TEST_CASE("A late copy of the SYN of a searched flow is not placed") {
  SteeringWorld world(1, 3, 5);
  world.RunFor(seconds(1));
  world.lose_queries = true;
  PacketHeader packet;
  packet.source = Endpoint(0x64500001, 40000);
  packet.destination = SteeringWorld::RouteAddress();
  packet.ack = true;
  packet.sequence = 1001;
  world.FromClient(TestPacketCodec::Encode(packet, "request"));
  world.RunFor(milliseconds(50));
  packet.syn = true;
  packet.ack = false;
  packet.sequence = 1000;
  world.FromClient(TestPacketCodec::Encode(packet));
  world.RunFor(milliseconds(50));
  CHECK(world.balancer(0)->counters().placed == 0);
}

}  // namespace
}  // namespace sesamesaddle
