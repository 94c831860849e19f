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

/** Counters and gauges by name, which forms part of the metric name. */
using Counters = std::map<std::string, int64_t>;

/** Executes the actions in an outbox. */
using ActionExecutor = std::function<void(Outbox& out)>;

/** The data path of a daemon (balancer or agent) and its control plane. */
class Role {
 public:
  virtual ~Role() = default;

  virtual ControlPlane& control() = 0;
  virtual void OnMessage(TimePoint now, const Endpoint& from,
                         const schema::PeerMessage& message, Outbox& out) = 0;
  virtual void OnTick(TimePoint now, Outbox& out) = 0;
  /** Executes an action other than a message to a peer. */
  virtual void ExecuteAction(const Action& action) = 0;

  /** Begins a graceful stop: no new work is accepted from now on. */
  virtual void BeginStop() = 0;
  /** Returns what a graceful stop still waits for, or "" if it can complete. */
  virtual std::string PendingWork(TimePoint now) const = 0;
  /** Announces to peers that this process leaves the cluster. */
  virtual void Leave(TimePoint now, Outbox& out) = 0;

  virtual Counters counters() const = 0;
  /** Adds the loads and flows to a state dump. */
  virtual void FillDump(TimePoint now, schema::StateDump& dump) const = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_DAEMON_ROLE_H_
