#ifndef SESAMESADDLE_SCHEMA_CODEC_H_
#define SESAMESADDLE_SCHEMA_CODEC_H_

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/protocol/TJSONProtocol.h>
#include <thrift/transport/TBufferTransports.h>

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
    Protocol protocol(buffer);
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
