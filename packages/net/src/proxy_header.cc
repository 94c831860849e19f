#include "net/proxy_header.h"

namespace sesamesaddle {
namespace {

constexpr std::string_view kSignature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr char kVersion2Proxy = 0x21;
constexpr char kInetDatagram = 0x12;
constexpr size_t kFixedBytes = 16;
constexpr size_t kInetBytes = 12;
constexpr int kByteBits = 8;

uint32_t ReadBigEndian(std::string_view bytes, size_t offset, size_t width) {
  uint32_t value = 0;
  for (size_t i = 0; i < width; ++i) {
    value = (value << kByteBits) | static_cast<uint8_t>(bytes[offset + i]);
  }
  return value;
}

void AppendBigEndian(std::string& out, uint32_t value, size_t width) {
  for (size_t i = width; i > 0; --i) {
    out.push_back(static_cast<char>(value >> (kByteBits * (i - 1))));
  }
}

}  // namespace

tl::expected<ProxiedDatagram, ProxyHeaderError> ParseProxiedDatagram(
    std::string_view bytes) {
  if (bytes.size() < kFixedBytes) {
    return tl::unexpected(ProxyHeaderError::kTooShort);
  }
  if (bytes.substr(0, kSignature.size()) != kSignature) {
    return tl::unexpected(ProxyHeaderError::kInvalidSignature);
  }
  if (bytes[12] != kVersion2Proxy) {
    return tl::unexpected(ProxyHeaderError::kUnsupportedVersion);
  }
  if (bytes[13] != kInetDatagram) {
    return tl::unexpected(ProxyHeaderError::kUnsupportedFamily);
  }
  const size_t length = ReadBigEndian(bytes, 14, 2);
  if (length < kInetBytes || kFixedBytes + length > bytes.size()) {
    return tl::unexpected(ProxyHeaderError::kInvalidLength);
  }
  const auto port = [bytes](size_t offset) {
    return static_cast<uint16_t>(ReadBigEndian(bytes, offset, 2));
  };
  ProxiedDatagram datagram;
  datagram.source = {ReadBigEndian(bytes, 16, 4), port(24)};
  datagram.destination = {ReadBigEndian(bytes, 20, 4), port(26)};
  // What follows the addresses within `length` are TLVs, which are skipped.
  datagram.payload = bytes.substr(kFixedBytes + length);
  return datagram;
}

std::string EncodeProxiedDatagram(const ProxiedDatagram& datagram) {
  std::string out(kSignature);
  out.reserve(kFixedBytes + kInetBytes + datagram.payload.size());
  out.push_back(kVersion2Proxy);
  out.push_back(kInetDatagram);
  AppendBigEndian(out, kInetBytes, 2);
  AppendBigEndian(out, datagram.source.ip(), 4);
  AppendBigEndian(out, datagram.destination.ip(), 4);
  AppendBigEndian(out, datagram.source.port(), 2);
  AppendBigEndian(out, datagram.destination.port(), 2);
  out.append(datagram.payload);
  return out;
}

}  // namespace sesamesaddle
