#include "flow_model/agent_hop.h"

#include "core/hash.h"

namespace sesamesaddle {
namespace {

constexpr int kTagCheckBits = 16;
constexpr uint64_t kTagCheckMask = (1ULL << kTagCheckBits) - 1;
constexpr uint64_t kWideCheckMask = (1ULL << kWideCheckBits) - 1;
// The wide form of a packet that is no SYN: the echo field has the upper bits
// of the check and above them the lower bits of the report step, the priority
// has the upper bits of the step.
constexpr int kEchoCheckBits = kWideCheckBits - kTagCheckBits;
constexpr uint32_t kEchoCheckMask = (1U << kEchoCheckBits) - 1;
constexpr int kEchoStepBits = 32 - kEchoCheckBits;
constexpr uint8_t kEchoStepMask = (1U << kEchoStepBits) - 1;
static_assert((kMaxReportStep >> kEchoStepBits) == HopTag::kLowestPriority,
              "the step fills the priority and the rest of the echo field");

uint16_t TagCheck(uint64_t hash) {
  return static_cast<uint16_t>(hash & kTagCheckMask);
}

HopKind ToWide(HopKind kind) {
  return kind == HopKind::kOffer ? HopKind::kWideOffer : HopKind::kWideDirect;
}

bool IsWide(HopKind kind) {
  return kind == HopKind::kWideDirect || kind == HopKind::kWideOffer;
}

HopKind ToNarrow(HopKind kind) {
  if (!IsWide(kind)) return kind;
  return kind == HopKind::kWideOffer ? HopKind::kOffer : HopKind::kDirect;
}

void AppendTrailer(uint64_t hash, std::string& packet) {
  for (size_t i = 0; i < kSynTrailerBytes; ++i) {
    packet += static_cast<char>(hash >> (8 * (kSynTrailerBytes - 1 - i)));
  }
}

uint64_t ReadTrailer(std::string_view trailer) {
  uint64_t hash = 0;
  for (const char byte : trailer) {
    hash = (hash << 8) | static_cast<uint8_t>(byte);
  }
  return hash;
}

AgentHop MakeNarrowHop(const PacketHeader& header, size_t size) {
  AgentHop hop;
  hop.header = header;
  hop.size = size;
  hop.service_bits = header.tag.service_check;
  hop.service_mask = kTagCheckMask;
  return hop;
}

AgentHop MakeWideHop(const PacketHeader& header, size_t size) {
  AgentHop hop;
  hop.header = header;
  hop.header.tag.kind = ToNarrow(header.tag.kind);
  hop.header.tag.priority = 0;
  hop.header.echo = 0;
  hop.size = size;
  hop.width = CheckWidth::kWide;
  hop.service_bits =
      (static_cast<uint64_t>(header.echo & kEchoCheckMask) << kTagCheckBits) |
      header.tag.service_check;
  hop.service_mask = kWideCheckMask;
  hop.report_step = static_cast<uint8_t>(
      (header.tag.priority << kEchoStepBits) | (header.echo >> kEchoCheckBits));
  return hop;
}

AgentHop MakeWideSynHop(const PacketHeader& header, size_t size,
                        std::string_view trailer) {
  AgentHop hop;
  hop.header = header;
  hop.header.tag.kind = ToNarrow(header.tag.kind);
  hop.size = size;
  hop.width = CheckWidth::kWide;
  hop.service_bits = ReadTrailer(trailer);
  hop.service_mask = ~0ULL;
  return hop;
}

}  // namespace

uint64_t ServiceHash(std::string_view service) { return Hash64(service); }

uint16_t ServiceCheck(std::string_view service) {
  return TagCheck(ServiceHash(service));
}

void WriteSynHop(const PacketCodec& codec, HopKind kind,
                 const AddressedService& service, uint8_t priority,
                 const SynTimes& times, std::string& packet) {
  const bool wide = service.width == CheckWidth::kWide;
  codec.SetHop(packet.data(),
               {wide ? ToWide(kind) : kind, TagCheck(service.hash), priority},
               times.Pack());
  if (wide) AppendTrailer(service.hash, packet);
}

void WriteHop(const PacketCodec& codec, HopKind kind,
              const AddressedService& service, const PackedReportPeriod& period,
              char* packet) {
  if (service.width == CheckWidth::kNarrow) {
    codec.SetHop(packet, {kind, TagCheck(service.hash)}, period.echo);
    return;
  }
  const auto check =
      static_cast<uint32_t>(service.hash >> kTagCheckBits) & kEchoCheckMask;
  const auto step = static_cast<uint32_t>(period.step & kEchoStepMask);
  codec.SetHop(packet,
               {ToWide(kind), TagCheck(service.hash),
                static_cast<uint8_t>(period.step >> kEchoStepBits)},
               (step << kEchoCheckBits) | check);
}

bool AgentHop::Names(std::string_view service) const {
  return ((ServiceHash(service) ^ service_bits) & service_mask) == 0;
}

tl::expected<AgentHop, PacketError> ReadAgentHop(const PacketCodec& codec,
                                                 std::string_view packet) {
  const auto header = codec.Decode(packet);
  if (header) {
    if (!IsWide(header->tag.kind)) {
      return MakeNarrowHop(*header, packet.size());
    }
    if (header->syn) return tl::unexpected(PacketError::kLengthMismatch);
    return MakeWideHop(*header, packet.size());
  }
  if (packet.size() <= kSynTrailerBytes) return tl::unexpected(header.error());
  const size_t size = packet.size() - kSynTrailerBytes;
  const auto syn = codec.Decode(packet.substr(0, size));
  if (!syn || !syn->syn || !IsWide(syn->tag.kind)) {
    return tl::unexpected(header.error());
  }
  return MakeWideSynHop(*syn, size, packet.substr(size));
}

}  // namespace sesamesaddle
