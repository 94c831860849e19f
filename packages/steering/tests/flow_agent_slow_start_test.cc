#include <catch2/catch.hpp>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "silent_log.h"
#include "steering/flow_agent.h"
#include "target_fixtures.h"
#include "test_packet_codec.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));
const Endpoint kBalancer(0x0a020001, 7722);

class CountingAgentOutput : public FlowAgentOutput {
 public:
  void ToTarget(std::string_view packet) override {
    ++to_target;
    unanswered.push_back(*codec.Decode(packet));
  }
  void ToClient(const Endpoint& /*client*/,
                std::string_view /*packet*/) override {}
  void ToBalancer(const Endpoint& /*balancer*/,
                  std::string_view packet) override {
    returned.push_back(codec.Decode(packet)->tag.kind);
  }
  void Report(const Endpoint& /*balancer*/,
              const schema::AgentReport& report) override {
    reports.push_back(report);
  }

  TestPacketCodec codec;
  int to_target = 0;
  std::vector<PacketHeader> unanswered;
  std::vector<HopKind> returned;
  std::vector<schema::AgentReport> reports;
};

class IgnoringObserver : public DurationObserver {
 public:
  void Observe(Duration /*duration*/) override {}
};

/** An agent with a target of many slots. */
struct SingleAgent {
  /** @param sent_after  `now` if not given */
  void Announce(TimePoint now, int slow_start_ms, int64_t sequence,
                std::optional<TimePoint> sent_after = std::nullopt) {
    TargetAnnouncement announcement;
    announcement.id = "t";
    announcement.born_ms = 1;
    announcement.service = "orders";
    announcement.slots = 100;
    announcement.slow_start_ms = slow_start_ms;
    announcement.sequence = sequence;
    announcement.sent_after = sent_after.value_or(now);
    effect = agent.OnAnnouncement(now, announcement);
  }

  /** @param service  none in notices of earlier builds */
  void Notify(TimePoint now, double flows_per_second, int64_t version,
              int duration_ms = 20000,
              const std::optional<std::string>& service = std::nullopt) {
    schema::AgentNotice notice;
    notice.configuration_version = version;
    if (service) notice.__set_service_name(*service);
    schema::SlowStartLimit limit;
    limit.duration_ms = duration_ms;
    limit.flows_per_second = flows_per_second;
    limit.configuration_version = version;
    notice.__set_slow_start(limit);
    agent.OnNotice(now, kBalancer, notice);
  }

  /** @param kind  kOffer from a balancer whose configuration has a limit */
  void Syn(TimePoint now, uint32_t flow, uint32_t copies = 0,
           HopKind kind = HopKind::kDirect) {
    PacketHeader header;
    header.source = MakeFlow(flow).caller;
    header.destination = MakeFlow(flow).service;
    header.syn = true;
    header.sequence = 77;
    header.acknowledged = copies;
    header.tag = {kind, ServiceCheck("orders")};
    std::string packet = TestPacketCodec::Encode(header);
    agent.OnBalancerPacket(now, kBalancer, packet.data(), packet.size());
    AnswerDelivered(now);
  }

  /** Delivers the client's first data, which opens the flow. */
  void Data(TimePoint now, uint32_t flow) {
    PacketHeader header = FromClient(flow);
    header.tag = {HopKind::kDirect, ServiceCheck("orders")};
    std::string packet = TestPacketCodec::Encode(header, "data");
    agent.OnBalancerPacket(now, kBalancer, packet.data(), packet.size());
    output.unanswered.clear();
  }
  /** Lets the target send data on the flow. */
  void Answer(TimePoint now, uint32_t flow) {
    PacketHeader header = FromClient(flow);
    std::swap(header.source, header.destination);
    FromTarget(now, header);
  }
  /** Lets the target return a packet of the flow. */
  void Return(TimePoint now, uint32_t flow) {
    PacketHeader header = FromClient(flow);
    header.returned = true;
    FromTarget(now, header);
  }
  static PacketHeader FromClient(uint32_t flow) {
    PacketHeader header;
    header.source = MakeFlow(flow).caller;
    header.destination = MakeFlow(flow).service;
    header.ack = true;
    header.sequence = 78;
    header.acknowledged = 501;
    return header;
  }
  void FromTarget(TimePoint now, const PacketHeader& header) {
    std::string packet = TestPacketCodec::Encode(header, "data");
    agent.OnTargetPacket(now, packet.data(), packet.size());
  }

  void Tick(TimePoint now) {
    agent.OnTick(now);
    AnswerDelivered(now);
  }

  /** Lets the target answer the SYNs that it got, so that it is not silent. */
  void AnswerDelivered(TimePoint now) {
    for (const PacketHeader& syn : std::exchange(output.unanswered, {})) {
      PacketHeader answer;
      answer.source = syn.destination;
      answer.destination = syn.source;
      answer.syn = answer.ack = true;
      answer.sequence = 500;
      std::string packet = TestPacketCodec::Encode(answer);
      agent.OnTargetPacket(now, packet.data(), packet.size());
    }
  }

  /** Returns the room in the next report; -1 if it has none. */
  int ReportedRoom(TimePoint now) {
    output.reports.clear();
    agent.OnQuery(now, kBalancer, schema::FlowQuery());
    agent.OnTick(now);
    const schema::AgentReport& report = output.reports.back();
    return report.__isset.slow_start_room ? report.slow_start_room : -1;
  }

  CountingAgentOutput output;
  SilentLog log;
  IgnoringObserver observer;
  AnnouncementEffect effect = AnnouncementEffect::kUnchanged;
  FlowAgent agent{
      kNow,         {Endpoint(0x0a010001, 8172), "orders", seconds(60), "z"},
      output.codec, output,
      log,          observer};
};

// Guards against the limit of the service whose agent had the address before.
TEST_CASE("A notice for another service sets no limit") {
  SingleAgent single;
  single.Announce(kNow, 20000, 1);
  single.Notify(kNow, 2, 1, 20000, "reports");
  CHECK(single.ReportedRoom(kNow + seconds(1)) == -1);
  single.Notify(kNow + seconds(1), 3, 1, 20000, "orders");
  CHECK(single.ReportedRoom(kNow + seconds(2)) == 3);
  single.Notify(kNow + seconds(2), 4, 2);
  CHECK(single.ReportedRoom(kNow + seconds(3)) == 4);
}

TEST_CASE("A SYN without room waits and then returns to its balancer") {
  SingleAgent one;
  one.Announce(kNow, 20000, 1);
  one.Notify(kNow, 2, 1);
  for (uint32_t i = 1; i <= 3; ++i) one.Syn(kNow, i);
  CHECK(one.output.to_target == 2);
  CHECK(one.agent.queued() == 1);
  CHECK(one.agent.counters().held_slow_start == 1);
  one.Tick(kNow + milliseconds(101));
  CHECK(one.output.returned == std::vector<HopKind>{HopKind::kYielded});
  // A SYN that comes shortly before there is room is delivered.
  one.Syn(kNow + milliseconds(950), 4);
  CHECK(one.output.to_target == 2);
  one.Tick(kNow + milliseconds(1010));
  CHECK(one.output.to_target == 3);
}

// A balancer that knows of room sends further SYNs, which would wait as well.
TEST_CASE("A held SYN is reported at once to a balancer that expects room") {
  SingleAgent one;
  one.Announce(kNow, 20000, 1);
  one.Notify(kNow, 2, 1);
  CHECK(one.ReportedRoom(kNow) == 2);
  one.Tick(kNow + milliseconds(10));
  one.Syn(kNow + milliseconds(20), 1);
  one.Syn(kNow + milliseconds(20), 2);
  CHECK_FALSE(one.agent.urgent());
  one.Syn(kNow + milliseconds(20), 3);
  CHECK(one.agent.urgent());
  one.Tick(kNow + milliseconds(22));
  CHECK(one.output.reports.back().slow_start_room == 0);
  one.Syn(kNow + milliseconds(23), 4);
  CHECK_FALSE(one.agent.urgent());
  CHECK(one.agent.counters().held_slow_start == 2);
}

// Guards against a cold target that gets all flows before the first notice.
TEST_CASE("A cold target gets no offered SYN before the limit is known") {
  SingleAgent single;
  single.Announce(kNow, 20000, 1);
  single.Syn(kNow, 1, 0, HopKind::kOffer);
  single.Syn(kNow, 2, 0, HopKind::kOffer);
  CHECK(single.output.to_target == 0);
  CHECK(single.agent.urgent());
  single.Tick(kNow + FlowAgent::kUrgentReportDelay);
  REQUIRE(single.output.reports.size() == 1);
  CHECK(single.output.reports.back().lacks_slow_start_limit);
  SECTION("it becomes known") {
    single.Notify(kNow + milliseconds(5), 1, 4);
    CHECK(single.output.to_target == 1);
    single.Tick(kNow + milliseconds(60));
    CHECK_FALSE(single.output.reports.back().lacks_slow_start_limit);
    CHECK(single.output.reports.back().slow_start_room == 0);
  }
  SECTION("a later configuration has none") {
    schema::AgentNotice notice;
    notice.configuration_version = 5;
    single.agent.OnNotice(kNow + milliseconds(5), kBalancer, notice);
    CHECK(single.output.to_target == 2);
  }
  SECTION("no notice arrives") {
    single.Tick(kNow + milliseconds(200));
    CHECK(single.output.to_target == 0);
    CHECK(single.output.returned ==
          std::vector{HopKind::kYielded, HopKind::kYielded});
  }
}

TEST_CASE("A warm target gets offered SYNs, a cold one those without a limit") {
  SingleAgent single;
  single.Announce(kNow, 0, 1);
  single.Syn(kNow, 1, 0, HopKind::kOffer);
  CHECK(single.output.to_target == 1);
  SingleAgent cold;
  cold.Announce(kNow, 20000, 1);
  cold.Syn(kNow, 1);
  CHECK(cold.output.to_target == 1);
}

TEST_CASE("A copy of a delivered SYN does not count again") {
  SingleAgent one;
  one.Announce(kNow, 20000, 1);
  one.Notify(kNow, 2, 1);
  one.Syn(kNow, 1);
  one.Syn(kNow + milliseconds(200), 1, 1);
  CHECK(one.output.to_target == 2);
  CHECK(one.ReportedRoom(kNow + milliseconds(200)) == 1);
  one.Syn(kNow + milliseconds(210), 2);
  CHECK(one.agent.queued() == 0);
  // Nor is it held when the room is used up.
  one.Syn(kNow + milliseconds(600), 1, 2);
  CHECK(one.output.to_target == 4);
}

TEST_CASE("Reports carry the room only while a target is cold and limited") {
  SingleAgent one;
  one.Announce(kNow, 5000, 1);
  CHECK(one.ReportedRoom(kNow) == -1);
  one.Notify(kNow, 4.7, 1);
  CHECK(one.ReportedRoom(kNow) == 4);
  one.Syn(kNow, 1);
  CHECK(one.ReportedRoom(kNow) == 3);
  CHECK(one.ReportedRoom(kNow + milliseconds(1001)) == 4);
  CHECK(one.ReportedRoom(kNow + seconds(5)) == -1);
}

TEST_CASE("A notice of an older configuration or a malformed one is ignored") {
  SingleAgent one;
  one.Announce(kNow, 5000, 1);
  one.Notify(kNow, 4, 5);
  one.Notify(kNow, 9, 4);
  one.Notify(kNow, 0, 6);
  one.Notify(kNow, -1, 6);
  one.Notify(kNow, std::numeric_limits<double>::quiet_NaN(), 6);
  one.Notify(kNow, std::numeric_limits<double>::infinity(), 6);
  one.Notify(kNow, 9, 6, 0);
  CHECK(one.ReportedRoom(kNow) == 4);
  schema::AgentNotice none;
  none.configuration_version = 4;
  one.agent.OnNotice(kNow, kBalancer, none);
  CHECK(one.ReportedRoom(kNow) == 4);
  none.configuration_version = 6;
  one.agent.OnNotice(kNow, kBalancer, none);
  CHECK(one.ReportedRoom(kNow) == -1);
}

// The agent confirms a target with an earlier start time only after a second,
// but the flows reach the new one at once.
TEST_CASE("A new target whose clock was set back is limited from the start") {
  SingleAgent one;
  one.Announce(kNow, 0, 1);
  one.Notify(kNow, 4, 1);
  TargetAnnouncement replaced;
  replaced.id = "u";
  replaced.born_ms = 0;
  replaced.service = "orders";
  replaced.slots = 100;
  replaced.slow_start_ms = 9000;
  replaced.sequence = 1;
  CHECK(one.agent.OnAnnouncement(kNow + seconds(10), replaced) ==
        AnnouncementEffect::kStale);
  CHECK(one.ReportedRoom(kNow + seconds(10)) == 4);
  // The target was not replaced: the announcement was a late one.
  one.Announce(kNow + milliseconds(10300), 0, 2);
  CHECK(one.ReportedRoom(kNow + milliseconds(10300)) == -1);
}

TEST_CASE("A young agent without an announcement takes the notice's duration") {
  SingleAgent one;
  one.Notify(kNow + seconds(1), 4, 1, 3000);
  CHECK(one.ReportedRoom(kNow + seconds(2)) == 4);
  CHECK(one.ReportedRoom(kNow + seconds(3)) == -1);
  one.Announce(kNow + seconds(2), 500, 9);
  CHECK(one.agent.slow_start().Cold(kNow + milliseconds(2499)));
  CHECK_FALSE(one.agent.slow_start().Cold(kNow + milliseconds(2500)));
}

TEST_CASE("The target of a restored zone is cold until it announces itself") {
  SingleAgent one;
  one.Announce(kNow, 0, 1);
  one.Notify(kNow, 4, 1, 3000);
  CHECK(one.ReportedRoom(kNow) == -1);
  one.agent.OnZoneRestored(kNow + seconds(10));
  CHECK(one.ReportedRoom(kNow + seconds(10)) == 4);
  CHECK(one.ReportedRoom(kNow + milliseconds(12999)) == 4);
  CHECK(one.ReportedRoom(kNow + seconds(13)) == -1);
  one.agent.OnZoneRestored(kNow + seconds(20));
  one.Announce(kNow + seconds(21), 0, 2);
  CHECK(one.ReportedRoom(kNow + seconds(21)) == -1);
  one.agent.OnZoneRestored(kNow + seconds(30));
  one.Announce(kNow + seconds(31), 9000, 3);
  CHECK(one.ReportedRoom(kNow + seconds(39)) == 4);
}

// Guards against resets of flows of a new target because it has answered the
// copy of a SYN that the former one got.
TEST_CASE(
    "An answer to a copy of a SYN does not show that a former target ran") {
  SingleAgent one;
  one.Announce(kNow, 0, 1);
  one.Syn(kNow + milliseconds(100), 1);
  one.Announce(kNow + seconds(1), 0, 2);
  one.Syn(kNow + milliseconds(1500), 2);
  one.Data(kNow + milliseconds(1600), 2);
  one.Syn(kNow + seconds(2), 1, 1);
  TargetAnnouncement started_again;
  started_again.id = "t";
  started_again.born_ms = 2;
  started_again.service = "orders";
  started_again.slots = 100;
  started_again.sequence = 1;
  started_again.sent_after = kNow + seconds(3);
  CHECK(one.agent.OnAnnouncement(kNow + seconds(3), started_again) ==
        AnnouncementEffect::kNewIncarnation);
  CHECK(one.agent.counters().resets == 0);
}

// Guards against new flows without a limit to a target that has started again
// behind a cut of its announcements.
TEST_CASE("A target that returns an open flow is cold until it is announced") {
  SingleAgent one;
  one.Announce(kNow, 0, 1);
  one.Notify(kNow, 4, 1, 3000);
  one.Syn(kNow, 1);
  one.Data(kNow + milliseconds(10), 1);
  one.Answer(kNow + milliseconds(20), 1);
  REQUIRE(one.ReportedRoom(kNow + seconds(1)) == -1);
  one.Return(kNow + seconds(2), 1);
  CHECK(one.ReportedRoom(kNow + seconds(2)) == 4);
  SECTION("a late announcement of the former target does not end that") {
    one.Announce(kNow + milliseconds(2500), 0, 2, kNow);
    CHECK(one.ReportedRoom(kNow + milliseconds(2500)) == 4);
    CHECK(one.ReportedRoom(kNow + seconds(5)) == -1);
  }
  SECTION("the new target's own announcement does") {
    one.Announce(kNow + milliseconds(2500), 0, 2, kNow + milliseconds(2400));
    CHECK(one.ReportedRoom(kNow + milliseconds(2500)) == -1);
  }
}

TEST_CASE("A target whose port was closed is cold until it is announced") {
  SingleAgent one;
  one.Announce(kNow, 0, 1);
  one.Notify(kNow, 4, 1, 3000);
  one.agent.OnTargetUnreachable(kNow + seconds(1));
  one.Answer(kNow + seconds(2), 1);
  CHECK(one.ReportedRoom(kNow + seconds(2)) == 4);
}

TEST_CASE("A limit that arrives after the restoration of the zone applies") {
  SingleAgent one;
  one.Announce(kNow, 0, 1);
  one.agent.OnZoneRestored(kNow + seconds(10));
  CHECK(one.ReportedRoom(kNow + seconds(10)) == -1);
  one.Notify(kNow + seconds(11), 4, 1, 3000);
  CHECK(one.ReportedRoom(kNow + milliseconds(12999)) == 4);
  CHECK(one.ReportedRoom(kNow + seconds(13)) == -1);
}

TEST_CASE("An announcement that makes a target cold again changes its entry") {
  SingleAgent one;
  one.Announce(kNow, 1000, 1);
  CHECK(one.effect == AnnouncementEffect::kChanged);
  one.Announce(kNow + milliseconds(500), 500, 2);
  CHECK(one.effect == AnnouncementEffect::kUnchanged);
  one.Announce(kNow + milliseconds(1500), 0, 3);
  CHECK(one.effect == AnnouncementEffect::kUnchanged);
  one.Announce(kNow + milliseconds(2500), 8000, 4);
  CHECK(one.effect == AnnouncementEffect::kChanged);
  one.Announce(kNow + milliseconds(3500), 7000, 5);
  CHECK(one.effect == AnnouncementEffect::kUnchanged);
}

}  // namespace
}  // namespace sesamesaddle
