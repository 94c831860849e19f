#include "evidence/syn_copies.h"

#include <catch2/catch.hpp>

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kSent(seconds(1000));

bool MayRefuse(Duration after_sent, const SynCopies& copies) {
  return AllCopiesSeen::Check(kSent + after_sent, copies).has_value();
}

TEST_CASE("A SYN may be refused until its first copy is due") {
  SynCopies copies;
  copies.OnCopy(0, kSent);
  CHECK(MayRefuse(milliseconds(0), copies));
  CHECK(MayRefuse(milliseconds(199), copies));
  CHECK_FALSE(MayRefuse(milliseconds(200), copies));
}

TEST_CASE("A SYN whose due copies came here may be refused") {
  SynCopies copies;
  copies.OnCopy(0, kSent);
  copies.OnCopy(1, kSent + milliseconds(200));
  CHECK(MayRefuse(milliseconds(300), copies));
  CHECK_FALSE(MayRefuse(milliseconds(600), copies));
  copies.OnCopy(2, kSent + milliseconds(600));
  CHECK(MayRefuse(milliseconds(700), copies));
}

TEST_CASE("A SYN whose first copies went elsewhere is never refused") {
  SynCopies second_only;
  second_only.OnCopy(1, kSent + milliseconds(200));
  CHECK_FALSE(MayRefuse(milliseconds(210), second_only));
  SynCopies without_first_copy;
  without_first_copy.OnCopy(0, kSent);
  without_first_copy.OnCopy(2, kSent + milliseconds(600));
  CHECK_FALSE(MayRefuse(milliseconds(610), without_first_copy));
}

// Guards against taking a SYN that waited in a socket for a new one.
TEST_CASE("A SYN that may have waited unread is not refused until a copy") {
  SynCopies copies;
  const Duration held_up = milliseconds(300);
  copies.OnCopy(0, kSent);
  CHECK_FALSE(MayRefuse(held_up, copies));
  copies.OnCopy(1, kSent + held_up);
  CHECK(MayRefuse(held_up + milliseconds(10), copies));
}

TEST_CASE("A copy shows how long ago its client sent the SYN at most") {
  SynCopies copies;
  copies.OnCopy(0, kSent);
  copies.OnCopy(1, kSent + milliseconds(350));
  CHECK(copies.LongestWait(kSent + milliseconds(350)) == milliseconds(200));
  CHECK(copies.highest() == 1);
}

}  // namespace
}  // namespace sesamesaddle
