#ifndef SESAMESADDLE_STEERING_DAEMON_STEERING_SETTINGS_H_
#define SESAMESADDLE_STEERING_DAEMON_STEERING_SETTINGS_H_

#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** What a process that steers flows learns from its settings file. */
struct SteeringSettings {
  std::string name;
  std::string zone;
  /** The region of each availability zone; may be empty. */
  std::map<std::string, std::string> regions;
  /** The machine's address; peers are reached at `ports` there. */
  uint32_t ip = 0;
  /** Balancer: packets from clients. Agent: packets from balancers. */
  Endpoint packet_address;
  /** Agent: packets from its target. */
  Endpoint outbound;
  /** Where the platform asks whether the process is ready. */
  Endpoint readiness;
  /** Agent: announcements of its target. Balancer: replicas for peers. */
  Endpoint control;
  /** Agent: its target. */
  Endpoint target;
  /** Agent: the service of its target. */
  std::string service;
  Endpoint store;
  /** First of the ports that the processes of the system use between them. */
  uint16_t first_port = 0;
  /** Balancers that may serve their replica at the start. */
  std::vector<Endpoint> seeds;
  /** Where metrics are served besides the peers' ports; 0: nowhere. */
  uint16_t metrics_port = 0;
  /** A flow older than this may be forgotten. */
  Duration flow_lifetime = std::chrono::seconds(60);
  /** Time from SIGTERM until the process is killed. */
  Duration stop_grace = std::chrono::seconds(6);
  /** Reading calls a second that the store takes from the whole system. */
  double store_reads_per_second = 2000;
  /** Shortest lease that the store grants. */
  Duration min_lease = std::chrono::seconds(1);
};

/** Where the settings come from; read again when they may have changed. */
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;

  /** @return the settings, or a sentence that tells what is wrong. */
  virtual tl::expected<SteeringSettings, std::string> Read() const = 0;
};

/** Ports of the processes, as offsets from the first port. */
enum class PeerPort : uint16_t {
  kControl = 0,   // UDP: reports and versions.
  kReplica = 1,   // TCP: a balancer's replica, metrics and state.
  kReturned = 2,  // UDP: packets between a balancer and agents.
};

/** @return the endpoint of a process on the machine with that address. */
inline Endpoint PeerEndpoint(const SteeringSettings& settings, uint32_t ip,
                             PeerPort port) {
  return {ip, static_cast<uint16_t>(settings.first_port +
                                    static_cast<uint16_t>(port))};
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STEERING_SETTINGS_H_
