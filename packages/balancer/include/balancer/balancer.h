#ifndef SESAMESADDLE_BALANCER_BALANCER_H_
#define SESAMESADDLE_BALANCER_BALANCER_H_

#include <cstdint>
#include <map>
#include <string>

#include "balancer/datagram_queue.h"
#include "balancer/hint_cache.h"
#include "core/random.h"
#include "node/control_plane.h"
#include "node/outbox.h"
#include "routing/peer_liveness.h"

namespace sesamesaddle {

struct BalancerOptions {
  MembershipOptions membership;
  /** Number of flows whose owner is cached; 0 disables hints. */
  size_t hint_capacity = 65536;
  size_t queue_capacity = 4096;
  /** Limit of forwarded datagrams from callers; 0 means no limit. */
  int max_datagrams_per_second = 0;
};

struct BalancerCounters {
  int64_t from_callers = 0;
  int64_t to_callers = 0;
  int64_t unknown_service = 0;
  int64_t no_agent = 0;
  int64_t dropped_overload = 0;
  int64_t dropped_stale = 0;  // Received while this process was paused.
  int64_t hints_used = 0;
  int64_t misrouted = 0;
  int64_t silent_agents_passed_over = 0;
};

/**
 * Chooses the agent for each datagram of a caller and forwards the responses to
 * the callers. It holds no flow state but hints and does no I/O: messages and
 * the time are arguments, actions are added to an Outbox.
 */
class Balancer {
 public:
  Balancer(const schema::MemberRecord& self, const BalancerOptions& options,
           RandomSource& random);

  /** Handles a datagram of a caller, without its PROXY header. */
  void OnCallerDatagram(TimePoint now, const Flow& flow, std::string payload,
                        Outbox& out);
  void OnMessage(TimePoint now, const Endpoint& from,
                 const schema::PeerMessage& message, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);
  /** Announces to the other members that this process stops. */
  void Leave(TimePoint now, Outbox& out) { control_.Leave(now, out); }

  ControlPlane& control() { return control_; }
  const ControlPlane& control() const { return control_; }
  const BalancerCounters& counters() const { return counters_; }
  size_t queued() const { return queue_.size(); }

 private:
  void SendQueued(TimePoint now, Outbox& out);
  void Route(TimePoint now, const Flow& flow, const std::string& payload,
             int16_t hops, Outbox& out);
  MemberId ChooseAgent(TimePoint now, const ServiceEntry& entry,
                       const Flow& flow, schema::Purpose::type* purpose);
  void OnAnswer(TimePoint now, const schema::Answer& answer, Outbox& out);
  void OnMisrouted(TimePoint now, const Endpoint& from,
                   const schema::Misrouted& misrouted, Outbox& out);
  void RemoveDepartedMembers();

  BalancerOptions options_;
  ControlPlane control_;
  DatagramQueue queue_;
  HintCache hints_;
  PeerLiveness liveness_;
  BalancerCounters counters_;
  double tokens_ = 0;
  TimePoint tokens_updated_at_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_BALANCER_BALANCER_H_
