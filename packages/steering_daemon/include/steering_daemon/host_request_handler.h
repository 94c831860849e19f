#ifndef SESAMESADDLE_STEERING_DAEMON_HOST_REQUEST_HANDLER_H_
#define SESAMESADDLE_STEERING_DAEMON_HOST_REQUEST_HANDLER_H_

#include <string>
#include <tl/expected.hpp>

#include "steering/target_monitor.h"

namespace sesamesaddle {

/** Handles requests of the platform and of the target to a process. */
class HostRequestHandler {
 public:
  virtual ~HostRequestHandler() = default;

  /** Returns whether the process is ready to receive packets. */
  virtual bool Ready() = 0;
  /**
   * Handles an announcement of the target.
   * @return nothing if the announcement was accepted, so that the target may
   *         rely on it; otherwise the reason for the rejection
   */
  virtual tl::expected<void, std::string> OnAnnouncement(
      const Endpoint& address, const TargetAnnouncement& announcement) = 0;
  /** Handles the deregistration of the target `id`. */
  virtual void OnDeregister(const std::string& id) = 0;
  /** Handles a request that is not a valid announcement. */
  virtual void OnInvalidAnnouncement(const std::string& reason) = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_HOST_REQUEST_HANDLER_H_
