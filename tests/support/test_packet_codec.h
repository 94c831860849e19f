#ifndef SESAMESADDLE_TESTS_SUPPORT_TEST_PACKET_CODEC_H_
#define SESAMESADDLE_TESTS_SUPPORT_TEST_PACKET_CODEC_H_

#include <cstring>
#include <string>

#include "steering/packet.h"

namespace sesamesaddle {

/** Packets whose header is a PacketHeader as it lies in memory. */
class TestPacketCodec : public PacketCodec {
 public:
  static std::string Encode(PacketHeader head,
                            const std::string& payload = "") {
    head.payload_bytes = static_cast<uint16_t>(payload.size());
    std::string packet(sizeof(head), '\0');
    std::memcpy(packet.data(), &head, sizeof(head));
    return packet + payload;
  }

  tl::expected<PacketHeader, PacketError> Decode(
      std::string_view packet) const override {
    PacketHeader head;
    if (packet.size() < sizeof(head)) {
      return tl::unexpected(PacketError::kTooShort);
    }
    std::memcpy(&head, packet.data(), sizeof(head));
    return head;
  }
  void SetHop(char* packet, const HopTag& tag, uint32_t echo) const override {
    PacketHeader head;
    std::memcpy(&head, packet, sizeof(head));
    head.tag = tag;
    head.echo = echo;
    head.returned = false;
    std::memcpy(packet, &head, sizeof(head));
  }
  std::string EncodeReset(const Flow& flow, uint32_t sequence) const override {
    PacketHeader head;
    head.source = flow.service;
    head.destination = flow.caller;
    head.reset = true;
    head.sequence = sequence;
    return Encode(head);
  }
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_TEST_PACKET_CODEC_H_
