#ifndef SESAMESADDLE_TOOLS_SOAK_PACKET_WORLD_H_
#define SESAMESADDLE_TOOLS_SOAK_PACKET_WORLD_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "configuration_changes.h"
#include "core/random.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/packet_socket.h"
#include "platform/packet_codec.h"
#include "soak_client.h"
#include "soak_options.h"
#include "soak_target.h"

namespace sesamesaddle {

/** Routers, targets and clients in one process, on loopback. */
class PacketWorld {
 public:
  PacketWorld(EventLoop& loop, SoakOptions options);

  /** Writes the configuration and plays. @return what was seen */
  SoakVerdict Run();

  /** Through the balancer that the routers choose for the flow. */
  void ToBalancer(const Flow& flow, std::string_view packet);
  /** To that balancer, whatever the routers would choose. */
  void Send(int balancer, std::string_view packet);
  /** Whether the routers have the balancer in rotation. */
  bool InRotation(int balancer) const;
  /** A target runs a request. */
  void OnRun(const std::string& service, const std::string& id);
  bool calm() const;
  /** Time from the start of the calm time; negative before it. */
  Duration SinceCalm() const { return loop.Now() - calm_from_; }
  /** Whether the packet at hand is to be lost. */
  bool Lose();

  static std::string MakePacket(const PacketHeader& head,
                                const std::string& payload);
  /** @return a check value over what the system must not change. */
  static uint32_t Checksum(std::string_view packet);

  /** Where a packet carries the sum of its sender. */
  static constexpr size_t kChecksumOffset = 18;

  EventLoop& loop;
  SoakOptions options;
  SeededRandom random;
  PlatformPacketCodec codec;
  SoakVerdict verdict;

 private:
  void ProbeReadiness(int balancer);
  /** Has a target crash or drain, now and then until the calm time. */
  void DisturbTargets();

  std::vector<std::unique_ptr<SoakTarget>> targets_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
  ConfigurationChanges configuration_;
  std::vector<std::unique_ptr<HttpClient>> readiness_;
  std::map<int, std::unique_ptr<HttpCall>> probes_;
  std::vector<int> misses_;
  std::vector<EventLoop::Timer> timers_;
  std::unique_ptr<PacketSocket> router_;
  std::map<std::string, int> runs_;
  TimePoint calm_from_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_SOAK_PACKET_WORLD_H_
