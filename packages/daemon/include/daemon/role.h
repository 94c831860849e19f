#ifndef SESAMESADDLE_DAEMON_ROLE_H_
#define SESAMESADDLE_DAEMON_ROLE_H_

#include <functional>
#include <map>
#include <string>

#include "admin_types.h"
#include "core/time.h"
#include "node/control_plane.h"
#include "node/outbox.h"

namespace sesamesaddle {

/** Counters and gauges by name; the names are part of the metrics' names. */
using Counters = std::map<std::string, int64_t>;

/** Hands the actions in an outbox to the process that carries them out. */
using CarryOut = std::function<void(Outbox& out)>;

/** What a daemon does besides the control plane: balancer or agent. */
class Role {
 public:
  virtual ~Role() = default;

  virtual ControlPlane& control() = 0;
  virtual void OnMessage(TimePoint now, const Endpoint& from,
                         const schema::PeerMessage& message, Outbox& out) = 0;
  virtual void OnTick(TimePoint now, Outbox& out) = 0;
  /** Carries out an action that is not a message to a peer. */
  virtual void Perform(const Action& action) = 0;

  /** From now on the process takes no new work. */
  virtual void BeginStop() = 0;
  /** @return what a graceful stop still waits for; empty when it is done. */
  virtual std::string WaitingFor(TimePoint now) const = 0;
  virtual void Leave(TimePoint now, Outbox& out) = 0;

  virtual Counters counters() const = 0;
  /** Adds loads and flows to a dump. */
  virtual void FillDump(TimePoint now, schema::StateDump& dump) const = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_ROLE_H_
