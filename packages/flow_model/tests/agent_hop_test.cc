#include "flow_model/agent_hop.h"

#include <catch2/catch.hpp>
#include <string>
#include <unordered_set>

#include "test_packet_codec.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;

/** Two names whose hashes have the same low 16 bits. */
constexpr char kService[] = "orders";
constexpr char kSameTag[] = "archive-232";

const SynTimes kTimes{milliseconds(70), milliseconds(120), true};
const PackedReportPeriod kPeriod{1234, 37};

AddressedService Addressed(CheckWidth width,
                           std::string_view service = kService) {
  return {ServiceHash(service), width};
}

std::string ClientPacket(bool syn, const std::string& payload) {
  PacketHeader header;
  header.source = Endpoint(7, 40001);
  header.destination = Endpoint(9, 443);
  header.syn = syn;
  header.ack = !syn;
  header.sequence = 0x11223344;
  header.acknowledged = 0x55667788;
  return TestPacketCodec::Encode(header, payload);
}

std::string SynTo(const AddressedService& service,
                  const std::string& payload = "",
                  HopKind kind = HopKind::kDirect) {
  std::string packet = ClientPacket(true, payload);
  WriteSynHop(TestPacketCodec(), kind, service, 5, kTimes, packet);
  return packet;
}

std::string DataTo(const AddressedService& service,
                   HopKind kind = HopKind::kDirect) {
  std::string packet = ClientPacket(false, "request");
  WriteHop(TestPacketCodec(), kind, service, kPeriod, packet.data());
  return packet;
}

/** Returns the packet as it was before its hop. */
std::string Stripped(std::string packet, size_t size) {
  packet.resize(size);
  TestPacketCodec().SetHop(packet.data(), HopTag(), 0);
  return packet;
}

TEST_CASE("A SYN keeps its kind, priority and times in both forms") {
  for (const CheckWidth width : {CheckWidth::kNarrow, CheckWidth::kWide}) {
    for (const HopKind kind : {HopKind::kDirect, HopKind::kOffer}) {
      const std::string packet = SynTo(Addressed(width), "early data", kind);
      const auto hop = ReadAgentHop(TestPacketCodec(), packet);
      REQUIRE(hop.has_value());
      CHECK(hop->width == width);
      CHECK(hop->header.tag.kind == kind);
      CHECK(hop->header.tag.priority == 5);
      CHECK(hop->header.echo == kTimes.Pack());
      CHECK_FALSE(hop->report_step.has_value());
      CHECK(hop->Names(kService));
      CHECK(Stripped(packet, hop->size) == ClientPacket(true, "early data"));
    }
  }
}

TEST_CASE("Other packets keep their size, kind and period in both forms") {
  for (const HopKind kind : {HopKind::kDirect, HopKind::kOffer}) {
    const std::string narrow = DataTo(Addressed(CheckWidth::kNarrow), kind);
    const std::string wide = DataTo(Addressed(CheckWidth::kWide), kind);
    CHECK(narrow.size() == ClientPacket(false, "request").size());
    CHECK(wide.size() == narrow.size());
    const auto former = ReadAgentHop(TestPacketCodec(), narrow);
    REQUIRE(former.has_value());
    CHECK(former->header.tag.kind == kind);
    CHECK(former->header.echo == kPeriod.echo);
    CHECK_FALSE(former->report_step.has_value());
    const auto hop = ReadAgentHop(TestPacketCodec(), wide);
    REQUIRE(hop.has_value());
    CHECK(hop->header.tag.kind == kind);
    CHECK(hop->header.echo == 0);
    CHECK(hop->header.tag.priority == 0);
    CHECK(hop->report_step == kPeriod.step);
    CHECK(hop->Names(kService));
    CHECK(Stripped(wide, hop->size) == ClientPacket(false, "request"));
  }
}

TEST_CASE("Each step of the report period arrives with the whole check") {
  for (int step = 0; step <= kMaxReportStep; ++step) {
    std::string packet = ClientPacket(false, "");
    WriteHop(TestPacketCodec(), HopKind::kDirect, Addressed(CheckWidth::kWide),
             {0, static_cast<uint8_t>(step)}, packet.data());
    const auto hop = ReadAgentHop(TestPacketCodec(), packet);
    REQUIRE(hop.has_value());
    CHECK(hop->report_step == step);
    CHECK(hop->service_bits ==
          (ServiceHash(kService) & ((1ULL << kWideCheckBits) - 1)));
  }
}

TEST_CASE("The wide check tells services apart that the narrow one does not") {
  REQUIRE(ServiceCheck(kService) == ServiceCheck(kSameTag));
  REQUIRE(ServiceHash(kService) != ServiceHash(kSameTag));
  const TestPacketCodec codec;
  const AddressedService narrow = Addressed(CheckWidth::kNarrow);
  const AddressedService wide = Addressed(CheckWidth::kWide);
  CHECK(ReadAgentHop(codec, SynTo(narrow))->Names(kSameTag));
  CHECK_FALSE(ReadAgentHop(codec, SynTo(wide))->Names(kSameTag));
  CHECK_FALSE(ReadAgentHop(codec, DataTo(wide))->Names(kSameTag));
  CHECK_FALSE(
      ReadAgentHop(codec, DataTo(wide, HopKind::kOffer))->Names(kSameTag));
}

TEST_CASE("Each bit of the check that differs is another service") {
  const TestPacketCodec codec;
  for (int bit = 0; bit < 64; ++bit) {
    AddressedService other = Addressed(CheckWidth::kWide);
    other.hash ^= 1ULL << bit;
    INFO("bit " << bit);
    CHECK_FALSE(ReadAgentHop(codec, SynTo(other))->Names(kService));
    CHECK(ReadAgentHop(codec, DataTo(other))->Names(kService) ==
          (bit >= kWideCheckBits));
  }
}

// 10,000 services have 5e7 pairs: a check of 46 bits collides with a chance of
// 7e-7, so a million names, 5e11 pairs, are likely to have no collision.
TEST_CASE("A million similar names have different wide checks") {
  constexpr int kNames = 1000000;
  constexpr uint64_t kMask = (1ULL << kWideCheckBits) - 1;
  std::unordered_set<uint64_t> checks;
  checks.reserve(kNames);
  for (int i = 0; i < kNames; ++i) {
    checks.insert(ServiceHash("service-" + std::to_string(i)) & kMask);
  }
  CHECK(checks.size() == kNames);
}

TEST_CASE("Only a SYN of the wide form may be followed by its check") {
  const TestPacketCodec codec;
  const std::string wide = SynTo(Addressed(CheckWidth::kWide));
  const std::string narrow = SynTo(Addressed(CheckWidth::kNarrow));
  const std::string trailer = wide.substr(narrow.size());
  CHECK(trailer.size() == kSynTrailerBytes);
  const auto error = [&codec](const std::string& packet) {
    const auto hop = ReadAgentHop(codec, packet);
    return hop ? std::nullopt : std::make_optional(hop.error());
  };
  CHECK(error(narrow) == std::nullopt);
  CHECK(error(narrow + trailer) == PacketError::kLengthMismatch);
  CHECK(error(wide.substr(0, narrow.size())) == PacketError::kLengthMismatch);
  CHECK(error(wide.substr(0, wide.size() - 1)) == PacketError::kLengthMismatch);
  CHECK(error(wide + "x") == PacketError::kLengthMismatch);
  CHECK(error(wide + trailer) == PacketError::kLengthMismatch);
  const std::string data = DataTo(Addressed(CheckWidth::kWide));
  CHECK(error(data + trailer) == PacketError::kLengthMismatch);
  CHECK(error("") == PacketError::kTooShort);
  CHECK(error(trailer) == PacketError::kTooShort);
  // The codec of clients, targets and the version before.
  CHECK(codec.Decode(wide).error() == PacketError::kLengthMismatch);
}

}  // namespace
}  // namespace sesamesaddle
