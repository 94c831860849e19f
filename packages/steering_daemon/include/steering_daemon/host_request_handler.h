#ifndef SESAMESADDLE_STEERING_DAEMON_HOST_REQUEST_HANDLER_H_
#define SESAMESADDLE_STEERING_DAEMON_HOST_REQUEST_HANDLER_H_

#include <string>
#include <tl/expected.hpp>

#include "core/time.h"
#include "steering/target_monitor.h"

namespace sesamesaddle {

/** Why an announcement has no effect. */
struct AnnouncementRefusal {
  /** It is of a target that has been replaced, or older than one received. */
  bool late = false;
  std::string reason;
};

/** Handles requests of the platform and of the target to a process. */
class HostRequestHandler {
 public:
  virtual ~HostRequestHandler() = default;

  /** Returns whether the process is ready to receive packets. */
  virtual bool Ready() = 0;
  /**
   * Handles an announcement of the target.
   * @return nothing if the announcement was accepted, so that the target may
   *         rely on it; otherwise why it changed nothing
   */
  virtual tl::expected<void, AnnouncementRefusal> OnAnnouncement(
      const Endpoint& address, const TargetAnnouncement& announcement) = 0;
  /**
   * Handles the deregistration of the target `id`.
   * @param sent_after  see HttpRequest
   */
  virtual void OnDeregister(const std::string& id, TimePoint sent_after) = 0;
  /** Handles a request that is not a valid announcement. */
  virtual void OnInvalidAnnouncement(const std::string& reason) = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_HOST_REQUEST_HANDLER_H_
