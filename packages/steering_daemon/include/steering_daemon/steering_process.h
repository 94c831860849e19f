#ifndef SESAMESADDLE_STEERING_DAEMON_STEERING_PROCESS_H_
#define SESAMESADDLE_STEERING_DAEMON_STEERING_PROCESS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "core/event_log.h"
#include "core/random.h"
#include "core/scheduler.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/net_error.h"
#include "steering/configuration_decoder.h"
#include "steering/packet.h"
#include "steering_daemon/host.h"
#include "steering_daemon/metrics.h"
#include "steering_daemon/steering_settings.h"
#include "steering_types.h"
#include "store/store.h"

namespace sesamesaddle {

/** What signals ask of a process; set by handlers, read by the loop. */
struct SignalFlags {
  std::atomic<bool> stop{false};
  std::atomic<bool> reload{false};
};

/** What both kinds of process are built from. */
struct SteeringParts {
  EventLoop& loop;
  Scheduler& scheduler;
  RandomSource& random;
  EventLog& log;
  Store& store;
  const PacketCodec& codec;
  const ConfigurationDecoder& decoder;
  const SettingsSource& settings_source;
  SignalFlags& signals;
};

/** A process that steers flows: a balancer or an agent. */
class SteeringProcess : public HostEvents {
 public:
  /** @return nothing, or why a socket could not be opened. */
  virtual tl::expected<void, NetError> Open() = 0;
  /** Runs until a graceful stop has ended. */
  virtual void Run() = 0;
};

/** Where the processes keep their entries in the store. */
struct DirectoryKeys {
  static std::string OfTarget(const Endpoint& agent);
  static std::string OfBalancer(const Endpoint& control);
  static constexpr char kPrefix[] = "sesamesaddle/";
  static constexpr char kTargetPrefix[] = "sesamesaddle/target/";
  static constexpr char kBalancerPrefix[] = "sesamesaddle/balancer/";
};

/** What an operator may ask a process over HTTP. */
struct InspectionSources {
  std::function<std::string()> metrics;
  std::function<std::string()> state;
  /** Empty where the process keeps no replica. */
  std::function<std::string()> replica;
};

/** Path at which a balancer serves its replica to its peers. */
constexpr char kReplicaPath[] = "/v1/replica";

/** Serves metrics, the state dump and a balancer's replica. */
tl::expected<std::unique_ptr<HttpServer>, NetError> OpenInspection(
    EventLoop& loop, const Endpoint& listen, InspectionSources sources);

/**
 * Serves the same at the metrics port, if one is set. A port that is taken is
 * logged and done without.
 */
std::unique_ptr<HttpServer> OpenMetrics(EventLoop& loop,
                                        const SteeringSettings& settings,
                                        EventLog& log,
                                        const InspectionSources& sources);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STEERING_PROCESS_H_
