#include <catch2/catch.hpp>

#include "cli/client.h"

namespace sesamesaddle {
namespace {

TEST_CASE("A syntax error is marked at its column") {
  schema::CommandReply reply;
  reply.outcome = schema::CommandOutcome::kSyntaxError;
  reply.message = "expected address";
  reply.__set_column(8);
  CHECK(FormatReply("create x", reply) ==
        "create x\n       ^\ncolumn 8: expected address\n");
}

TEST_CASE("A message ends with one newline, a table is printed unchanged") {
  schema::CommandReply reply;
  reply.outcome = schema::CommandOutcome::kAccepted;
  reply.message = "accepted, revision 3";
  CHECK(FormatReply("", reply) == "accepted, revision 3\n");
  schema::Table table;
  table.columns = {"a"};
  reply.__set_table(table);
  CHECK(FormatReply("", reply) == "a\n(0 rows)\n");
}

TEST_CASE("Invalid arguments give the usage exit code") {
  CHECK(RunClient({"sesamesaddle", "--server", "nowhere", "help"}) == 2);
  CHECK(RunClient({"sesamesaddle", "--no-such-flag"}) == 2);
  CHECK(RunClient({"sesamesaddle", "--token-file", "/nonexistent", "help"}) ==
        2);
}

TEST_CASE("An unreachable daemon gives an exit code of its own") {
  CHECK(RunClient({"sesamesaddle", "--server", "127.0.0.1:1", "help"}) == 4);
}

}  // namespace
}  // namespace sesamesaddle
