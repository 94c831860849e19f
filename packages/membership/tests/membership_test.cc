#include "membership/membership.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <vector>

#include "gossip_network.h"

namespace sesamesaddle {
namespace {

using schema::MemberState;

TEST_CASE("Supersedes is a strict order") {
  rc::prop("two states never supersede each other", [] {
    const auto state = [] {
      return *rc::gen::element(MemberState::kAlive, MemberState::kSuspect,
                               MemberState::kDead, MemberState::kLeft);
    };
    const auto a = state();
    const auto b = state();
    const int x = *rc::gen::inRange(0, 3);
    const int y = *rc::gen::inRange(0, 3);
    RC_ASSERT(!(Supersedes(x, a, y, b) && Supersedes(y, b, x, a)));
    RC_ASSERT(!Supersedes(x, a, x, a));
  });
}

TEST_CASE("Changes are taken in order of transmission count, then dropped") {
  DisseminationQueue queue;
  queue.Add(MemberId(1));
  queue.Add(MemberId(2));
  CHECK(queue.Take(1, 2).size() == 1);
  CHECK(queue.Take(2, 2).size() == 2);
  CHECK(queue.Take(2, 2).size() == 1);
  CHECK(queue.Take(2, 2).empty());
  queue.Add(MemberId(3));
  queue.Add(MemberId(3));
  CHECK(queue.size() == 1);
}

TEST_CASE("Members with a common seed discover each other") {
  GossipNetwork network(1);
  for (int i = 0; i < 20; ++i) network.Add();
  network.RunFor(std::chrono::seconds(15));
  CHECK(network.Converged());
}

TEST_CASE("A dead member is detected in time without false positives") {
  GossipNetwork network(2);
  for (int i = 0; i < 20; ++i) network.Add();
  network.RunFor(std::chrono::seconds(20));
  REQUIRE(network.Converged());
  network.Kill(7);
  network.RunFor(std::chrono::seconds(20));
  CHECK(network.Converged());
  CHECK(network.Present(0) == 18);
}

TEST_CASE("20 % datagram loss removes no live member") {
  GossipNetwork network(3);
  network.loss_percent = 20;
  for (int i = 0; i < 16; ++i) network.Add();
  network.RunFor(std::chrono::seconds(120));
  for (size_t i = 0; i < network.size(); ++i) CHECK(network.Present(i) == 15);
}

TEST_CASE("A member that leaves is removed promptly and stays removed") {
  GossipNetwork network(4);
  for (int i = 0; i < 12; ++i) network.Add();
  network.RunFor(std::chrono::seconds(20));
  network.Leave(3);
  network.RunFor(std::chrono::seconds(6));
  CHECK(network.Converged());
  CHECK(network.Present(0) == 10);
}

TEST_CASE("A new process replaces the earlier one at its address") {
  GossipNetwork network(5);
  for (int i = 0; i < 8; ++i) network.Add();
  network.RunFor(std::chrono::seconds(15));
  const MemberId earlier = network.id(2);
  network.Restart(2);
  network.RunFor(std::chrono::seconds(10));
  CHECK(network.Converged());
  CHECK(network.Present(0) == 7);
  CHECK_FALSE(network.member(0).Find(earlier)->present());
}

TEST_CASE("A paused process rejoins with a higher incarnation") {
  GossipNetwork network(6);
  for (int i = 0; i < 10; ++i) network.Add();
  network.RunFor(std::chrono::seconds(15));
  network.Pause(4);
  network.RunFor(std::chrono::seconds(20));
  CHECK(network.Present(0) == 8);
  network.Resume(4);
  network.RunFor(std::chrono::seconds(15));
  CHECK(network.Converged());
  CHECK(network.Present(0) == 9);
  // It declared no other member dead because of its own pause.
  CHECK(network.Present(4) == 9);
  CHECK(network.member(4).self().incarnation > 0);
}

TEST_CASE("Member tables converge after a partition of one hour") {
  GossipNetwork network(7);
  for (int i = 0; i < 16; ++i) network.Add();
  network.RunFor(std::chrono::seconds(20));
  network.Split(8);
  network.RunFor(std::chrono::hours(1));
  CHECK(network.Present(0) == 7);
  CHECK(network.Present(15) == 7);
  network.Heal();
  network.RunFor(std::chrono::seconds(60));
  CHECK(network.Converged());
  CHECK(network.Present(0) == 15);
}

TEST_CASE("Member tables converge after crashes, joins, leaves and pauses") {
  rc::prop("compared with the list of live processes", [] {
    GossipNetwork network(*rc::gen::arbitrary<uint64_t>());
    network.loss_percent = 5;
    for (int i = 0; i < 10; ++i) network.Add();
    network.RunFor(std::chrono::seconds(15));
    for (int step = 0; step < 8; ++step) {
      const auto victim = *rc::gen::inRange<size_t>(1, network.size());
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          network.Kill(victim);
          break;
        case 1:
          network.Leave(victim);
          break;
        case 2:
          network.Restart(victim);
          break;
        case 3:
          network.Pause(victim);
          break;
        default:
          network.Add();
      }
      network.RunFor(std::chrono::seconds(*rc::gen::inRange(0, 12)));
    }
    for (size_t i = 0; i < network.size(); ++i) network.Resume(i);
    network.RunFor(std::chrono::seconds(90));
    RC_ASSERT(network.Converged());
  });
}

}  // namespace
}  // namespace sesamesaddle
