#ifndef SESAMESADDLE_TOOLS_SOAK_CONFIGURATION_CHANGES_H_
#define SESAMESADDLE_TOOLS_SOAK_CONFIGURATION_CHANGES_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/packet_socket.h"

namespace sesamesaddle {

class PacketWorld;

/**
 * Plays the operators: writes one configuration version after another. Each
 * version has a route that no other version has, so a SYN to that route shows
 * whether a balancer has the version in force.
 */
class ConfigurationChanges {
 public:
  explicit ConfigurationChanges(PacketWorld& world);

  /** Writes the first version; further ones follow until the calm period. */
  void Start();
  /** Returns the route to the orders that the newest version added. */
  Endpoint NewestAddedRoute() const { return AddedRoute(acknowledged_); }

 private:
  /** A SYN that checks whether a balancer has a version in force. */
  struct VersionProbe {
    int balancer = 0;
    int version = 0;
    TimePoint sent{};
  };
  struct BalancerView {
    int version = 0;
    TimePoint first_served{};
  };

  void WritePending();
  void ProbeVersions();
  void SendProbe(int balancer, int version);
  void OnPacket(char* bytes, size_t size);
  void OnVersionServed(const VersionProbe& probe);
  /** Returns the route that only `version` has. */
  static Endpoint ProbeRoute(int version);
  /** Returns the route that `version` added and later ones keep. */
  static Endpoint AddedRoute(int version);
  std::string DocumentOf(int version) const;

  PacketWorld& world_;
  HttpClient store_;
  std::unique_ptr<HttpCall> call_;
  std::unique_ptr<PacketSocket> socket_;
  std::vector<EventLoop::Timer> timers_;
  /** The version being written, and the newest version acknowledged. */
  int pending_ = 1;
  int acknowledged_ = 0;
  bool checked_in_calm_ = false;
  std::vector<BalancerView> balancers_;
  uint16_t next_port_ = 1024;
  std::map<uint16_t, VersionProbe> probes_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_SOAK_CONFIGURATION_CHANGES_H_
