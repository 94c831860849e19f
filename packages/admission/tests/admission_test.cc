#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "admission/admission_control.h"
#include "admission/handshake_time_estimator.h"
#include "admission/syn_patience.h"
#include "admission/syn_queue.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));

Flow MakeFlow(uint32_t i) { return {Endpoint(i, 40000), Endpoint(9, 443)}; }

QueuedSyn MakeQueuedSyn(uint32_t flow, int priority, TimePoint arrived,
                        Duration target_latency = milliseconds(100)) {
  QueuedSyn syn;
  syn.flow = MakeFlow(flow);
  syn.priority = priority;
  syn.arrived = arrived;
  syn.target_latency = target_latency;
  return syn;
}

TEST_CASE(
    "Queued SYNs leave by priority, then in-time ones, then oldest first") {
  SynQueue queue(QueueOrder::kPriority);
  queue.Push(kNow, MakeQueuedSyn(1, 2, kNow - milliseconds(150)), 4);  // Late.
  queue.Push(kNow, MakeQueuedSyn(2, 2, kNow - milliseconds(20)), 4);
  queue.Push(kNow, MakeQueuedSyn(3, 2, kNow - milliseconds(50)), 4);
  queue.Push(kNow, MakeQueuedSyn(4, 1, kNow - milliseconds(150)), 4);
  std::vector<Flow> order;
  while (auto syn = queue.Pop(kNow)) order.push_back(syn->flow);
  CHECK(order ==
        std::vector<Flow>{MakeFlow(4), MakeFlow(3), MakeFlow(2), MakeFlow(1)});
}

TEST_CASE("Queued SYNs of clients that have probably given up leave last") {
  // A client sends copies after 200 and 600 ms.
  CHECK_FALSE(SynPatience::ProbablyAbandoned(milliseconds(240), 0));
  CHECK(SynPatience::ProbablyAbandoned(milliseconds(260), 0));
  CHECK_FALSE(SynPatience::ProbablyAbandoned(milliseconds(260), 1));
  CHECK(SynPatience::ProbablyAbandoned(milliseconds(660), 1));
  CHECK_FALSE(SynPatience::ProbablyAbandoned(milliseconds(660), 2));
  SynQueue queue(QueueOrder::kPriority);
  queue.Push(kNow, MakeQueuedSyn(1, 1, kNow - milliseconds(300)), 4);
  queue.Push(kNow, MakeQueuedSyn(2, 1, kNow - milliseconds(290)), 4);
  queue.Push(kNow, MakeQueuedSyn(3, 2, kNow - milliseconds(20)), 4);
  CHECK(queue.RecordCopy(MakeFlow(2), 1));
  CHECK_FALSE(queue.RecordCopy(MakeFlow(9), 1));
  std::vector<Flow> order;
  while (auto syn = queue.Pop(kNow)) order.push_back(syn->flow);
  CHECK(order == std::vector<Flow>{MakeFlow(2), MakeFlow(3), MakeFlow(1)});
}

TEST_CASE("The SYN queue is bounded in length and waiting time") {
  SynQueue queue(QueueOrder::kPriority);
  for (uint32_t i = 0; i < SynQueue::kMaxQueuedPerSlot; ++i) {
    CHECK_FALSE(queue.Push(kNow, MakeQueuedSyn(i, 0, kNow), 1));
  }
  const auto refused = queue.Push(kNow, MakeQueuedSyn(99, 0, kNow), 1);
  REQUIRE(refused);
  CHECK(refused->flow == MakeFlow(99));
  CHECK(queue.TakeExpired(kNow + SynQueue::kMaxWait).empty());
  CHECK(queue.TakeExpired(kNow + SynQueue::kMaxWait + milliseconds(1)).size() ==
        SynQueue::kMaxQueuedPerSlot);
  CHECK(queue.empty());
}

TEST_CASE("By deadline, SYNs that can be in time leave before late ones") {
  SynQueue queue(QueueOrder::kDeadline);
  queue.SetServiceTime(milliseconds(60));
  queue.Push(kNow, MakeQueuedSyn(1, 1, kNow - milliseconds(150)), 4);  // Late.
  // Its response would come 110 ms after its first SYN, 10 ms too late.
  queue.Push(kNow, MakeQueuedSyn(2, 1, kNow - milliseconds(50)), 4);
  queue.Push(kNow, MakeQueuedSyn(3, 2, kNow - milliseconds(30)), 4);
  queue.Push(kNow, MakeQueuedSyn(4, 1, kNow - milliseconds(10)), 4);
  std::vector<Flow> order;
  while (auto syn = queue.Pop(kNow)) order.push_back(syn->flow);
  CHECK(order ==
        std::vector<Flow>{MakeFlow(4), MakeFlow(3), MakeFlow(1), MakeFlow(2)});
}

TEST_CASE("By deadline, a full queue returns its least urgent SYN") {
  SynQueue queue(QueueOrder::kDeadline);
  for (uint32_t i = 0; i < SynQueue::kMaxQueuedPerSlot; ++i) {
    const auto age = milliseconds(i == 3 ? 300 : 20);
    CHECK_FALSE(queue.Push(kNow, MakeQueuedSyn(i, 1, kNow - age), 1));
  }
  // A late SYN of a full queue goes, whatever its priority.
  const auto late = queue.Push(kNow, MakeQueuedSyn(50, 2, kNow), 1);
  REQUIRE(late);
  CHECK(late->flow == MakeFlow(3));
  // A new SYN that is less urgent than all others goes itself.
  const auto refused =
      queue.Push(kNow, MakeQueuedSyn(51, 2, kNow - milliseconds(400)), 1);
  REQUIRE(refused);
  CHECK(refused->flow == MakeFlow(51));
  CHECK(queue.size() == SynQueue::kMaxQueuedPerSlot);
}

TEST_CASE("A copy of a SYN shows how long its client has waited") {
  CHECK(SynPatience::MinWait(0) == milliseconds(0));
  CHECK(SynPatience::MinWait(1) == milliseconds(200));
  CHECK(SynPatience::MinWait(2) == milliseconds(600));
  CHECK(SynPatience::MinWait(7) == milliseconds(600));
}

TEST_CASE("An attempt is over when no answer to its SYN can be in time") {
  Route route;
  route.timeout = seconds(3);
  CHECK_FALSE(AdmissionControl::AttemptIsOver(route, milliseconds(1299)));
  CHECK(AdmissionControl::AttemptIsOver(route, milliseconds(1300)));
  route.timeout = milliseconds(800);
  CHECK_FALSE(AdmissionControl::AttemptIsOver(route, milliseconds(699)));
  CHECK(AdmissionControl::AttemptIsOver(route, milliseconds(700)));
}

TEST_CASE("The handshake timeout follows the handshake time") {
  HandshakeTimeEstimator handshakes;
  CHECK(handshakes.Timeout() == HandshakeTimeEstimator::kMaxTimeout);
  for (int i = 0; i < 100; ++i) handshakes.AddSample(milliseconds(4 + i % 3));
  CHECK(handshakes.Timeout() < milliseconds(15));
  CHECK(handshakes.Timeout() >= HandshakeTimeEstimator::kMinTimeout);
  // The time of a retransmitted SYN is not a sample of the handshake time.
  const Duration before = handshakes.Timeout();
  handshakes.AddSample(milliseconds(204));
  CHECK(handshakes.Timeout() == before);
  // The timeout grows with the handshake time.
  for (int i = 0; i < 100; ++i) handshakes.AddSample(milliseconds(60));
  CHECK(handshakes.Timeout() >= milliseconds(60));
}

TEST_CASE("A flow is refused only after the wait limit and without room") {
  Route route;
  route.timeout = milliseconds(900);
  using Decision = AdmissionDecision;
  CHECK(AdmissionControl::Decide(route, RoomWait::kBounded, 8.0,
                                 milliseconds(0)) == Decision::kPlace);
  CHECK(AdmissionControl::Decide(route, RoomWait::kBounded, 8.1,
                                 milliseconds(299)) == Decision::kWait);
  CHECK(AdmissionControl::Decide(route, RoomWait::kBounded, 8.1,
                                 milliseconds(300)) == Decision::kRefuse);
  CHECK(AdmissionControl::Decide(route, RoomWait::kBounded, 2.0,
                                 milliseconds(300)) == Decision::kPlace);
  route.timeout = seconds(10);
  CHECK(AdmissionControl::WaitLimit(route, RoomWait::kBounded) ==
        AdmissionControl::kMaxWait);
}

// Guards against refusals while the client still waits for its attempt, which
// only bring the request back as a new one.
TEST_CASE("A flow may wait for as long as its client's attempt lasts") {
  Route route;
  route.timeout = seconds(10);
  const auto decide = [&route](Duration waited) {
    return AdmissionControl::Decide(route, RoomWait::kAttempt, 8.1, waited);
  };
  CHECK(decide(milliseconds(1299)) == AdmissionDecision::kWait);
  CHECK(decide(milliseconds(1300)) == AdmissionDecision::kRefuse);
}

TEST_CASE("Choices of the admission are parsed, unknown ones are refused") {
  const auto options =
      ParseAdmissionOptions("order=deadline,room-wait=attempt");
  REQUIRE(options);
  CHECK(options->order == QueueOrder::kDeadline);
  CHECK(options->room_wait == RoomWait::kAttempt);
  CHECK(ParseAdmissionOptions("order=deadline")->room_wait ==
        RoomWait::kBounded);
  AdmissionOptions base;
  base.order = QueueOrder::kDeadline;
  CHECK(ParseAdmissionOptions("", base)->order == QueueOrder::kDeadline);
  CHECK_FALSE(ParseAdmissionOptions("order=oldest"));
  CHECK_FALSE(ParseAdmissionOptions("order=deadline,,"));
}

}  // namespace
}  // namespace sesamesaddle
