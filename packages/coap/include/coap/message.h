#ifndef SESAMESADDLE_COAP_MESSAGE_H_
#define SESAMESADDLE_COAP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace sesamesaddle::coap {

/** Message types of RFC 7252, section 3. */
enum class Type : uint8_t {
  kConfirmable = 0,
  kNonConfirmable = 1,
  kAcknowledgement = 2,
  kReset = 3,
};

/** Codes as class * 32 + detail; RFC 7252, section 12.1. */
enum class Code : uint8_t {
  kEmpty = 0,
  kGet = 1,
  kPost = 2,
  kPut = 3,
  kDelete = 4,
  kCreated = 65,
  kDeleted = 66,
  kValid = 67,
  kChanged = 68,
  kContent = 69,
  kBadRequest = 128,
  kUnauthorized = 129,
  kBadOption = 130,
  kForbidden = 131,
  kNotFound = 132,
  kMethodNotAllowed = 133,
  kRequestEntityIncomplete = 136,
  kConflict = 137,
  kRequestEntityTooLarge = 141,
  kInternalServerError = 160,
  kNotImplemented = 161,
  kBadGateway = 162,
  kServiceUnavailable = 163,
  kGatewayTimeout = 164,
};

/** Option numbers: RFC 7252 (12.2), 7641 (2), 7959 (2.1), 9175 (2.2.1). */
enum class OptionNumber : uint16_t {
  kEtag = 4,
  kObserve = 6,
  kUriPath = 11,
  kContentFormat = 12,
  kMaxAge = 14,
  kUriQuery = 15,
  kBlock2 = 23,
  kBlock1 = 27,
  kSize2 = 28,
  kEcho = 252,
};

struct Option {
  uint16_t number = 0;
  std::string value;
};

/** A CoAP message over UDP. */
struct Message {
  Type type = Type::kConfirmable;
  Code code = Code::kEmpty;
  uint16_t message_id = 0;
  std::string token;
  std::vector<Option> options;
  std::string payload;

  bool IsRequest() const;
  bool IsResponse() const;

  /** @return the first option of that number, or null. */
  const Option* Find(OptionNumber number) const;
  std::optional<uint32_t> FindUint(OptionNumber number) const;
  /**
   * @return "/a/b?c&d" from the Uri-Path and Uri-Query options; bytes that a
   * URI cannot hold are percent-encoded (RFC 7252, section 6.5).
   */
  std::string Path() const;

  /** Whether an option that must be understood is not; RFC 7252, 5.4.1. */
  bool HasUnknownCriticalOption() const;

  Message& Add(OptionNumber number, std::string_view value);
  Message& AddUint(OptionNumber number, uint32_t value);
};

/** A Block2 value; RFC 7959, section 2.2. */
struct Block {
  uint32_t number = 0;
  bool more = false;
  uint8_t size_exponent = 6;  // Size is 2^(exponent + 4).

  size_t size() const { return size_t{1} << (size_exponent + 4); }
  uint32_t Pack() const;
  /** @return nothing for the reserved exponent 7. */
  static std::optional<Block> Unpack(uint32_t value);
};

/** Why bytes are not a CoAP message. */
enum class ParseError { kMalformed, kTooLarge };

/** Largest message a caller may send; a datagram within a usual MTU. */
constexpr size_t kMaxMessageBytes = 1400;

/** Reads a message (at most kMaxMessageBytes). */
tl::expected<Message, ParseError> Parse(std::string_view bytes);

/** @return the encoded message; options are sorted by number. */
std::string Encode(const Message& message);

/** The numbers that answer a message too long or damaged to be parsed. */
struct Header {
  Type type = Type::kConfirmable;
  Code code = Code::kEmpty;
  uint16_t message_id = 0;
  std::string token;
};

/** Reads the fixed header and the token alone. */
std::optional<Header> ParseHeader(std::string_view bytes);

}  // namespace sesamesaddle::coap

#endif  // SESAMESADDLE_COAP_MESSAGE_H_
