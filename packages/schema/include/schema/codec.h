#ifndef SESAMESADDLE_SCHEMA_CODEC_H_
#define SESAMESADDLE_SCHEMA_CODEC_H_

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/protocol/TJSONProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sesamesaddle {

/** Reason why bytes cannot be decoded as a message. */
enum class CodecError { kMalformed, kTrailingBytes };

namespace detail {

/** Bounds the allocation that a malformed length field can cause. */
constexpr int kMaxMessageBytes = 1 << 20;

template <typename Protocol, typename T>
std::string Encode(const T& message) {
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  Protocol protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

/** Reads from `buffer`; JSON needs at least two bytes for an element. */
template <typename Protocol>
struct ProtocolReader {
  static Protocol Open(
      const std::shared_ptr<apache::thrift::transport::TMemoryBuffer>& buffer,
      size_t /*bytes*/) {
    return Protocol(buffer);
  }
};

/**
 * Refuses containers with more elements than the message has bytes: generated
 * code allocates all elements of a list before it reads the first.
 */
template <>
struct ProtocolReader<apache::thrift::protocol::TCompactProtocol> {
  static apache::thrift::protocol::TCompactProtocol Open(
      const std::shared_ptr<apache::thrift::transport::TMemoryBuffer>& buffer,
      size_t bytes) {
    constexpr int32_t kAnyStringSize = 0;
    const size_t max_elements = std::min<size_t>(bytes, kMaxMessageBytes);
    return {buffer, kAnyStringSize, static_cast<int32_t>(max_elements)};
  }
};

template <typename Protocol, typename T>
tl::expected<T, CodecError> Decode(std::string_view bytes) {
  auto limits = std::make_shared<apache::thrift::TConfiguration>(
      kMaxMessageBytes, kMaxMessageBytes);
  // OBSERVE mode reads the caller's bytes in place and never writes to them.
  auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
      data, static_cast<uint32_t>(bytes.size()),
      apache::thrift::transport::TMemoryBuffer::OBSERVE, limits);
  T message;
  try {
    auto protocol = ProtocolReader<Protocol>::Open(buffer, bytes.size());
    message.read(&protocol);
  } catch (const std::exception&) {
    return tl::unexpected(CodecError::kMalformed);
  }
  if (buffer->available_read() != 0) {
    return tl::unexpected(CodecError::kTrailingBytes);
  }
  return message;
}

}  // namespace detail

/** @return the message in Thrift's compact protocol. */
template <typename T>
std::string EncodeCompact(const T& message) {
  return detail::Encode<apache::thrift::protocol::TCompactProtocol>(message);
}

/** Decodes Thrift's compact protocol; trailing bytes are an error. */
template <typename T>
tl::expected<T, CodecError> DecodeCompact(std::string_view bytes) {
  return detail::Decode<apache::thrift::protocol::TCompactProtocol, T>(bytes);
}

/** @return the message in Thrift's JSON protocol, as read by DecodeJson. */
template <typename T>
std::string EncodeJson(const T& message) {
  return detail::Encode<apache::thrift::protocol::TJSONProtocol>(message);
}

/** Decodes Thrift's JSON protocol; trailing bytes are an error. */
template <typename T>
tl::expected<T, CodecError> DecodeJson(std::string_view bytes) {
  return detail::Decode<apache::thrift::protocol::TJSONProtocol, T>(bytes);
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SCHEMA_CODEC_H_
