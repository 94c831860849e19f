#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "admin_types.h"
#include "messages_types.h"
#include "schema/codec.h"
#include "schema/readable_json.h"
#include "steering_types.h"

namespace sesamesaddle {
namespace {

schema::PeerMessage MakeMessage(const std::string& payload) {
  schema::Answer answer;
  answer.flow.caller = 1;
  answer.flow.service_address = 2;
  answer.owner = -3;
  answer.payload = payload;
  schema::PeerMessage message;
  message.__set_answer(answer);
  return message;
}

TEST_CASE("Decoding an encoded message restores it in both protocols") {
  rc::prop("for any payload", [](const std::string& payload) {
    const auto message = MakeMessage(payload);
    RC_ASSERT(DecodeCompact<schema::PeerMessage>(EncodeCompact(message)) ==
              message);
    RC_ASSERT(DecodeJson<schema::PeerMessage>(EncodeJson(message)) == message);
  });
}

TEST_CASE("Decoding random bytes does not crash") {
  rc::prop("for any bytes", [](const std::string& bytes) {
    (void)DecodeCompact<schema::PeerMessage>(bytes);
    (void)DecodeJson<schema::CommandReply>(bytes);
  });
}

TEST_CASE("Decoding mutated bytes does not crash and truncated messages fail") {
  rc::prop("for any change of a byte", [](uint8_t position, char value) {
    std::string bytes = EncodeCompact(MakeMessage("payload"));
    bytes[position % bytes.size()] = value;
    (void)DecodeCompact<schema::PeerMessage>(bytes);
    bytes.resize(position % bytes.size());
    RC_ASSERT(!DecodeCompact<schema::PeerMessage>(bytes).has_value());
  });
}

TEST_CASE("A balancer's record of an earlier version has no capacity") {
  // Bytes written by the version that had no capacity in the record. A required
  // field would make balancers ignore peers of that version.
  constexpr char kEarlierHex[] =
      "1806656467652d3118086d6f6e747265616c16d0f8e080a0800516d2f8e080a0800500";
  std::string bytes;
  for (const char* hex = kEarlierHex; *hex != '\0'; hex += 2) {
    bytes += static_cast<char>(std::stoi(std::string(hex, 2), nullptr, 16));
  }
  const auto record = DecodeCompact<schema::BalancerRecord>(bytes);
  REQUIRE(record.has_value());
  CHECK(record->name == "edge-1");
  CHECK(record->zone == "montreal");
  CHECK_FALSE(record->__isset.cpu_cores);
  CHECK_FALSE(record->__isset.link_mbps);
  CHECK(EncodeCompact(*record) == bytes);
}

TEST_CASE("Trailing bytes after a message are an error") {
  const std::string bytes = EncodeCompact(MakeMessage("x")) + "y";
  CHECK(DecodeCompact<schema::PeerMessage>(bytes).error() ==
        CodecError::kTrailingBytes);
}

TEST_CASE("A length field over the size limit is rejected") {
  // A binary field (answer.payload) that claims 2 GB.
  std::string bytes = EncodeCompact(MakeMessage("x"));
  const size_t length = bytes.size() - 4;
  bytes.replace(length, 1, "\xff\xff\xff\xff\x07");
  CHECK_FALSE(DecodeCompact<schema::PeerMessage>(bytes).has_value());
}

TEST_CASE("Readable JSON has field names and escaped strings") {
  schema::CommandReply reply;
  reply.outcome = schema::CommandOutcome::kDone;
  reply.message = "a \"b\"\n";
  schema::Row row;
  row.cells = {"1", "2"};
  schema::Table table;
  table.columns = {"x", "y"};
  table.rows = {row, row};
  reply.__set_table(table);
  CHECK(EncodeReadableJson(reply) ==
        "{\"outcome\":0,\"message\":\"a \\\"b\\\"\\u000a\",\"table\":{"
        "\"columns\":[\"x\",\"y\"],\"rows\":[{\"cells\":[\"1\",\"2\"]},"
        "{\"cells\":[\"1\",\"2\"]}]}}");
  schema::StateDump dump;
  dump.counters = {{"a", 1}, {"b", 2}};
  CHECK(EncodeReadableJson(dump).find("\"counters\":{\"a\":1,\"b\":2}") !=
        std::string::npos);
}

}  // namespace
}  // namespace sesamesaddle
