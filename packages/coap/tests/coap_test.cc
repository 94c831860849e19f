#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

#include "coap/message.h"

namespace sesamesaddle::coap {
namespace {

Message MakeRequest() {
  Message message;
  message.code = Code::kGet;
  message.message_id = 0x1234;
  message.token = "tok";
  message.AddUint(OptionNumber::kBlock2, 6);
  message.Add(OptionNumber::kUriPath, "a").Add(OptionNumber::kUriPath, "b c");
  message.Add(OptionNumber::kUriQuery, "q=1").Add(OptionNumber::kUriQuery, "r");
  message.payload = "payload";
  return message;
}

TEST_CASE("Parsing an encoded message restores its fields") {
  rc::prop("for any id, token, payload and option values",
           [](uint16_t id, const std::string& token, const std::string& payload,
              const std::string& value, uint32_t number) {
             Message message;
             message.code = Code::kPost;
             message.message_id = id;
             message.token = token.substr(0, 8);
             message.payload = payload.substr(0, 500);
             message.Add(OptionNumber::kUriPath, value.substr(0, 255));
             message.AddUint(OptionNumber::kMaxAge, number);
             const auto parsed = Parse(Encode(message));
             RC_ASSERT(parsed.has_value());
             RC_ASSERT(parsed->message_id == id);
             RC_ASSERT(parsed->token == message.token);
             RC_ASSERT(parsed->payload == message.payload);
             RC_ASSERT(parsed->FindUint(OptionNumber::kMaxAge) == number);
             RC_ASSERT(Encode(*parsed) == Encode(message));
           });
}

TEST_CASE("Encode produces the wire format of RFC 7252") {
  Message message;
  message.code = Code::kContent;
  message.type = Type::kAcknowledgement;
  message.message_id = 0x7d34;
  message.payload = "22.3 C";
  CHECK(Encode(message) == std::string("\x60\x45\x7d\x34\xff") + "22.3 C");
}

TEST_CASE("Path percent-encodes characters not allowed in a URI") {
  CHECK(MakeRequest().Path() == "/a/b%20c?q=1&r");
  Message injected;
  injected.Add(OptionNumber::kUriPath, "x HTTP/1.1\r\nhost: y");
  CHECK(injected.Path() == "/x%20HTTP%2F1.1%0D%0Ahost:%20y");
  CHECK(Message().Path() == "/");
}

TEST_CASE("HasUnknownCriticalOption ignores unknown elective options") {
  Message message = MakeRequest();
  CHECK_FALSE(message.HasUnknownCriticalOption());
  message.options.push_back({2048, "elective"});
  CHECK_FALSE(message.HasUnknownCriticalOption());
  message.options.push_back({2049, "critical"});
  CHECK(message.HasUnknownCriticalOption());
}

TEST_CASE(
    "Block values round-trip and the reserved size exponent is rejected") {
  Block block;
  block.number = 1000;
  block.more = true;
  const auto unpacked = Block::Unpack(block.Pack());
  REQUIRE(unpacked);
  CHECK(unpacked->number == 1000);
  CHECK(unpacked->more);
  CHECK(unpacked->size() == 1024);
  CHECK_FALSE(Block::Unpack(7));
}

TEST_CASE("Parse reports malformed and oversized messages as distinct errors") {
  CHECK(Parse("").error() == ParseError::kMalformed);
  CHECK(Parse("\x40").error() == ParseError::kMalformed);
  CHECK(Parse(std::string(kMaxMessageBytes + 1, 'x')).error() ==
        ParseError::kTooLarge);
  std::string large = Encode(MakeRequest()) + std::string(2000, 'x');
  const auto header = ParseHeader(large);
  REQUIRE(header);
  CHECK(header->message_id == 0x1234);
  CHECK(header->token == "tok");
}

TEST_CASE("Parse handles random, mutated and truncated bytes") {
  rc::prop("random bytes", [](const std::string& bytes) {
    RC_ASSERT(!Parse(bytes) || ParseHeader(bytes));
  });
  rc::prop(
      "one changed byte, and a truncation", [](uint8_t position, char value) {
        std::string bytes = Encode(MakeRequest());
        bytes[position % bytes.size()] = value;
        const auto mutated = Parse(bytes);
        const std::string_view view = bytes;
        const auto truncated = Parse(view.substr(0, position % view.size()));
        RC_ASSERT(!mutated || ParseHeader(bytes));
        RC_ASSERT(!truncated || truncated->payload.size() < bytes.size());
      });
}

}  // namespace
}  // namespace sesamesaddle::coap
