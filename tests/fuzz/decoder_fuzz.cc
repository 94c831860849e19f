// Feeds mutated inputs to everything that reads bytes from outside, and checks
// that what is accepted names something usable.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "platform/base64.h"
#include "platform/heartbeat.h"
#include "platform/json_configuration_decoder.h"
#include "platform/packet_codec.h"
#include "platform/settings_file.h"
#include "schema/codec.h"
#include "steering_types.h"

namespace sesamesaddle {
namespace {

/** One reader of outside bytes, and an input that it accepts. */
struct Decoder {
  const char* name;
  std::string sample;
  /** @return whether the input was accepted; sets `fault` if wrongly so. */
  std::function<bool(const std::string& input, std::string& fault)> read;
};

std::string Mutate(std::string text, RandomSource& random) {
  // Pieces that readers of numbers, texts and lists stumble over.
  static const std::vector<std::string> pieces = {"-1",
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
        text.insert(at, pieces[random.Below(pieces.size())]);
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

schema::SteeringMessage SampleMessage() {
  schema::AgentReport report;
  report.agent = Endpoint(0x0a010001, 8172).Pack();
  report.service_name = "orders";
  report.state = schema::TargetState::kReady;
  report.accepted.resize(3);
  report.not_held.resize(2);
  schema::SteeringMessage message;
  message.__set_report(report);
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

/** Those of what the platform, its targets and clients write. */
std::vector<Decoder> PlatformDecoders() {
  std::vector<Decoder> decoders;
  decoders.push_back(
      {"packet", SamplePacket(), [](const auto& input, std::string& fault) {
         const auto head = PlatformPacketCodec().Decode(input);
         if (!head) return false;
         if (head->payload_bytes + PlatformPacketCodec::kHeaderBytes !=
             input.size()) {
           fault = "the length is not that of the packet";
         }
         std::string changed = input;
         PlatformPacketCodec().SetHop(changed.data(), HopTag(), 0);
         return true;
       }});
  decoders.push_back(
      {"heartbeat",
       R"({"service":"huvo","address":"10.128.0.9:8080","zone":"a",)"
       R"("version":"v1","capacity":2,"state":"ready","slowStartMs":0,)"
       R"("seq":4,"born":1700000000000})",
       [](const auto& input, std::string& fault) {
         const auto heartbeat = ParseHeartbeat("i-1", input);
         if (!heartbeat) return false;
         const TargetAnnouncement& said = heartbeat->announcement;
         if (said.slots < 1) fault = "a target without slots";
         if (said.service.empty()) fault = "a target without a service";
         if (heartbeat->address == Endpoint()) fault = "no address";
         return true;
       }});
  decoders.push_back(
      {"configuration",
       R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1",)"
       R"("prefix":"/443/","type":"idempotent","timeoutMs":900,)"
       R"("targetLatencyMs":100,"priority":1,"service":"orders"}],)"
       R"("services":[],"limits":{"idleTimeoutMs":15000}})",
       [](const auto& input, std::string& fault) {
         const auto routes = JsonConfigurationDecoder().Decode(input);
         if (!routes) return false;
         for (const auto& [address, route] : routes->routes) {
           if (route.services.empty()) fault = "a route to nowhere";
           if (address.port() == 0) fault = "a route without a port";
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
       [](const auto& input, std::string& fault) {
         const auto settings = ParseSettings(input);
         if (!settings) return false;
         if (settings->first_port == 0) fault = "no ports for peers";
         if (settings->stop_grace < Duration::zero()) fault = "a negative time";
         return true;
       }});
  return decoders;
}

/** Those of the system's own messages and of values in the store. */
std::vector<Decoder> BinaryDecoders() {
  std::vector<Decoder> decoders;
  decoders.push_back(
      {"control message", EncodeCompact(SampleMessage()),
       [](const auto& input, std::string& /*fault*/) {
         return DecodeCompact<schema::SteeringMessage>(input).has_value();
       }});
  decoders.push_back(
      {"store entry", EncodeCompact(SampleRecord()),
       [](const auto& input, std::string& /*fault*/) {
         return DecodeCompact<schema::TargetRecord>(input).has_value();
       }});
  decoders.push_back({"base64", EncodeBase64("some bytes of a value"),
                      [](const auto& input, std::string& fault) {
                        const auto bytes = DecodeBase64(input);
                        if (!bytes) return false;
                        if (EncodeBase64(*bytes) != input) {
                          fault = "another text for the same bytes";
                        }
                        return true;
                      }});
  return decoders;
}

/** @return whether nothing was accepted that should not be. */
bool Feed(const Decoder& decoder, uint64_t seed, int64_t inputs) {
  SeededRandom random(seed);
  std::string fault;
  if (!decoder.read(decoder.sample, fault) || !fault.empty()) {
    printf("fuzz: %s refuses its own sample\n", decoder.name);
    return false;
  }
  int64_t accepted = 0;
  for (int64_t i = 0; i < inputs; ++i) {
    const std::string input = Mutate(decoder.sample, random);
    if (decoder.read(input, fault)) ++accepted;
    if (fault.empty()) continue;
    printf("fuzz: %s accepted %s, seed %lu input %ld: %s\n", decoder.name,
           fault.c_str(), seed, i, input.c_str());
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
  CLI::App app("Mutated inputs for everything that reads bytes from outside.");
  app.add_option("--seed", seed)->capture_default_str();
  app.add_option("--inputs", inputs, "For each decoder")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  bool held = true;
  auto decoders = sesamesaddle::PlatformDecoders();
  for (auto& decoder : sesamesaddle::BinaryDecoders()) {
    decoders.push_back(std::move(decoder));
  }
  for (const auto& decoder : decoders) {
    held = sesamesaddle::Feed(decoder, seed, inputs) && held;
  }
  return held ? 0 : 1;
}
