#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <set>
#include <string>

#include "core/random.h"
#include "serving/answer.h"
#include "serving/body_cache.h"
#include "serving/echo_authority.h"
#include "serving/request_deduplication.h"
#include "serving/retry_budget.h"
#include "serving/target_health.h"
#include "serving/work_queue.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Flow kFlow{Endpoint(1, 2), Endpoint(3, 4)};
const Flow kOtherFlow{Endpoint(5, 2), Endpoint(3, 4)};
const TimePoint kStart(std::chrono::hours(1));

TEST_CASE("An Echo value is valid only for its flow, lifetime and issuer") {
  SeededRandom random(1);
  EchoAuthority echo(MemberId(7), random);
  EchoAuthority other(MemberId(8), random);
  const std::string value = echo.Issue(kStart, kFlow);
  CHECK(value.size() <= 40);  // RFC 9175, section 2.2.1.
  const auto status = [&](Duration age) {
    return echo.Check(kStart + age, kFlow, value).status;
  };
  CHECK(status(seconds(0)) == EchoStatus::kFresh);
  CHECK(status(EchoAuthority::kLifetime) == EchoStatus::kFresh);
  CHECK(status(EchoAuthority::kLifetime + seconds(1)) == EchoStatus::kStale);
  CHECK(status(EchoAuthority::kRequestRetention) == EchoStatus::kExpired);
  CHECK(echo.Check(kStart, kOtherFlow, value).status == EchoStatus::kMalformed);
  const EchoCheck foreign = other.Check(kStart, kFlow, value);
  CHECK(foreign.status == EchoStatus::kOtherIssuer);
  CHECK(foreign.issuer == MemberId(7));
  CHECK(echo.Issue(kStart, kFlow) != value);
}

TEST_CASE("A modified Echo value is rejected") {
  rc::prop("for any modified byte", [](uint8_t position, uint8_t change) {
    RC_PRE(change != 0);
    SeededRandom random(1);
    EchoAuthority echo(MemberId(7), random);
    std::string value = echo.Issue(kStart, kFlow);
    char& byte = value[position % value.size()];
    byte = static_cast<char>(byte ^ static_cast<char>(change));
    const auto status = echo.Check(kStart, kFlow, value).status;
    RC_ASSERT(status == EchoStatus::kMalformed ||
              status == EchoStatus::kOtherIssuer);
  });
}

TEST_CASE(
    "A granted key lets the next owner check values; revocation expires them") {
  SeededRandom random(1);
  EchoAuthority first(MemberId(7), random);
  EchoAuthority second(MemberId(8), random);
  const std::string value = first.Issue(kStart, kFlow);
  for (const EchoGrant& grant : first.Grants(kFlow)) {
    second.AddGrant(kStart, kFlow, grant);
  }
  CHECK(second.Check(kStart, kFlow, value).status == EchoStatus::kFresh);
  REQUIRE(second.Grants(kFlow).size() == 2);
  CHECK(second.Grants(kFlow).back().issuer == MemberId(7));
  first.Revoke(kStart, kFlow);
  CHECK(first.Check(kStart, kFlow, value).status == EchoStatus::kExpired);
  const std::string later = first.Issue(kStart + seconds(1), kFlow);
  CHECK(first.Check(kStart + seconds(1), kFlow, later).status ==
        EchoStatus::kFresh);
}

TEST_CASE("An owner that revoked a flow grants no value issued before") {
  SeededRandom random(1);
  EchoAuthority first(MemberId(7), random);
  EchoAuthority second(MemberId(8), random);
  EchoAuthority third(MemberId(9), random);
  const auto hand_over = [](EchoAuthority& from, EchoAuthority& to) {
    for (const EchoGrant& grant : from.Grants(kFlow)) {
      to.AddGrant(kStart + seconds(2), kFlow, grant);
    }
  };
  const std::string of_first = first.Issue(kStart, kFlow);
  second.AddGrant(kStart, kFlow, first.Grants(kFlow).front());
  const std::string of_second = second.Issue(kStart, kFlow);
  // Another agent may have taken over the flow.
  second.Revoke(kStart + seconds(1), kFlow);
  const std::string later = second.Issue(kStart + seconds(2), kFlow);
  hand_over(second, third);
  const auto status = [&](const std::string& value) {
    return third.Check(kStart + seconds(3), kFlow, value).status;
  };
  CHECK(status(of_first) == EchoStatus::kOtherIssuer);
  CHECK(status(of_second) == EchoStatus::kExpired);
  CHECK(status(later) == EchoStatus::kFresh);
}

TEST_CASE("A retransmitted message is run once until its retention ends") {
  MessageDeduplicator memory(100);
  const MessageKey key{kFlow, 5};
  std::string answer;
  CHECK(memory.Begin(kStart, key, &answer) == MessageDeduplicator::State::kNew);
  CHECK(memory.Begin(kStart, key, &answer) ==
        MessageDeduplicator::State::kRunning);
  memory.Finish(kStart, key, "bytes");
  CHECK(memory.Begin(kStart, key, &answer) ==
        MessageDeduplicator::State::kAnswered);
  CHECK(answer == "bytes");
  memory.Expire(kStart + MessageDeduplicator::kRetention);
  CHECK(memory.Begin(kStart, key, &answer) == MessageDeduplicator::State::kNew);
}

TEST_CASE("Unanswered messages are kept beyond the capacity") {
  MessageDeduplicator memory(2);
  std::string answer;
  memory.Begin(kStart, {kFlow, 1}, &answer);
  for (uint16_t id = 2; id < 50; ++id) {
    memory.Begin(kStart, {kFlow, id}, &answer);
    memory.Finish(kStart, {kFlow, id}, "x");
  }
  CHECK(memory.size() <= 4);
  CHECK(memory.Begin(kStart, {kFlow, 1}, &answer) ==
        MessageDeduplicator::State::kRunning);
}

TEST_CASE(
    "A nonce runs one request and is recorded for longer than its Echo value") {
  RequestDeduplicator memory;
  const EchoNonce nonce(9);
  CHECK(memory.Begin(kStart, nonce, kFlow, 1) ==
        RequestDeduplicator::State::kNew);
  CHECK(memory.Begin(kStart, nonce, kFlow, 1) ==
        RequestDeduplicator::State::kRunning);
  CHECK(memory.Begin(kStart, nonce, kFlow, 2) ==
        RequestDeduplicator::State::kRequestMismatch);
  memory.Expire(kStart + std::chrono::hours(1));  // Unanswered: kept.
  CHECK(memory.size() == 1);
  memory.Finish(kStart, nonce, "x");
  memory.Expire(kStart + EchoAuthority::kRequestRetention);
  CHECK(memory.Begin(kStart, nonce, kFlow, 1) ==
        RequestDeduplicator::State::kAnswered);
  CHECK(memory.FindByFlow(kFlow).size() == 1);
  CHECK(memory.FindByFlow(kOtherFlow).empty());
  memory.Expire(kStart + std::chrono::hours(1));
  CHECK(memory.size() == 0);
}

/** A reference model of WorkQueue: a list that is searched linearly. */
struct ReferenceQueue {
  struct Item {
    WorkItem work;
    int64_t order;
  };
  std::list<Item> items;
  int turn = 0;

  std::list<Item>::iterator Best() {
    const bool fair = ++turn % WorkQueue::kLowestPriorityInterval == 0;
    return std::min_element(
        items.begin(), items.end(), [fair](const Item& a, const Item& b) {
          const int x = fair ? a.work.priority : -a.work.priority;
          const int y = fair ? b.work.priority : -b.work.priority;
          return std::make_tuple(x, a.work.deadline, a.order) <
                 std::make_tuple(y, b.work.deadline, b.order);
        });
  }
};

TEST_CASE("WorkQueue starts items in the same order as the reference model") {
  rc::prop("for any arrivals and completions", [] {
    constexpr size_t kSlots = 2;
    constexpr size_t kLimit = 20;
    WorkQueue queue(kSlots, kLimit);
    ReferenceQueue reference;
    size_t running = 0;
    int64_t next = 1;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    for (const int step : steps) {
      if (step < 7) {
        WorkItem item;
        item.call = CallId(next++);
        item.priority = static_cast<schema::Priority::type>(step % 3);
        item.deadline = kStart + seconds(1 + step);
        const Admission got = queue.Admit(kStart, item);
        Admission expected = Admission::kQueued;
        if (reference.items.empty() && running < kSlots) {
          expected = Admission::kStart;
          ++running;
        } else if (reference.items.size() >= kLimit) {
          expected = Admission::kQueueFull;
        } else {
          reference.items.push_back({item, next});
        }
        RC_ASSERT(got == expected);
        continue;
      }
      if (running == 0) continue;
      --running;
      queue.Finish(Duration::zero());
      const auto started = queue.Next(kStart);
      if (reference.items.empty()) {
        ++reference.turn;
        RC_ASSERT(!started.has_value());
        continue;
      }
      const auto best = reference.Best();
      RC_ASSERT(started.has_value());
      RC_ASSERT(started->call == best->work.call);
      reference.items.erase(best);
      ++running;
    }
    RC_ASSERT(queue.running() == running);
    RC_ASSERT(queue.queued() == reference.items.size());
  });
}

TEST_CASE(
    "An item that cannot finish before its deadline is refused on arrival") {
  WorkQueue queue(1, 100);
  REQUIRE(queue.TryStart());
  queue.Finish(milliseconds(100));  // Sets the mean service time.
  REQUIRE(queue.TryStart());
  WorkItem item;
  item.call = CallId(1);
  item.deadline = kStart + milliseconds(150);
  CHECK(queue.Admit(kStart, item) == Admission::kTooLate);
  item.deadline = kStart + milliseconds(250);
  CHECK(queue.Admit(kStart, item) == Admission::kQueued);
  item.call = CallId(2);
  item.deadline = kStart;
  CHECK(queue.Admit(kStart, item) == Admission::kTooLate);
  CHECK(queue.TakeExpired(kStart + seconds(1)).size() == 1);
  CHECK(queue.queued() == 0);
}

TEST_CASE("Low priority items get one of kLowestPriorityInterval starts") {
  WorkQueue queue(1, 1000);
  REQUIRE(queue.TryStart());
  for (int64_t i = 1; i <= 200; ++i) {
    WorkItem item;
    item.call = CallId(i);
    item.priority = i <= 100 ? schema::Priority::kLow : schema::Priority::kHigh;
    item.deadline = kStart + std::chrono::hours(1);
    queue.Admit(kStart, item);
  }
  int low = 0;
  for (int i = 0; i < 80; ++i) {
    queue.Finish(Duration::zero());
    const auto next = queue.Next(kStart);
    low += static_cast<int>(next->priority == schema::Priority::kLow);
  }
  CHECK(low == 80 / WorkQueue::kLowestPriorityInterval);
}

TEST_CASE("Retries are limited to a share of requests") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    while (budget.TryRetry()) ++retries;
  }
  CHECK(retries <=
        1000 * RetryBudget::kRetriesPerRequest + RetryBudget::kMaxBalance);
  CHECK(retries >= 100);
}

TEST_CASE(
    "A failing target is ejected for longer each time, if ejection is "
    "allowed") {
  TargetHealth health;
  for (int i = 0; i < 20; ++i) health.OnFailure(kStart, false);
  CHECK_FALSE(health.Ejected(kStart));
  health.OnFailure(kStart, true);
  CHECK(health.Ejected(kStart));
  const TimePoint later = kStart + TargetHealth::kFirstEjection;
  CHECK_FALSE(health.Ejected(later));
  health.OnFailure(later, true);
  CHECK(health.Ejected(later + TargetHealth::kFirstEjection));
  health.OnSuccess(later + TargetHealth::kLongestEjection);
  health.OnFailure(later + TargetHealth::kLongestEjection, true);
  CHECK_FALSE(health.Ejected(later + TargetHealth::kLongestEjection));
}

TEST_CASE("Refusals carry Max-Age and a JSON body with outcome and reason") {
  const auto refusal =
      NotRunResponse(NotRunReason::kQueueFull, milliseconds(1));
  CHECK(refusal.code == coap::Code::kServiceUnavailable);
  CHECK(refusal.FindUint(coap::OptionNumber::kMaxAge) == 1);
  CHECK(refusal.payload == R"({"outcome":"not_run","reason":"queue_full"})");
  const auto unknown = UnknownOutcomeResponse(UnknownReason::kOwnerGone);
  CHECK(unknown.code == coap::Code::kGatewayTimeout);
  CHECK(unknown.payload == R"({"outcome":"unknown","reason":"owner_gone"})");
}

TEST_CASE("Blocks of any size reassemble to the whole body") {
  rc::prop("for any body", [](const std::string& part, uint8_t exponent) {
    LargeBody large;
    large.head.code = coap::Code::kContent;
    while (large.body.size() < 3000) large.body += part + "x";
    large.entity_tag = MakeEntityTag(large.body);
    std::string joined;
    coap::Block requested;
    requested.size_exponent = exponent % 7;
    while (true) {
      const auto answer = MakeBlock(large, requested);
      RC_ASSERT(coap::Encode(answer).size() < coap::kMaxMessageBytes);
      joined += answer.payload;
      const auto block =
          coap::Block::Unpack(*answer.FindUint(coap::OptionNumber::kBlock2));
      if (!block->more) break;
      ++requested.number;
    }
    RC_ASSERT(joined == large.body);
    requested.number = 100000;
    RC_ASSERT(MakeBlock(large, requested).code == coap::Code::kBadRequest);
  });
}

TEST_CASE("BodyCache stays within its capacity and expires its entries") {
  BodyCache cache(10000);
  for (int i = 0; i < 20; ++i) {
    LargeBody body;
    body.body = std::string(3000, 'x');
    cache.Put(kStart, kFlow, "/" + std::to_string(i), std::move(body));
  }
  CHECK(cache.bytes() <= 10000);
  CHECK(cache.Find(kFlow, "/19") != nullptr);
  CHECK(cache.Find(kFlow, "/0") == nullptr);
  CHECK(cache.Find(kOtherFlow, "/19") == nullptr);
  cache.Expire(kStart + BodyCache::kRetention + seconds(1));
  CHECK(cache.bytes() == 0);
}

}  // namespace
}  // namespace sesamesaddle
