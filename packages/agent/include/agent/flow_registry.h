#ifndef SESAMESADDLE_AGENT_FLOW_REGISTRY_H_
#define SESAMESADDLE_AGENT_FLOW_REGISTRY_H_

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "agent/directory_registrar.h"
#include "core/time.h"
#include "node/control_plane.h"
#include "node/outbox.h"
#include "routing/flow_directory.h"
#include "routing/load_view.h"
#include "routing/peer_liveness.h"
#include "routing/rendezvous.h"

namespace sesamesaddle {

/** A flow that this agent owns. */
struct OwnedFlow {
  ServiceId service;
  Epoch epoch;
  TimePoint last_used;
  Endpoint balancer;  // That forwarded the caller's last datagram.
  uint16_t next_message_id = 0;
  int running = 0;  // Requests without an answer yet.
  int feeds = 0;
  bool handing_over = false;
  // Until then a block-wise transfer (RFC 7959) may be in progress.
  TimePoint block_transfer_until{};
  HomeAgents home_agents;                  // Where the flow is registered.
  std::vector<schema::Envelope> buffered;  // Received during a handover.
};

struct FlowRegistryOptions {
  Duration lookup_timeout = std::chrono::milliseconds(100);
  Duration lookup_retry = std::chrono::milliseconds(25);
  /**
   * For this long after a change of a service's home candidates, a lookup
   * queries all of the service's agents.
   */
  Duration query_all_period = std::chrono::seconds(5);
  /** Limit of the agents that such a lookup queries. */
  size_t max_queried = 32;
  Duration idle_timeout = std::chrono::minutes(10);
  /** How long datagrams of a handed-over flow are forwarded to its owner. */
  Duration moved_retention = std::chrono::minutes(2);
  size_t max_buffered_per_flow = 16;
  /** Off only to measure the effect of the directory. */
  bool use_directory = true;
  /** On only as a baseline: a flow goes to its first home agent at any load. */
  bool place_by_hash = false;
};

struct FlowRegistryCounters {
  int64_t forwarded = 0;
  int64_t lookups = 0;
  int64_t placed = 0;
  int64_t replaced =
      0;  // Placed again after the owner became silent or failed.
  int64_t dropped_hops = 0;  // Datagrams dropped at the hop limit.
  int64_t superseded = 0;
};

/**
 * Looks up the owner of each flow whose datagrams arrive, places new flows, and
 * stores this agent's part of the directory.
 */
class FlowRegistry {
 public:
  FlowRegistry(ControlPlane& control, LoadView& loads, PeerLiveness& liveness,
               RandomSource& random, const FlowRegistryOptions& options);

  /**
   * Handles an envelope for this process and a service that it serves. Those
   * of owned flows are returned by TakeReady; the others are forwarded once
   * their owner is known.
   */
  void OnEnvelope(TimePoint now, const Endpoint& from,
                  const schema::Envelope& envelope, Outbox& out);
  void OnQuery(const Endpoint& from, const schema::DirectoryQuery& query,
               Outbox& out);
  void OnReply(TimePoint now, const Endpoint& from,
               const schema::DirectoryReply& reply, Outbox& out);
  void OnUpdate(const Endpoint& from, const schema::DirectoryUpdate& update,
                Outbox& out);
  void OnAck(const schema::DirectoryAck& ack);
  /** Looks the flow up again: the agent it was assigned to refused it. */
  void OnAssignmentRefused(TimePoint now, const schema::Envelope& envelope,
                           Outbox& out);
  void OnTick(TimePoint now, Outbox& out);
  /** Handles a change of members or configuration. */
  void OnServicesChanged(TimePoint now);
  void OnMemberGone(MemberId member);
  /**
   * Registers all owned flows again after this process was paused: other agents
   * may have placed them again meanwhile.
   */
  void RegisterAll();

  /** Returns envelopes of owned flows, to be served now. */
  std::vector<schema::Envelope> TakeReady() {
    return std::exchange(ready_, {});
  }
  /** Returns owned flows that have a newer owner, and that owner. */
  std::vector<std::pair<Flow, Ownership>> TakeSuperseded() {
    return std::exchange(superseded_, {});
  }

  OwnedFlow* Find(const Flow& flow);
  const std::unordered_map<Flow, OwnedFlow>& owned() const { return owned_; }
  /** Takes over a flow from its earlier owner. */
  OwnedFlow& Adopt(TimePoint now, const Flow& flow, ServiceId service,
                   Epoch epoch, Outbox& out);
  /** Ends the ownership; `owner` gets the buffered datagrams. */
  void FinishHandover(TimePoint now, const Flow& flow, MemberId owner,
                      Outbox& out);
  /** Keeps the flow here and serves its buffered datagrams. */
  void CancelHandover(const Flow& flow);

  size_t directory_size() const { return directory_.size(); }
  const FlowRegistryCounters& counters() const { return counters_; }

 private:
  struct Lookup {
    ServiceId service;
    int64_t query_id = 0;
    TimePoint deadline;
    TimePoint next_retry;
    std::set<MemberId> awaiting;
    Epoch known_epoch;  // Latest epoch of an owner that is gone.
    std::vector<schema::Envelope> buffered;
  };
  struct Moved {
    MemberId owner;
    TimePoint expires;
  };

  bool IsUsableOwner(TimePoint now, MemberId owner) const;
  /** Forwards a datagram to the agent that took the flow over from here. */
  bool ForwardToNewOwner(TimePoint now, const Flow& flow,
                         const schema::Envelope& envelope, Outbox& out);
  void OnAssignment(TimePoint now, const Endpoint& from,
                    const schema::Envelope& envelope, Outbox& out);
  /** Returns the home agent that has to look the flow up, or zero if this. */
  MemberId OtherHomeAgent(TimePoint now, const Flow& flow,
                          const schema::Envelope& envelope) const;
  /** Forwards a datagram to the owner in the directory, if it is usable. */
  bool ForwardToDirectoryOwner(TimePoint now, const Flow& flow,
                               const schema::Envelope& envelope, Outbox& out);
  bool Forward(TimePoint now, const schema::Envelope& envelope, MemberId to,
               schema::Purpose::type purpose, Epoch epoch, Outbox& out);
  void StartLookup(TimePoint now, const Flow& flow,
                   const schema::Envelope& envelope, Outbox& out);
  std::set<MemberId> ChooseQueried(TimePoint now, const Flow& flow,
                                   const ServiceEntry& entry) const;
  void SendQueries(const Flow& flow, const Lookup& lookup, Outbox& out);
  /** Ends a lookup and forwards its buffered datagrams. */
  void ForwardBuffered(TimePoint now, const Flow& flow, MemberId to,
                       schema::Purpose::type purpose, Epoch epoch, Outbox& out);
  void PlaceFlow(TimePoint now, const Flow& flow, Outbox& out);
  OwnedFlow& TakeOwnership(TimePoint now, const Flow& flow, ServiceId service,
                           Epoch epoch);
  void RegisterFlow(const Flow& flow, OwnedFlow& owned);
  void AdvanceLookups(TimePoint now, Outbox& out);
  /** Makes a home agent remove an entry that names this agent as the owner. */
  void RemoveStaleEntry(const Endpoint& home, const schema::Envelope& envelope,
                        Outbox& out);
  void DropIdleFlows(TimePoint now);
  /** Drops entries whose owner is gone or whose home agents are others. */
  void SweepDirectory();
  const ServiceEntry* ServiceOf(const Flow& flow) const;

  ControlPlane& control_;
  LoadView& loads_;
  PeerLiveness& liveness_;
  RandomSource& random_;
  FlowRegistryOptions options_;
  std::unordered_map<Flow, OwnedFlow> owned_;
  FlowDirectory directory_;
  // Flows assigned by this agent whose owner has not registered them yet.
  std::unordered_set<Flow> unconfirmed_;
  std::unordered_map<Flow, Lookup> lookups_;
  std::unordered_map<Flow, Moved> moved_;
  std::map<ServiceId, std::vector<MemberId>> last_home_candidates_;
  std::map<ServiceId, TimePoint> home_candidates_changed_at_;
  DirectoryRegistrar registrar_;
  std::vector<schema::Envelope> ready_;
  std::vector<std::pair<Flow, Ownership>> superseded_;
  FlowRegistryCounters counters_;
  int64_t next_query_id_ = 1;
  TimePoint next_sweep_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_FLOW_REGISTRY_H_
