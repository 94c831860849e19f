#ifndef SESAMESADDLE_FLOW_MODEL_PACKET_H_
#define SESAMESADDLE_FLOW_MODEL_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** Purpose of a packet on one hop between the processes of the system. */
enum class HopKind : uint8_t {
  kNone = 0,     // From a client or a target.
  kDirect = 1,   // Balancer to agent: deliver it to the target.
  kOffer = 2,    // Balancer to agent: deliver it only if the target holds the
                 // flow; a SYN: see WriteSynHop.
  kRefused = 3,  // Agent to balancer: the SYN was refused.
  kNotHeld = 4,  // Agent to balancer: the target does not hold this flow.
  kYielded =
      5,  // Agent to balancer: the SYN timed out in the queue; place it again.
  kWideDirect = 6,  // kDirect with the wide check of the service (agent_hop.h).
  kWideOffer = 7,   // kOffer with the wide check.
};

/** Metadata in header fields that neither end of a flow reads. */
struct HopTag {
  HopKind kind = HopKind::kNone;
  /**
   * Low 16 bits of the hash of the service that the sender expects; AgentHop
   * has the other bits of the wide check.
   */
  uint16_t service_check = 0;
  /**
   * Priority of the flow's route, 0 to kLowestPriority; 0 is served first. A
   * kWideDirect or kWideOffer packet that is no SYN has another value here.
   */
  uint8_t priority = 0;

  static constexpr uint8_t kLowestPriority = 15;

  friend bool operator==(const HopTag& a, const HopTag& b) {
    return a.kind == b.kind && a.service_check == b.service_check &&
           a.priority == b.priority;
  }
};

/** Timing and kind of a SYN, sent from balancer to agent in the echo field. */
struct SynTimes {
  Duration waited{};
  /** Target latency of the route. */
  Duration target_latency{};
  /** Requests of the route must run at most once. */
  bool runs_once = false;

  uint32_t Pack() const;
  static SynTimes Unpack(uint32_t packed);
};

/** Returns whether sequence number `a` is later than `b`, modulo 2^32. */
inline bool IsAfter(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) > 0;
}

/** Maximum number of bytes that a client sends on one flow. */
constexpr uint32_t kMaxClientBytes = 1U << 24;

/**
 * Whether a client's packet with that sequence number may be of the flow that
 * the SYN opened, and not of another one from the same port.
 */
inline bool MayFollowSyn(uint32_t sequence, uint32_t syn_sequence) {
  return sequence - syn_sequence < kMaxClientBytes;
}

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
  /**
   * Acknowledgement number; a client's SYN holds its number of retransmissions
   * here.
   */
  uint32_t acknowledged = 0;
  /** Value that the target copies into a packet that it returns. */
  uint32_t echo = 0;
  uint16_t payload_bytes = 0;
};

/** Maximum size of a packet, header and payload. */
constexpr size_t kMaxPacketBytes = 1500;

/** Errors of PacketCodec::Decode. */
enum class PacketError { kTooShort, kLengthMismatch, kTooLong };

/** Reads and writes packets in the format of clients and targets. */
class PacketCodec {
 public:
  virtual ~PacketCodec() = default;

  virtual tl::expected<PacketHeader, PacketError> Decode(
      std::string_view packet) const = 0;
  /**
   * Sets the tag and the echo field and clears the `returned` flag; all other
   * bytes are unchanged.
   * @param packet  a packet that Decode accepted
   */
  virtual void SetHop(char* packet, const HopTag& tag, uint32_t echo) const = 0;
  /** Returns a reset of the flow, addressed to its client. */
  virtual std::string EncodeReset(const Flow& flow,
                                  uint32_t sequence) const = 0;
};

/** Returns the value of HopTag::service_check for a service. */
uint16_t ServiceCheck(std::string_view service);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_MODEL_PACKET_H_
