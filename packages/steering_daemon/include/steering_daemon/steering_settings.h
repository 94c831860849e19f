#ifndef SESAMESADDLE_STEERING_DAEMON_STEERING_SETTINGS_H_
#define SESAMESADDLE_STEERING_DAEMON_STEERING_SETTINGS_H_

#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "admission/admission_options.h"
#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** Resources of an instance; a value that is not set is unknown. */
struct InstanceCapacity {
  /** Share of the processor; 0.5 is half of a core. */
  std::optional<double> cpu_cores;
  std::optional<double> link_mbps;
};

/** Settings of a balancer or an agent, read from its settings file. */
struct SteeringSettings {
  std::string name;
  std::string zone;
  /** The region of each availability zone; may be empty. */
  std::map<std::string, std::string> regions;
  /** The instance's address; peers use the ports from `first_port` on there. */
  uint32_t ip = 0;
  /** Balancer: packets from clients. Agent: packets from balancers. */
  Endpoint packet_address;
  /** Agent: packets from its target. */
  Endpoint outbound;
  /** Address of the platform's readiness probes. */
  Endpoint readiness;
  /** Address of the target's announcements; optional for a balancer. */
  Endpoint control;
  /** Agent: address of its target. */
  Endpoint target;
  /** Agent: the service of its target. */
  std::string service;
  Endpoint store;
  /** First of the ports that balancers and agents use among themselves. */
  uint16_t first_port = 0;
  /** Balancers to fetch a replica from at startup. */
  std::vector<Endpoint> seeds;
  /** Port of metrics in addition to PeerPort::kReplica; 0 for none. */
  uint16_t metrics_port = 0;
  /** Age after which a flow may be dropped. */
  Duration flow_lifetime = std::chrono::seconds(60);
  /** Time from SIGTERM until the process is killed. */
  Duration stop_grace = std::chrono::seconds(6);
  /** Reads per second that the store accepts from the whole system. */
  double store_reads_per_second = 2000;
  /** Writes per second that the store accepts from the whole system. */
  double store_writes_per_second = 400;
  /** What goes first while more flows arrive than the targets can take. */
  AdmissionOptions admission;
  /** Minimum lease that the store grants. */
  Duration min_lease = std::chrono::seconds(1);
  /** Resources of this instance. */
  InstanceCapacity capacity;
};

/** Source of the settings; read again whenever they may have changed. */
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;

  /** Returns the settings, or a description of what is invalid. */
  virtual tl::expected<SteeringSettings, std::string> Read() const = 0;
};

/** Ports for traffic among processes, as offsets from `first_port`. */
enum class PeerPort : uint16_t {
  kControl = 0,       // UDP: reports and versions.
  kReplica = 1,       // TCP: a balancer's replica, metrics and state.
  kAgentPackets = 2,  // UDP: packets between a balancer and agents.
};

/** Returns the endpoint of the process on the instance with address `ip`. */
inline Endpoint PeerEndpoint(const SteeringSettings& settings, uint32_t ip,
                             PeerPort port) {
  return {ip, static_cast<uint16_t>(settings.first_port +
                                    static_cast<uint16_t>(port))};
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STEERING_SETTINGS_H_
