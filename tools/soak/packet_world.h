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

/** Simulates routers, targets and clients in one process, on loopback. */
class PacketWorld {
 public:
  PacketWorld(EventLoop& loop, SoakOptions options);

  /** Writes the configuration and runs the soak. Returns the results. */
  SoakVerdict Run();

  /** Sends through the balancer that the routers choose for the flow. */
  void RouteToBalancer(const Flow& flow, std::string_view packet);
  /** Sends to the given balancer, bypassing the routers' choice. */
  void Send(int balancer, std::string_view packet);
  /** Returns whether the routers have the balancer in rotation. */
  bool InRotation(int balancer) const;
  /** Records that a target runs a request. */
  void RecordRun(const std::string& service, const std::string& id);
  /** Records that a client got a reset of a flow that it has open. */
  void RecordReset(const Flow& flow);
  /** Records that a packet of the flow reached a target that lacks it. */
  void RecordStray(const Flow& flow);
  /** A packet of the flow reached its target, or its client was idle. */
  void ForgetStrays(const Flow& flow) { strays_.erase(flow); }
  /** Returns the route that a client of `first` opens its next flow on. */
  Endpoint RouteOfNewFlow(const Endpoint& first) const;
  bool calm() const;
  /** Returns the time since the calm period began; negative before it. */
  Duration SinceCalm() const { return loop.Now() - calm_from_; }
  /** Returns whether to drop the current packet, at random. */
  bool ShouldDrop();

  static std::string MakePacket(const PacketHeader& head,
                                const std::string& payload);
  /** Returns a checksum of the bytes that the system must not change. */
  static uint32_t Checksum(std::string_view packet);

  /** Offset of the sender's checksum in a packet. */
  static constexpr size_t kChecksumOffset = 18;

  EventLoop& loop;
  SoakOptions options;
  SeededRandom random;
  PlatformPacketCodec codec;
  SoakVerdict verdict;

 private:
  /** Packets of a request that reached targets other than the flow's. */
  struct Strays {
    TimePoint first{};
    int packets = 0;
    bool counted = false;
  };

  /**
   * Returns the balancer that the routers choose: by the largest weight, which
   * moves few flows when the rotation changes, or, with open_flows, by the
   * remainder of a hash, which moves most.
   */
  int ChooseBalancer(const Flow& flow,
                     const std::vector<int>& candidates) const;
  /** Returns whether a target that has not ended holds the open flow. */
  bool HeldByLivingTarget(const Flow& flow) const;
  void ProbeReadiness(int balancer);
  /** Crashes or drains a random target; does nothing near the calm period. */
  void InjectTargetFault();

  std::vector<std::unique_ptr<SoakTarget>> targets_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
  ConfigurationChanges configuration_;
  std::vector<std::unique_ptr<HttpClient>> readiness_;
  std::map<int, std::unique_ptr<HttpCall>> probes_;
  std::vector<int> failed_probes_;
  std::vector<EventLoop::Timer> timers_;
  std::unique_ptr<PacketSocket> router_;
  std::map<std::string, int> runs_;
  std::map<Flow, Strays> strays_;
  TimePoint calm_from_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_SOAK_PACKET_WORLD_H_
