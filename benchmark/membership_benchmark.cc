// CPU time that one member spends on one second of gossip, by number of
// members. One iteration is 100 ticks, one acknowledged probe and two received
// pings.

#include <benchmark/benchmark.h>

#include "membership/membership.h"

namespace sesamesaddle {
namespace {

schema::MemberRecord MakeRecord(int64_t i) {
  schema::MemberRecord record;
  record.name = "instance-" + std::to_string(i);
  record.role = schema::Role::kAgent;
  record.zone = "z";
  record.endpoint =
      Endpoint(0x0a000000 + static_cast<uint32_t>(i), 7000).Pack();
  record.state = schema::MemberState::kAlive;
  record.born_ms = 1;
  record.id = MakeMemberId(record.name, 1).value();
  return record;
}

void BM_MemberSecond(benchmark::State& state) {
  SeededRandom random(1);
  Membership members(MakeRecord(0), MembershipOptions(), random);
  TimePoint now(std::chrono::hours(1));
  std::vector<OutgoingGossip> out;
  schema::Gossip ping;
  ping.kind = schema::GossipKind::kPing;
  for (int64_t i = 1; i <= state.range(0); ++i) {
    ping.sender = MakeRecord(i);
    members.OnGossip(now, Endpoint(), ping, Revision(), out);
  }
  for (auto unused : state) {
    for (int tick = 0; tick < 100; ++tick) {
      now += std::chrono::milliseconds(10);
      out.clear();
      members.OnTick(now, Revision(), out);
      for (const OutgoingGossip& outgoing : out) {
        if (outgoing.gossip.kind != schema::GossipKind::kPing) continue;
        schema::Gossip ack;
        ack.kind = schema::GossipKind::kAck;
        ack.sequence = outgoing.gossip.sequence;
        ack.sender = MakeRecord(1);
        members.OnGossip(now, outgoing.to, ack, Revision(), out);
        break;
      }
    }
    members.OnGossip(now, Endpoint(), ping, Revision(), out);
    members.OnGossip(now, Endpoint(), ping, Revision(), out);
    members.TakeChanges();
  }
}
BENCHMARK(BM_MemberSecond)->Arg(1000)->Arg(4000)->Arg(8230);

}  // namespace
}  // namespace sesamesaddle

BENCHMARK_MAIN();
