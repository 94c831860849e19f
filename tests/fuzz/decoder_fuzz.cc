// Runs every decoder of external input on mutated samples and checks that the
// accepted inputs decode to usable values.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "flow_model/agent_hop.h"
#include "platform/base64.h"
#include "platform/heartbeat.h"
#include "platform/json_configuration_decoder.h"
#include "platform/packet_codec.h"
#include "platform/settings_file.h"
#include "schema/codec.h"
#include "steering_types.h"

namespace sesamesaddle {
namespace {

/** A decoder of external input, and a sample that it accepts. */
struct Decoder {
  const char* name;
  std::string sample;
  /** Returns whether `input` was accepted; sets `error` if wrongly so. */
  std::function<bool(const std::string& input, std::string& error)> decode;
};

std::string Mutate(std::string text, RandomSource& random) {
  // Edge cases for decoders of numbers, strings, lists and addresses.
  static const std::vector<std::string> fragments = {"-1",
                                                     "1e309",
                                                     "99999999999999999999",
                                                     "null",
                                                     "true",
                                                     "[]",
                                                     "{}",
                                                     "\"\"",
                                                     "\\u0000",
                                                     "0.5",
                                                     "\xff\xfe",
                                                     std::string(300, '['),
                                                     std::string(3, '\0'),
                                                     "10.0.0.1:0",
                                                     "256.1.1.1:1",
                                                     ":1"};
  const uint64_t changes = 1 + random.Below(4);
  for (uint64_t i = 0; i < changes; ++i) {
    const size_t at = text.empty() ? 0 : random.Below(text.size());
    switch (random.Below(6)) {
      case 0:
        if (!text.empty()) text[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        text.erase(at, 1 + random.Below(8));
        break;
      case 2:
        text.insert(at, fragments[random.Below(fragments.size())]);
        break;
      case 3:
        text.resize(at);
        break;
      case 4:
        text.insert(at, text.substr(at, random.Below(40)));
        break;
      default:
        if (!text.empty()) {
          text[at] = static_cast<char>(text[at] ^ (1 << random.Below(8)));
        }
        break;
    }
  }
  return text;
}

std::string SamplePacket() {
  const Flow flow{Endpoint(0x64400007, 40001), Endpoint(0xc6120001, 443)};
  return PlatformPacketCodec().EncodeReset(flow, 7);
}

std::string SampleAgentHop() {
  std::string packet = SamplePacket();
  constexpr size_t kFlagsOffset = 2;
  packet[kFlagsOffset] = 1;  // A SYN.
  WriteSynHop(PlatformPacketCodec(), HopKind::kDirect,
              {ServiceHash("orders"), CheckWidth::kWide}, 5, SynTimes(),
              packet);
  return packet;
}

schema::SteeringMessage SampleMessage() {
  schema::AgentReport report;
  report.agent = Endpoint(0x0a010001, 8172).Pack();
  report.service_name = "orders";
  report.state = schema::TargetState::kReady;
  report.accepted.resize(3);
  report.not_held.resize(2);
  report.zone.zone = "montreal";
  report.__isset.zone = true;
  schema::FlowDigest digest;
  digest.query = -7;
  digest.hashes = {0, -1, 1 << 30};
  report.__set_digest(digest);
  schema::SteeringMessage message;
  message.__set_report(report);
  return message;
}

schema::SteeringMessage SampleNotice() {
  schema::ZoneState zone;
  zone.zone = "montreal";
  zone.evacuated = true;
  zone.revision = 1234;
  zone.era = 3;
  schema::SlowStartLimit limit;
  limit.duration_ms = 2500;
  limit.flows_per_second = 7.5;
  limit.configuration_version = 9;
  schema::AgentNotice notice;
  notice.__set_zone(zone);
  notice.__set_slow_start(limit);
  notice.configuration_version = 9;
  schema::SteeringMessage message;
  message.__set_notice(notice);
  return message;
}

schema::TargetRecord SampleRecord() {
  schema::TargetRecord record;
  record.id = "i-1";
  record.service_name = "orders";
  record.zone = "montreal";
  record.state = schema::TargetState::kReady;
  return record;
}

schema::FlowRecord SampleFlowRecord() {
  schema::FlowRecord record;
  record.target_id = "i-1";
  record.born_ms = 1786949968758;
  record.flows.resize(2);
  record.flows[1].flow.caller = 42;
  record.flows[1].acknowledged = -1;
  return record;
}

schema::ReplicaSnapshot SampleSnapshot() {
  schema::ReplicaSnapshot snapshot;
  snapshot.version.__set_directory_era(3);
  snapshot.configuration = "{}";
  snapshot.entries.resize(1);
  snapshot.entries[0].key = "online/target/a";
  return snapshot;
}

/** Returns the decoders of packets of flows. */
std::vector<Decoder> PacketDecoders() {
  std::vector<Decoder> decoders;
  decoders.push_back(
      {"packet", SamplePacket(), [](const auto& input, std::string& error) {
         const auto header = PlatformPacketCodec().Decode(input);
         if (!header) return false;
         if (header->payload_bytes + PlatformPacketCodec::kHeaderBytes !=
             input.size()) {
           error = "a packet whose length differs from its header";
         }
         std::string changed = input;
         PlatformPacketCodec().SetHop(changed.data(), HopTag(), 0);
         return true;
       }});
  decoders.push_back(
      {"agent-hop", SampleAgentHop(),
       [](const auto& input, std::string& error) {
         const auto hop = ReadAgentHop(PlatformPacketCodec(), input);
         if (!hop) return false;
         if (hop->header.payload_bytes + PlatformPacketCodec::kHeaderBytes !=
             hop->size) {
           error = "a packet with bytes that are not its own";
         }
         return true;
       }});
  return decoders;
}

/** Returns the decoders of input from the platform and from targets. */
std::vector<Decoder> PlatformDecoders() {
  std::vector<Decoder> decoders;
  decoders.push_back(
      {"heartbeat",
       R"({"service":"huvo","address":"10.128.0.9:8080","zone":"a",)"
       R"("version":"v1","capacity":2,"state":"ready","slowStartMs":0,)"
       R"("seq":4,"born":1700000000000})",
       [](const auto& input, std::string& error) {
         const auto heartbeat = ParseHeartbeat("i-1", input);
         if (!heartbeat) return false;
         const TargetAnnouncement& announcement = heartbeat->announcement;
         if (announcement.slots < 1) error = "a target without slots";
         if (announcement.service.empty()) error = "a target without a service";
         if (heartbeat->address == Endpoint()) {
           error = "a target without an address";
         }
         return true;
       }});
  decoders.push_back(
      {"configuration",
       R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1",)"
       R"("prefix":"/443/","type":"idempotent","timeoutMs":900,)"
       R"("targetLatencyMs":100,"priority":1,"service":"orders"}],)"
       R"("services":[],"limits":{"idleTimeoutMs":15000}})",
       [](const auto& input, std::string& error) {
         const auto routes = JsonConfigurationDecoder().Decode(input);
         if (!routes) return false;
         for (const auto& [address, route] : routes->routes) {
           if (route.services.empty()) error = "a route without services";
           if (address.port() == 0) error = "a route without a port";
         }
         return true;
       }});
  decoders.push_back(
      {"settings",
       "nodeName = \"b\"\nip = \"10.1.0.1\"\nzone = \"z\"\n"
       "portRange = [7720,7735]\nseeds = [\"10.1.0.10:8166\"]\n[zones]\n"
       "z = \"r\"\n[listen]\ndatagramAddr = \"10.1.0.1:1\"\n"
       "readiness = \"10.1.0.1:2\"\n[bounds]\ngraceS = 6\n[platform]\n"
       "address = \"10.200.1.7:8169\"\nreadsPerS = 2000\n",
       [](const auto& input, std::string& error) {
         const auto settings = ParseSettings(input);
         if (!settings) return false;
         if (settings->first_port == 0) error = "settings without peer ports";
         if (settings->stop_grace < Duration::zero()) {
           error = "a negative stop grace";
         }
         return true;
       }});
  return decoders;
}

/** Returns the decoders of control messages and of values in the store. */
std::vector<Decoder> BinaryDecoders() {
  std::vector<Decoder> decoders;
  decoders.push_back(
      {"control message", EncodeCompact(SampleMessage()),
       [](const auto& input, std::string& /*error*/) {
         return DecodeCompact<schema::SteeringMessage>(input).has_value();
       }});
  decoders.push_back(
      {"notice", EncodeCompact(SampleNotice()),
       [](const auto& input, std::string& /*error*/) {
         return DecodeCompact<schema::SteeringMessage>(input).has_value();
       }});
  decoders.push_back(
      {"store entry", EncodeCompact(SampleRecord()),
       [](const auto& input, std::string& /*error*/) {
         return DecodeCompact<schema::TargetRecord>(input).has_value();
       }});
  decoders.push_back(
      {"flow record", EncodeCompact(SampleFlowRecord()),
       [](const auto& input, std::string& /*error*/) {
         return DecodeCompact<schema::FlowRecord>(input).has_value();
       }});
  decoders.push_back(
      {"peer's replica", EncodeCompact(SampleSnapshot()),
       [](const auto& input, std::string& /*error*/) {
         return DecodeCompact<schema::ReplicaSnapshot>(input).has_value();
       }});
  decoders.push_back({"base64", EncodeBase64("some bytes of a value"),
                      [](const auto& input, std::string& error) {
                        const auto bytes = DecodeBase64(input);
                        if (!bytes) return false;
                        if (EncodeBase64(*bytes) != input) {
                          error = "a non-canonical encoding";
                        }
                        return true;
                      }});
  return decoders;
}

/** Runs `decoder` on its sample and on `inputs` mutations of it.
 * @return whether no input was wrongly accepted and the sample was accepted. */
bool RunDecoder(const Decoder& decoder, uint64_t seed, int64_t inputs) {
  SeededRandom random(seed);
  std::string error;
  if (!decoder.decode(decoder.sample, error) || !error.empty()) {
    printf("fuzz: %s rejects its own sample\n", decoder.name);
    return false;
  }
  int64_t accepted = 0;
  for (int64_t i = 0; i < inputs; ++i) {
    const std::string input = Mutate(decoder.sample, random);
    if (decoder.decode(input, error)) ++accepted;
    if (error.empty()) continue;
    printf("fuzz: %s accepted %s, seed %lu input %ld: %s\n", decoder.name,
           error.c_str(), seed, i, input.c_str());
    return false;
  }
  printf("fuzz: %s: %ld inputs, %ld accepted\n", decoder.name, inputs,
         accepted);
  return true;
}

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) {
  uint64_t seed = 1;
  int64_t inputs = 20000;
  CLI::App app("Runs every decoder of external input on mutated samples.");
  app.add_option("--seed", seed)->capture_default_str();
  app.add_option("--inputs", inputs, "For each decoder")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  bool passed = true;
  auto decoders = sesamesaddle::PacketDecoders();
  for (auto& decoder : sesamesaddle::PlatformDecoders()) {
    decoders.push_back(std::move(decoder));
  }
  for (auto& decoder : sesamesaddle::BinaryDecoders()) {
    decoders.push_back(std::move(decoder));
  }
  for (const auto& decoder : decoders) {
    passed = sesamesaddle::RunDecoder(decoder, seed, inputs) && passed;
  }
  return passed ? 0 : 1;
}
