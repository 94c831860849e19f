#ifndef SESAMESADDLE_STEERING_PACKET_H_
#define SESAMESADDLE_STEERING_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** What a process of the system asks of, or tells, the next one on the way. */
enum class HopKind : uint8_t {
  kNone = 0,     // As a client or a target sent it.
  kDirect = 1,   // Balancer to agent: your target holds this flow, or takes it.
  kOffer = 2,    // Balancer to agent: deliver it only if your target holds it.
  kRefused = 3,  // Agent to balancer: this SYN was not taken.
  kNotHeld = 4,  // Agent to balancer: the target does not hold this flow.
  kYielded = 5,  // Agent to balancer: this SYN has waited; look again.
};

/** Travels in the header bytes that neither end of a flow reads. */
struct HopTag {
  HopKind kind = HopKind::kNone;
  /** Low bits of the hash of the service that the sender means. */
  uint16_t service_check = 0;
  /** Of the flow's route, 0 to kLowestPriority; 0 is served first. */
  uint8_t priority = 0;

  static constexpr uint8_t kLowestPriority = 15;

  friend bool operator==(const HopTag& a, const HopTag& b) {
    return a.kind == b.kind && a.service_check == b.service_check &&
           a.priority == b.priority;
  }
};

/** What a balancer tells an agent of a SYN's time; travels as the echo. */
struct SynTimes {
  Duration waited{};
  /** Latency that the route aims at. */
  Duration target_latency{};

  uint32_t Pack() const;
  static SynTimes Unpack(uint32_t packed);
};

/** The header of one packet of a flow; the payload is opaque. */
struct PacketHeader {
  Endpoint source;
  Endpoint destination;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool reset = false;
  /** The target sent the packet back because it does not hold the flow. */
  bool returned = false;
  HopTag tag;
  uint32_t sequence = 0;
  /** What the sender has received; a client's SYN counts its copies here. */
  uint32_t acknowledged = 0;
  /** Echoed by the target with a packet that it sends back. */
  uint32_t echo = 0;
  uint16_t payload_bytes = 0;
};

/** Largest packet: header and payload. */
constexpr size_t kMaxPacketBytes = 1500;

/** Why bytes are not a packet. */
enum class PacketError { kTooShort, kLengthMismatch, kTooLong };

/** Reads and writes packets in the form that clients and targets use. */
class PacketCodec {
 public:
  virtual ~PacketCodec() = default;

  virtual tl::expected<PacketHeader, PacketError> Decode(
      std::string_view packet) const = 0;
  /**
   * Sets the fields that are the system's own and clears the mark of a returned
   * packet. All else stays as the sender wrote it.
   * @param packet  a packet that Decode accepted
   */
  virtual void SetHop(char* packet, const HopTag& tag, uint32_t echo) const = 0;
  /** @return a reset of the flow towards its client. */
  virtual std::string EncodeReset(const Flow& flow,
                                  uint32_t sequence) const = 0;
};

/** @return the check value that a HopTag carries for a service. */
uint16_t ServiceCheck(std::string_view service);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_PACKET_H_
