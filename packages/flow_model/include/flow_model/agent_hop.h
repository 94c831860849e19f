#ifndef SESAMESADDLE_FLOW_MODEL_AGENT_HOP_H_
#define SESAMESADDLE_FLOW_MODEL_AGENT_HOP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "flow_model/packet.h"

namespace sesamesaddle {

/**
 * Number of bits of ServiceHash by which a packet names its service. Two
 * services with the same bits are taken for one another.
 */
enum class CheckWidth : uint8_t {
  /** 16 bits, which every version reads. */
  kNarrow,
  /** 64 bits with a SYN, kWideCheckBits with other packets. */
  kWide,
};

/** The service that packets to an agent name, and how. */
struct AddressedService {
  uint64_t hash = 0;
  CheckWidth width = CheckWidth::kNarrow;
};

/** Number of bits of the wide check in packets that are no SYN. */
constexpr int kWideCheckBits = 46;
/** Size of the check that follows a SYN in the wide form. */
constexpr size_t kSynTrailerBytes = 8;
/** Highest step of a report period in the wide form. */
constexpr uint8_t kMaxReportStep = 63;

/** Returns the hash of a service's name, which every check is a part of. */
uint64_t ServiceHash(std::string_view service);

/** The report period that a balancer asks of an agent, in both forms. */
struct PackedReportPeriod {
  /** Value of the echo field in the narrow form. */
  uint32_t echo = 0;
  /** Step in the wide form, at most kMaxReportStep. */
  uint8_t step = 0;
};

/**
 * Prepares a client's SYN for an agent. The wide form leaves the priority and
 * the times where the narrow one has them, and appends kSynTrailerBytes.
 * @param kind  kDirect; kOffer if the service limits new flows to targets in
 *        slow start: an agent that does not know the limit delivers the SYN to
 *        such a target only once it does. Earlier builds take it for kDirect.
 */
void WriteSynHop(const PacketCodec& codec, HopKind kind,
                 const AddressedService& service, uint8_t priority,
                 const SynTimes& times, std::string& packet);

/**
 * Prepares a packet that is no SYN for an agent. The wide form has the check in
 * the tag and the echo field, so that the packet keeps its size.
 * @param kind    kDirect or kOffer
 * @param packet  a packet that the codec accepted; modified in place
 */
void WriteHop(const PacketCodec& codec, HopKind kind,
              const AddressedService& service, const PackedReportPeriod& period,
              char* packet);

/** A packet from a balancer, as its agent reads it. */
struct AgentHop {
  /**
   * The header. The kind is that of the narrow form; the echo field and the
   * priority are 0 where the wide form has used them for the check.
   */
  PacketHeader header;
  /** Size of the client's packet, without what was appended to it. */
  size_t size = 0;
  CheckWidth width = CheckWidth::kNarrow;
  /** The bits of the service's hash that the packet contains. */
  uint64_t service_bits = 0;
  /** Mask of these bits. */
  uint64_t service_mask = 0;
  /** Step of the report period; absent in a SYN and in the narrow form. */
  std::optional<uint8_t> report_step;

  /** Whether the packet is for that service, by the bits that it contains. */
  bool Names(std::string_view service) const;
};

/**
 * Reads a packet from a balancer, in either form.
 * @return the packet, or kLengthMismatch if a SYN of the wide form has no check
 *         or any other packet is followed by bytes
 */
tl::expected<AgentHop, PacketError> ReadAgentHop(const PacketCodec& codec,
                                                 std::string_view packet);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_MODEL_AGENT_HOP_H_
