#ifndef SESAMESADDLE_TESTS_SUPPORT_TEST_PACKET_CODEC_H_
#define SESAMESADDLE_TESTS_SUPPORT_TEST_PACKET_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "flow_model/packet.h"

namespace sesamesaddle {

/** A codec of packets whose header has each field at an offset of its own. */
class TestPacketCodec : public PacketCodec {
 public:
  /** Offsets of the fields, which are big-endian, and the header's size. */
  static constexpr size_t kSource = 0;
  static constexpr size_t kDestination = 6;
  static constexpr size_t kFlags = 12;
  static constexpr size_t kKind = 13;
  static constexpr size_t kServiceCheck = 14;
  static constexpr size_t kPriority = 16;
  static constexpr size_t kSequence = 17;
  static constexpr size_t kAcknowledged = 21;
  static constexpr size_t kEcho = 25;
  static constexpr size_t kPayloadBytes = 29;
  static constexpr size_t kHeaderBytes = 31;

  static std::string Encode(const PacketHeader& header,
                            const std::string& payload = "") {
    std::string packet(kHeaderBytes, '\0');
    WriteEndpoint(packet.data() + kSource, header.source);
    WriteEndpoint(packet.data() + kDestination, header.destination);
    packet[kFlags] = static_cast<char>(FlagsOf(header));
    WriteTag(packet.data(), header.tag);
    Write(packet.data() + kSequence, header.sequence, 4);
    Write(packet.data() + kAcknowledged, header.acknowledged, 4);
    Write(packet.data() + kEcho, header.echo, 4);
    Write(packet.data() + kPayloadBytes, payload.size(), 2);
    return packet + payload;
  }

  tl::expected<PacketHeader, PacketError> Decode(
      std::string_view packet) const override {
    if (packet.size() < kHeaderBytes) {
      return tl::unexpected(PacketError::kTooShort);
    }
    PacketHeader header;
    header.source = ReadEndpoint(packet.data() + kSource);
    header.destination = ReadEndpoint(packet.data() + kDestination);
    SetFlags(Read(packet.data() + kFlags, 1), header);
    header.tag.kind = static_cast<HopKind>(Read(packet.data() + kKind, 1));
    header.tag.service_check = Read16(packet.data() + kServiceCheck);
    header.tag.priority =
        static_cast<uint8_t>(Read(packet.data() + kPriority, 1));
    header.sequence = Read(packet.data() + kSequence, 4);
    header.acknowledged = Read(packet.data() + kAcknowledged, 4);
    header.echo = Read(packet.data() + kEcho, 4);
    header.payload_bytes = Read16(packet.data() + kPayloadBytes);
    if (packet.size() != kHeaderBytes + header.payload_bytes) {
      return tl::unexpected(PacketError::kLengthMismatch);
    }
    return header;
  }
  void SetHop(char* packet, const HopTag& tag, uint32_t echo) const override {
    WriteTag(packet, tag);
    Write(packet + kEcho, echo, 4);
    const uint32_t flags = Read(packet + kFlags, 1) & ~kReturnedFlag;
    packet[kFlags] = static_cast<char>(flags);
  }
  std::string EncodeReset(const Flow& flow, uint32_t sequence) const override {
    PacketHeader header;
    header.source = flow.service;
    header.destination = flow.caller;
    header.reset = true;
    header.sequence = sequence;
    return Encode(header);
  }

 private:
  static constexpr uint32_t kSynFlag = 1;
  static constexpr uint32_t kAckFlag = 2;
  static constexpr uint32_t kFinFlag = 4;
  static constexpr uint32_t kResetFlag = 8;
  static constexpr uint32_t kReturnedFlag = 16;

  static void Write(char* to, uint64_t value, size_t bytes) {
    for (size_t i = 0; i < bytes; ++i) {
      to[i] = static_cast<char>(value >> (8 * (bytes - 1 - i)));
    }
  }
  static uint32_t Read(const char* from, size_t bytes) {
    uint32_t value = 0;
    for (size_t i = 0; i < bytes; ++i) {
      value = (value << 8) | static_cast<uint8_t>(from[i]);
    }
    return value;
  }
  static uint16_t Read16(const char* from) {
    return static_cast<uint16_t>(Read(from, 2));
  }
  static void WriteEndpoint(char* to, const Endpoint& endpoint) {
    Write(to, endpoint.ip(), 4);
    Write(to + 4, endpoint.port(), 2);
  }
  static Endpoint ReadEndpoint(const char* from) {
    return Endpoint(Read(from, 4), Read16(from + 4));
  }
  static void WriteTag(char* packet, const HopTag& tag) {
    packet[kKind] = static_cast<char>(tag.kind);
    Write(packet + kServiceCheck, tag.service_check, 2);
    packet[kPriority] = static_cast<char>(tag.priority);
  }
  static uint32_t FlagsOf(const PacketHeader& header) {
    return (header.syn ? kSynFlag : 0) | (header.ack ? kAckFlag : 0) |
           (header.fin ? kFinFlag : 0) | (header.reset ? kResetFlag : 0) |
           (header.returned ? kReturnedFlag : 0);
  }
  static void SetFlags(uint32_t flags, PacketHeader& header) {
    header.syn = (flags & kSynFlag) != 0;
    header.ack = (flags & kAckFlag) != 0;
    header.fin = (flags & kFinFlag) != 0;
    header.reset = (flags & kResetFlag) != 0;
    header.returned = (flags & kReturnedFlag) != 0;
  }
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_TEST_PACKET_CODEC_H_
