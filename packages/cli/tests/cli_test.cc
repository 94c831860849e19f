#include <catch2/catch.hpp>

#include "cli/client.h"

namespace sesamesaddle {
namespace {

TEST_CASE("A syntax error is shown under its column") {
  schema::CommandReply reply;
  reply.outcome = schema::CommandOutcome::kSyntaxError;
  reply.message = "expected address";
  reply.__set_column(8);
  CHECK(FormatReply("create x", reply) ==
        "create x\n       ^\ncolumn 8: expected address\n");
}

TEST_CASE("Messages end in one line end, tables stay as they are") {
  schema::CommandReply reply;
  reply.outcome = schema::CommandOutcome::kAccepted;
  reply.message = "accepted, revision 3";
  CHECK(FormatReply("", reply) == "accepted, revision 3\n");
  schema::Table table;
  table.columns = {"a"};
  reply.__set_table(table);
  CHECK(FormatReply("", reply) == "a\n(0 rows)\n");
}

TEST_CASE("Wrong arguments end with the exit code of usage") {
  CHECK(RunClient({"sesamesaddle", "--server", "nowhere", "help"}) == 2);
  CHECK(RunClient({"sesamesaddle", "--no-such-flag"}) == 2);
  CHECK(RunClient({"sesamesaddle", "--token-file", "/nonexistent", "help"}) ==
        2);
}

TEST_CASE("A daemon that is not there is told apart from a refusal") {
  CHECK(RunClient({"sesamesaddle", "--server", "127.0.0.1:1", "help"}) == 4);
}

}  // namespace
}  // namespace sesamesaddle
