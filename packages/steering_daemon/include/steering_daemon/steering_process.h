#ifndef SESAMESADDLE_STEERING_DAEMON_STEERING_PROCESS_H_
#define SESAMESADDLE_STEERING_DAEMON_STEERING_PROCESS_H_

#include <atomic>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "core/event_log.h"
#include "core/random.h"
#include "core/scheduler.h"
#include "flow_model/configuration_decoder.h"
#include "flow_model/packet.h"
#include "net/event_loop.h"
#include "net/net_error.h"
#include "net/packet_socket.h"
#include "registry/registration.h"
#include "steering_daemon/host_request_handler.h"
#include "steering_daemon/steering_settings.h"
#include "steering_types.h"
#include "store/metered_store.h"

namespace sesamesaddle {

/** Requests by signals; set by signal handlers, read by the event loop. */
struct SignalFlags {
  std::atomic<bool> stop{false};
  std::atomic<bool> reload{false};
};

/** Dependencies of balancer and agent processes. */
struct SteeringDependencies {
  EventLoop& loop;
  Scheduler& scheduler;
  RandomSource& random;
  EventLog& log;
  MeteredStore& store;
  const PacketCodec& codec;
  const ConfigurationDecoder& decoder;
  const SettingsSource& settings_source;
  SignalFlags& signals;
};

/** A process that steers flows: a balancer or an agent. */
class SteeringProcess : public HostRequestHandler {
 public:
  /** Opens the sockets; returns nothing, or why one could not be opened. */
  virtual tl::expected<void, NetError> Open() = 0;
  /** Runs until a graceful stop is complete. */
  virtual void Run() = 0;
};

/**
 * Keys of the processes' entries in the store. They begin like the key of the
 * operators' configuration, so that one watch covers both; the flow records,
 * which no balancer reads, do not.
 */
struct DirectoryKeys {
  static std::string OfTarget(const Endpoint& agent);
  static std::string OfBalancer(const Endpoint& control);
  /** Key of the record of the flows that the agent's target holds. */
  static std::string OfFlowRecord(const Endpoint& agent);
  static constexpr char kPrefix[] = "online/";
  static constexpr char kTargetPrefix[] = "online/target/";
  static constexpr char kBalancerPrefix[] = "online/balancer/";
  static constexpr char kFlowRecordPrefix[] = "flows/";
};

/**
 * Opens a socket.
 * @param socket  set to the opened socket
 * @return nothing, or why it could not be opened
 */
tl::expected<void, NetError> OpenSocket(EventLoop& loop, const Endpoint& local,
                                        PacketSocket::Handlers handlers,
                                        std::unique_ptr<PacketSocket>& socket);

/** Returns options whose lease is at least the store's minimum. */
RegistrationOptions MakeRegistrationOptions(const SteeringSettings& settings);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STEERING_PROCESS_H_
