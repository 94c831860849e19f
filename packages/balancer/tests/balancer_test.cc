#include "balancer/balancer.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <list>
#include <map>

namespace sesamesaddle {
namespace {

const TimePoint kStart(std::chrono::hours(1));
constexpr Endpoint kService(0x7f000101, 5683);

Flow MakeFlow(uint32_t caller) { return {Endpoint(caller, 1), kService}; }

TEST_CASE("HintCache evicts the least recently used hint") {
  rc::prop("matches an LRU list", [](const std::vector<uint8_t>& steps) {
    constexpr size_t kCapacity = 5;
    HintCache cache(kCapacity);
    std::list<uint32_t> expected;  // Most recent first.
    for (const uint8_t step : steps) {
      const uint32_t caller = step % 9;
      const bool known =
          std::find(expected.begin(), expected.end(), caller) != expected.end();
      if (step % 2 == 0) {
        RC_ASSERT(cache.Find(MakeFlow(caller)).has_value() == known);
        if (!known) continue;
      } else {
        cache.Put(MakeFlow(caller), MemberId(caller));
      }
      expected.remove(caller);
      expected.push_front(caller);
      if (expected.size() > kCapacity) expected.pop_back();
      RC_ASSERT(cache.size() == expected.size());
    }
  });
}

TEST_CASE("A full queue drops datagrams of the low lane before the high one") {
  DatagramQueue queue(10);
  for (int i = 0; i < 10; ++i) queue.Push(schema::Priority::kLow, {});
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(queue.Push(schema::Priority::kHigh, {}));
  }
  CHECK(queue.size() == 10);
  CHECK_FALSE(queue.Push(schema::Priority::kLow, {}));
  int popped = 0;
  while (queue.Pop()) ++popped;
  CHECK(popped == 10);
}

TEST_CASE(
    "The low lane gets its weighted share while the high lane is in use") {
  DatagramQueue queue(1000);
  for (uint32_t i = 0; i < 300; ++i) {
    queue.Push(schema::Priority::kLow, {MakeFlow(1), "", {}});
    queue.Push(schema::Priority::kHigh, {MakeFlow(2), "", {}});
  }
  int low = 0;
  for (int i = 0; i < 170; ++i) {
    low += static_cast<int>(queue.Pop()->flow == MakeFlow(1));
  }
  CHECK(low == 10);  // One of seventeen turns.
}

schema::MemberRecord MakeRecord(const std::string& name,
                                schema::Role::type role, uint16_t port) {
  schema::MemberRecord record;
  record.name = name;
  record.role = role;
  record.endpoint = Endpoint(INADDR_LOOPBACK, port).Pack();
  record.zone = "z";
  record.state = schema::MemberState::kAlive;
  record.born_ms = 1;
  record.id = MakeMemberId(name, 1).value();
  return record;
}

/** A balancer with three agents of one service. */
class BalancerFixture {
 public:
  explicit BalancerFixture(const BalancerOptions& options = BalancerOptions())
      : random_(1),
        balancer_(MakeRecord("b", schema::Role::kBalancer, 1), options,
                  random_) {
    for (uint16_t i = 0; i < 3; ++i) {
      ReceiveGossip(MakeRecord("a-" + std::to_string(i), schema::Role::kAgent,
                               static_cast<uint16_t>(100 + i)));
    }
    schema::CreateService create;
    create.name = "s";
    create.address = kService.Pack();
    schema::ChangeRecord record;
    record.revision = 1;
    record.change.__set_create_service(create);
    Outbox out;
    balancer_.control().OnRecord(record, out);
    schema::AllowTargets allow;
    allow.service_name = "s";
    allow.rule.pattern = "a-*";
    record = schema::ChangeRecord();
    record.revision = 2;
    record.change.__set_allow_targets(allow);
    balancer_.control().OnRecord(record, out);
  }

  void ReceiveGossip(const schema::MemberRecord& record) {
    schema::Gossip gossip;
    gossip.kind = schema::GossipKind::kAck;
    gossip.sender = record;
    schema::PeerMessage message;
    message.__set_gossip(gossip);
    Outbox out;
    balancer_.OnMessage(kStart, Endpoint::Unpack(record.endpoint), message,
                        out);
  }

  /** Returns the envelopes sent for a datagram of a caller. */
  std::vector<std::pair<Endpoint, schema::Envelope>> Send(TimePoint now,
                                                          uint32_t caller) {
    Outbox out;
    balancer_.OnCallerDatagram(now, MakeFlow(caller), "x", out);
    return Envelopes(out);
  }

  static std::vector<std::pair<Endpoint, schema::Envelope>> Envelopes(
      Outbox& out) {
    std::vector<std::pair<Endpoint, schema::Envelope>> envelopes;
    for (const Action& action : out.Take()) {
      const auto* send = std::get_if<SendToPeer>(&action);
      if (send != nullptr && send->message.__isset.envelope) {
        envelopes.emplace_back(send->to, send->message.envelope);
      }
    }
    return envelopes;
  }

  Balancer& balancer() { return balancer_; }

 private:
  SeededRandom random_;
  Balancer balancer_;
};

TEST_CASE("All datagrams of a flow go to the same home agent") {
  BalancerFixture fixture;
  std::map<Endpoint, int> homes;
  for (uint32_t caller = 0; caller < 300; ++caller) {
    const auto first = fixture.Send(kStart, caller);
    const auto again = fixture.Send(kStart, caller);
    REQUIRE(first.size() == 1);
    CHECK(first[0].first == again[0].first);
    CHECK(first[0].second.revision == 2);
    CHECK(first[0].second.service_id == 1);
    ++homes[first[0].first];
  }
  CHECK(homes.size() == 3);
}

TEST_CASE("A datagram for an unknown service address is dropped") {
  BalancerFixture fixture;
  Outbox out;
  fixture.balancer().OnCallerDatagram(kStart, {Endpoint(1, 1), Endpoint(9, 9)},
                                      "x", out);
  CHECK(out.Take().empty());
  CHECK(fixture.balancer().counters().unknown_service == 1);
}

TEST_CASE(
    "Datagrams sent during a pause are dropped if read before or after a "
    "tick") {
  BalancerFixture fixture;
  constexpr auto kTick = std::chrono::milliseconds(10);
  const auto tick = [&fixture](TimePoint now) {
    Outbox out;
    fixture.balancer().OnTick(now, out);
  };
  tick(kStart);
  CHECK(fixture.Send(kStart + kTick, 1).size() == 1);
  const TimePoint resumed = kStart + std::chrono::seconds(3);
  // Datagrams are read both before and after the first tick.
  CHECK(fixture.Send(resumed, 1).empty());
  tick(resumed);
  CHECK(fixture.Send(resumed, 2).empty());
  tick(resumed + kTick);
  CHECK(fixture.Send(resumed + kTick, 3).empty());
  const TimePoint read = resumed + ControlPlane::kBacklogDuration + kTick;
  tick(read);
  CHECK(fixture.Send(read, 4).size() == 1);
  CHECK(fixture.balancer().counters().dropped_stale == 3);
}

TEST_CASE("A silent home agent is skipped before gossip marks it as dead") {
  BalancerFixture fixture;
  const Endpoint home = fixture.Send(kStart, 1)[0].first;
  const TimePoint later = kStart + PeerLiveness::kSilentAfter;
  const auto again = fixture.Send(later, 1);
  REQUIRE(again.size() == 1);
  CHECK(again[0].first != home);
}

TEST_CASE("A misrouted envelope is rerouted a limited number of times") {
  BalancerFixture fixture;
  auto sent = fixture.Send(kStart, 1)[0];
  int hops = 0;
  while (true) {
    schema::Misrouted misrouted;
    misrouted.envelope = sent.second;
    misrouted.reason = schema::MisrouteReason::kWrongService;
    misrouted.revision = 2;
    schema::PeerMessage message;
    message.__set_misrouted(misrouted);
    Outbox out;
    fixture.balancer().OnMessage(kStart, sent.first, message, out);
    const auto again = BalancerFixture::Envelopes(out);
    if (again.empty()) break;
    REQUIRE(++hops < 10);
    sent = again[0];
  }
  CHECK(hops == 3);
}

TEST_CASE(
    "Under overload the rate limit holds and excess datagrams are dropped") {
  BalancerOptions options;
  options.max_datagrams_per_second = 1000;
  options.queue_capacity = 50;
  BalancerFixture fixture(options);
  size_t passed = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    const TimePoint now = kStart + std::chrono::milliseconds(ms);
    for (uint32_t i = 0; i < 3; ++i) passed += fixture.Send(now, i).size();
  }
  CHECK(passed <= 1000 + 100);
  CHECK(passed >= 950);
  CHECK(fixture.balancer().counters().dropped_overload > 1500);
}

}  // namespace
}  // namespace sesamesaddle
