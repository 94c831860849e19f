#include "packet.h"

#include <arpa/inet.h>

namespace review {
namespace {

constexpr size_t kHeaderBytes = 34;
constexpr size_t kFlagsOffset = 2;
constexpr size_t kPadOffset = 3;
constexpr uint64_t kSumKey = 0x9e3779b97f4a7c15;

void Put16(std::string& bytes, size_t at, uint16_t value) {
  bytes[at] = static_cast<char>(value >> 8);
  bytes[at + 1] = static_cast<char>(value);
}

void Put32(std::string& bytes, size_t at, uint32_t value) {
  Put16(bytes, at, static_cast<uint16_t>(value >> 16));
  Put16(bytes, at + 2, static_cast<uint16_t>(value));
}

uint16_t Get16(std::string_view bytes, size_t at) {
  return static_cast<uint16_t>((static_cast<uint8_t>(bytes[at]) << 8) |
                               static_cast<uint8_t>(bytes[at + 1]));
}

uint32_t Get32(std::string_view bytes, size_t at) {
  return (static_cast<uint32_t>(Get16(bytes, at)) << 16) | Get16(bytes, at + 2);
}

uint32_t SumOf(const Packet& packet) {
  uint64_t sum = kSumKey;
  const auto mix = [&sum](uint64_t value) {
    sum = (sum ^ value) * 0x100000001b3;
  };
  mix(packet.flags & ~kBounced);
  mix(packet.source_port);
  mix(packet.destination_port);
  mix(packet.source);
  mix(packet.destination);
  mix(packet.sequence);
  mix(packet.acknowledged);
  mix(packet.data.size());
  for (const char c : packet.data) mix(static_cast<uint8_t>(c));
  const auto folded = static_cast<uint32_t>(sum ^ (sum >> 32));
  return folded == 0 ? 1 : folded;
}

}  // namespace

std::string Encode(const Packet& packet) {
  std::string bytes(kHeaderBytes, '\0');
  Put16(bytes, 0, static_cast<uint16_t>(packet.data.size()));
  bytes[kFlagsOffset] = static_cast<char>(packet.flags);
  Put16(bytes, 6, packet.source_port);
  Put16(bytes, 8, packet.destination_port);
  Put32(bytes, 10, packet.source);
  Put32(bytes, 14, packet.destination);
  Put32(bytes, 18, SumOf(packet));
  Put32(bytes, 22, packet.sequence);
  Put32(bytes, 26, packet.acknowledged);
  return bytes + packet.data;
}

std::optional<Packet> Decode(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  if (bytes.size() != kHeaderBytes + Get16(bytes, 0)) return std::nullopt;
  Packet packet;
  packet.flags = static_cast<uint8_t>(bytes[kFlagsOffset]);
  packet.source_port = Get16(bytes, 6);
  packet.destination_port = Get16(bytes, 8);
  packet.source = Get32(bytes, 10);
  packet.destination = Get32(bytes, 14);
  packet.sum = Get32(bytes, 18);
  packet.sequence = Get32(bytes, 22);
  packet.acknowledged = Get32(bytes, 26);
  packet.data = std::string(bytes.substr(kHeaderBytes));
  return packet;
}

bool SumIsValid(const Packet& packet) { return packet.sum == SumOf(packet); }

std::string Bounce(std::string_view bytes) {
  std::string returned(bytes);
  returned[kFlagsOffset] = static_cast<char>(
      static_cast<uint8_t>(returned[kFlagsOffset]) | kBounced);
  for (size_t i = 0; i < 3; ++i) returned[kPadOffset + i] = '\0';
  return returned;
}

uint32_t ParseIp(const std::string& text) {
  in_addr address{};
  inet_pton(AF_INET, text.c_str(), &address);
  return ntohl(address.s_addr);
}

std::string IpText(uint32_t ip) {
  in_addr address{htonl(ip)};
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

}  // namespace review
