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

/** Message codes, encoded as class * 32 + detail; RFC 7252, section 12.1. */
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

/** A CoAP message as carried in one UDP datagram. */
struct Message {
  Type type = Type::kConfirmable;
  Code code = Code::kEmpty;
  uint16_t message_id = 0;
  std::string token;
  std::vector<Option> options;
  std::string payload;

  bool IsRequest() const;
  bool IsResponse() const;

  /** @return the first option with that number, or null. */
  const Option* Find(OptionNumber number) const;
  /** @return nothing if the option is absent or longer than 4 bytes. */
  std::optional<uint32_t> FindUint(OptionNumber number) const;
  /**
   * @return the path and query, such as "/a/b?c&d", from the Uri-Path and
   * Uri-Query options. Characters not allowed in a URI are percent-encoded
   * (RFC 7252, section 6.5).
   */
  std::string Path() const;

  /** Whether a critical option is unrecognized; RFC 7252, section 5.4.1. */
  bool HasUnknownCriticalOption() const;

  Message& Add(OptionNumber number, std::string_view value);
  Message& AddUint(OptionNumber number, uint32_t value);
};

/** The value of a Block1 or Block2 option; RFC 7959, section 2.2. */
struct Block {
  uint32_t number = 0;
  bool more = false;
  uint8_t size_exponent = 6;  // The block size is 2^(exponent + 4) bytes.

  size_t size() const { return size_t{1} << (size_exponent + 4); }
  uint32_t Pack() const;
  /** @return nothing for the reserved exponent 7. */
  static std::optional<Block> Unpack(uint32_t value);
};

/** Reason why a datagram cannot be parsed as a CoAP message. */
enum class ParseError { kMalformed, kTooLarge };

/** Largest accepted message; its datagram fits a typical MTU. */
constexpr size_t kMaxMessageBytes = 1400;

/** Parses a message of at most kMaxMessageBytes. */
tl::expected<Message, ParseError> Parse(std::string_view bytes);

/** @return the encoded message, with its options sorted by number. */
std::string Encode(const Message& message);

/** What is needed to respond to a message that Parse rejects. */
struct Header {
  Type type = Type::kConfirmable;
  Code code = Code::kEmpty;
  uint16_t message_id = 0;
  std::string token;
};

/** Parses only the fixed header and the token. */
std::optional<Header> ParseHeader(std::string_view bytes);

}  // namespace sesamesaddle::coap

#endif  // SESAMESADDLE_COAP_MESSAGE_H_
