#ifndef SESAMESADDLE_STEERING_DAEMON_HOST_H_
#define SESAMESADDLE_STEERING_DAEMON_HOST_H_

#include <string>
#include <tl/expected.hpp>

#include "steering/target_monitor.h"

namespace sesamesaddle {

/** What the surroundings of a process ask of it. */
class HostEvents {
 public:
  virtual ~HostEvents() = default;

  /** Whether the process may be sent packets. */
  virtual bool Ready() = 0;
  /**
   * The target announced itself.
   * @return nothing if the announcement was taken and the target may rely on
   *         it; else a sentence that tells why not
   */
  virtual tl::expected<void, std::string> OnAnnouncement(
      const Endpoint& address, const TargetAnnouncement& announcement) = 0;
  /** The target of that id says that it ends. */
  virtual void OnDeregister(const std::string& id) = 0;
  /** Something that is no announcement arrived in the place of one. */
  virtual void OnBadAnnouncement(const std::string& reason) = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_HOST_H_
