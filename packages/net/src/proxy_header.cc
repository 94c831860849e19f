#include "net/proxy_header.h"

namespace sesamesaddle {
namespace {

constexpr std::string_view kSignature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr char kVersion2ProxyCommand = 0x21;
constexpr char kInetDgramFamily = 0x12;
constexpr size_t kFixedHeaderBytes = 16;
constexpr size_t kInetAddressBytes = 12;
constexpr int kBitsPerByte = 8;

uint32_t ReadBigEndian(std::string_view bytes, size_t offset, size_t width) {
  uint32_t value = 0;
  for (size_t i = 0; i < width; ++i) {
    value = (value << kBitsPerByte) | static_cast<uint8_t>(bytes[offset + i]);
  }
  return value;
}

void AppendBigEndian(std::string& output, uint32_t value, size_t width) {
  for (size_t i = width; i > 0; --i) {
    output.push_back(static_cast<char>(value >> (kBitsPerByte * (i - 1))));
  }
}

}  // namespace

tl::expected<ProxiedDatagram, ProxyHeaderError> ParseProxiedDatagram(
    std::string_view bytes) {
  if (bytes.size() < kFixedHeaderBytes) {
    return tl::unexpected(ProxyHeaderError::kTooShort);
  }
  if (bytes.substr(0, kSignature.size()) != kSignature) {
    return tl::unexpected(ProxyHeaderError::kInvalidSignature);
  }
  if (bytes[12] != kVersion2ProxyCommand) {
    return tl::unexpected(ProxyHeaderError::kUnsupportedVersion);
  }
  if (bytes[13] != kInetDgramFamily) {
    return tl::unexpected(ProxyHeaderError::kUnsupportedFamily);
  }
  const size_t length = ReadBigEndian(bytes, 14, 2);
  if (length < kInetAddressBytes || kFixedHeaderBytes + length > bytes.size()) {
    return tl::unexpected(ProxyHeaderError::kInvalidLength);
  }
  const auto port = [bytes](size_t offset) {
    return static_cast<uint16_t>(ReadBigEndian(bytes, offset, 2));
  };
  ProxiedDatagram datagram;
  datagram.source = {ReadBigEndian(bytes, 16, 4), port(24)};
  datagram.destination = {ReadBigEndian(bytes, 20, 4), port(26)};
  // Skips the TLVs that may follow the addresses within `length`.
  datagram.payload = bytes.substr(kFixedHeaderBytes + length);
  return datagram;
}

std::string EncodeProxiedDatagram(const ProxiedDatagram& datagram) {
  std::string output(kSignature);
  output.reserve(kFixedHeaderBytes + kInetAddressBytes +
                 datagram.payload.size());
  output.push_back(kVersion2ProxyCommand);
  output.push_back(kInetDgramFamily);
  AppendBigEndian(output, kInetAddressBytes, 2);
  AppendBigEndian(output, datagram.source.ip(), 4);
  AppendBigEndian(output, datagram.destination.ip(), 4);
  AppendBigEndian(output, datagram.source.port(), 2);
  AppendBigEndian(output, datagram.destination.port(), 2);
  output.append(datagram.payload);
  return output;
}

}  // namespace sesamesaddle
