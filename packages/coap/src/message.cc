#include "coap/message.h"

#include <coap3/coap.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace sesamesaddle::coap {
namespace {

constexpr size_t kHeaderBytes = 4;
constexpr size_t kMaxTokenBytes = 8;
constexpr char kPayloadMarker = static_cast<char>(0xff);
constexpr uint8_t kVersion = 1;
constexpr uint8_t kFirstResponseCode = 64;

struct PduDeleter {
  void operator()(coap_pdu_t* pdu) const { coap_delete_pdu(pdu); }
};
using PduPointer = std::unique_ptr<coap_pdu_t, PduDeleter>;

uint32_t ReadUint(std::string_view bytes) {
  constexpr int kByteBits = 8;
  uint32_t value = 0;
  for (const char byte : bytes) {
    value = (value << kByteBits) | static_cast<uint8_t>(byte);
  }
  return value;
}

void AppendOption(std::string& out, uint16_t delta, std::string_view value) {
  const size_t size = coap_opt_encode_size(delta, value.size());
  const size_t start = out.size();
  out.resize(start + size);
  coap_opt_encode(reinterpret_cast<uint8_t*>(&out[start]), size, delta,
                  reinterpret_cast<const uint8_t*>(value.data()), value.size());
}

void ReadOptions(const coap_pdu_t* pdu, Message& message) {
  coap_opt_iterator_t iterator;
  coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL);
  while (const coap_opt_t* option = coap_option_next(&iterator)) {
    const auto* value = reinterpret_cast<const char*>(coap_opt_value(option));
    message.options.push_back(
        {iterator.number, std::string(value, coap_opt_length(option))});
  }
}

// Characters that RFC 3986 allows in both a path segment and a query argument.
bool IsUriCharacter(unsigned char c) {
  constexpr std::string_view kPunctuation = "-._~!$'()*+,;=:@";
  return std::isalnum(c) != 0 ||
         kPunctuation.find(static_cast<char>(c)) != std::string_view::npos;
}

void AppendPercentEncoded(std::string& text, std::string_view value) {
  constexpr char kHex[] = "0123456789ABCDEF";
  constexpr int kNibbleBits = 4;
  constexpr int kNibbleMask = 15;
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (IsUriCharacter(byte)) {
      text += character;
      continue;
    }
    text += '%';
    text += kHex[byte >> kNibbleBits];
    text += kHex[byte & kNibbleMask];
  }
}

std::string JoinOptions(const Message& message, OptionNumber number,
                        char prefix, char separator) {
  std::string text;
  for (const Option& option : message.options) {
    if (option.number != static_cast<uint16_t>(number)) continue;
    text += text.empty() ? prefix : separator;
    AppendPercentEncoded(text, option.value);
  }
  return text;
}

}  // namespace

bool Message::IsRequest() const {
  return code != Code::kEmpty &&
         static_cast<uint8_t>(code) < kFirstResponseCode / 2;
}

bool Message::IsResponse() const {
  return static_cast<uint8_t>(code) >= kFirstResponseCode;
}

const Option* Message::Find(OptionNumber number) const {
  const auto it =
      std::find_if(options.begin(), options.end(), [number](const Option& o) {
        return o.number == static_cast<uint16_t>(number);
      });
  return it == options.end() ? nullptr : &*it;
}

std::optional<uint32_t> Message::FindUint(OptionNumber number) const {
  const Option* option = Find(number);
  if (option == nullptr || option->value.size() > sizeof(uint32_t)) return {};
  return ReadUint(option->value);
}

std::string Message::Path() const {
  const std::string path = JoinOptions(*this, OptionNumber::kUriPath, '/', '/');
  const std::string query =
      JoinOptions(*this, OptionNumber::kUriQuery, '?', '&');
  return (path.empty() ? "/" : path) + query;
}

bool Message::HasUnknownCriticalOption() const {
  constexpr uint16_t kUriHost = 3;
  constexpr uint16_t kUriPort = 7;
  constexpr uint16_t kAccept = 17;
  constexpr uint16_t kCriticalBit = 1;
  return std::any_of(options.begin(), options.end(), [](const Option& option) {
    if ((option.number & kCriticalBit) == 0) return false;
    switch (option.number) {
      case kUriHost:
      case kUriPort:
      case kAccept:
      case static_cast<uint16_t>(OptionNumber::kUriPath):
      case static_cast<uint16_t>(OptionNumber::kUriQuery):
      case static_cast<uint16_t>(OptionNumber::kBlock2):
      case static_cast<uint16_t>(OptionNumber::kBlock1):
        return false;
      default:
        return true;
    }
  });
}

Message& Message::Add(OptionNumber number, std::string_view value) {
  options.push_back({static_cast<uint16_t>(number), std::string(value)});
  return *this;
}

Message& Message::AddUint(OptionNumber number, uint32_t value) {
  uint8_t bytes[sizeof(value)];
  const unsigned length = coap_encode_var_safe(bytes, sizeof(bytes), value);
  return Add(number, {reinterpret_cast<const char*>(bytes), length});
}

uint32_t Block::Pack() const {
  constexpr uint32_t kMoreBit = 8;
  return (number << 4) | (more ? kMoreBit : 0) | size_exponent;
}

std::optional<Block> Block::Unpack(uint32_t value) {
  constexpr uint32_t kMoreBit = 8;
  constexpr uint32_t kExponentMask = 7;
  Block block;
  block.number = value >> 4;
  block.more = (value & kMoreBit) != 0;
  block.size_exponent = static_cast<uint8_t>(value & kExponentMask);
  if (block.size_exponent == kExponentMask) return {};
  return block;
}

tl::expected<Message, ParseError> Parse(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return tl::unexpected(ParseError::kTooLarge);
  }
  const PduPointer pdu(
      coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, bytes.size()));
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  if (bytes.size() < kHeaderBytes ||
      coap_pdu_parse(COAP_PROTO_UDP, data, bytes.size(), pdu.get()) == 0) {
    return tl::unexpected(ParseError::kMalformed);
  }
  Message message;
  message.type = static_cast<Type>(coap_pdu_get_type(pdu.get()));
  message.code = static_cast<Code>(coap_pdu_get_code(pdu.get()));
  message.message_id = static_cast<uint16_t>(coap_pdu_get_mid(pdu.get()));
  const coap_bin_const_t token = coap_pdu_get_token(pdu.get());
  message.token.assign(reinterpret_cast<const char*>(token.s), token.length);
  ReadOptions(pdu.get(), message);
  size_t length = 0;
  const uint8_t* payload = nullptr;
  if (coap_get_data(pdu.get(), &length, &payload) != 0) {
    message.payload.assign(reinterpret_cast<const char*>(payload), length);
  }
  return message;
}

std::string Encode(const Message& message) {
  constexpr int kByteBits = 8;
  std::string out;
  out.push_back(static_cast<char>((kVersion << 6) |
                                  (static_cast<uint8_t>(message.type) << 4) |
                                  message.token.size()));
  out.push_back(static_cast<char>(message.code));
  out.push_back(static_cast<char>(message.message_id >> kByteBits));
  out.push_back(static_cast<char>(message.message_id));
  out += message.token;
  std::vector<Option> options = message.options;
  std::stable_sort(
      options.begin(), options.end(),
      [](const Option& a, const Option& b) { return a.number < b.number; });
  uint16_t previous = 0;
  for (const Option& option : options) {
    AppendOption(out, static_cast<uint16_t>(option.number - previous),
                 option.value);
    previous = option.number;
  }
  if (!message.payload.empty()) {
    out.push_back(kPayloadMarker);
    out += message.payload;
  }
  return out;
}

std::optional<Header> ParseHeader(std::string_view bytes) {
  constexpr int kByteBits = 8;
  constexpr uint8_t kTokenLengthMask = 0x0f;
  constexpr uint8_t kTypeMask = 3;
  if (bytes.size() < kHeaderBytes) return {};
  const auto at = [bytes](size_t i) { return static_cast<uint8_t>(bytes[i]); };
  const size_t token_length = at(0) & kTokenLengthMask;
  if (at(0) >> 6 != kVersion || token_length > kMaxTokenBytes) return {};
  if (bytes.size() < kHeaderBytes + token_length) return {};
  Header header;
  header.type = static_cast<Type>((at(0) >> 4) & kTypeMask);
  header.code = static_cast<Code>(at(1));
  header.message_id = static_cast<uint16_t>((at(2) << kByteBits) | at(3));
  header.token = bytes.substr(kHeaderBytes, token_length);
  return header;
}

}  // namespace sesamesaddle::coap
