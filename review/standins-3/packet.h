#ifndef REVIEW_STANDINS_3_PACKET_H_
#define REVIEW_STANDINS_3_PACKET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace review {

constexpr uint8_t kSyn = 1;
constexpr uint8_t kBounced = 2;
constexpr uint8_t kFin = 4;
constexpr uint8_t kAck = 16;
constexpr uint8_t kReset = 128;

/** A packet as PROTOCOL.md describes it. */
struct Packet {
  uint8_t flags = 0;
  uint16_t source_port = 0;
  uint16_t destination_port = 0;
  uint32_t source = 0;
  uint32_t destination = 0;
  uint32_t sum = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  std::string data;
};

/** A client's address and port, and those of the route. */
using FlowKey = std::tuple<uint32_t, uint16_t, uint32_t, uint16_t>;

/** Encodes a packet with its keyed sum; pad and echo are 0. */
std::string Encode(const Packet& packet);
std::optional<Packet> Decode(std::string_view bytes);
/** Whether the sum is the one that the sender wrote. */
bool SumIsValid(const Packet& packet);
/** Returns the bytes with BOUNCED set and pad 0; echo stays as it is. */
std::string Bounce(std::string_view bytes);
/** Parses a dotted IPv4 address into host byte order. */
uint32_t ParseIp(const std::string& text);
std::string IpText(uint32_t ip);

}  // namespace review

#endif  // REVIEW_STANDINS_3_PACKET_H_
