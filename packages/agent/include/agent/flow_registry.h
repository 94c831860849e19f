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
  Endpoint balancer;  // That delivered the caller's last datagram.
  uint16_t next_message_id = 0;
  int running = 0;  // Requests without an answer yet.
  int feeds = 0;
  bool handing_over = false;
  TimePoint transfer_until{};  // A caller is fetching blocks until then.
  HomeAgents homes;            // Where the flow is registered.
  std::vector<schema::Envelope> held;  // Arrived while it is handed over.
};

struct FlowRegistryOptions {
  Duration lookup_timeout = std::chrono::milliseconds(100);
  Duration lookup_retry = std::chrono::milliseconds(25);
  /** After a change of a service's agents, all of them are asked for a flow. */
  Duration settle_time = std::chrono::seconds(5);
  size_t max_asked = 32;
  Duration idle_timeout = std::chrono::minutes(10);
  Duration moved_retention = std::chrono::minutes(2);
  size_t max_held_per_flow = 16;
  /** Off only to measure what the directory is for. */
  bool use_directory = true;
  /** On only for the baseline: a flow goes to its first home, whatever load. */
  bool place_by_hash = false;
};

struct FlowRegistryCounters {
  int64_t forwarded = 0;
  int64_t lookups = 0;
  int64_t placed = 0;
  int64_t replaced = 0;  // Placed again after the owner went silent or died.
  int64_t dropped_hops = 0;
  int64_t superseded = 0;
};

/**
 * Finds the owner of each flow whose datagrams arrive here, places new flows,
 * and keeps this agent's part of the directory.
 */
class FlowRegistry {
 public:
  FlowRegistry(ControlPlane& control, LoadView& loads, PeerLiveness& liveness,
               RandomSource& random, const FlowRegistryOptions& options);

  /** An envelope that is rightly ours; see TakeReady for the outcome. */
  void OnEnvelope(TimePoint now, const Endpoint& from,
                  const schema::Envelope& envelope, Outbox& out);
  void OnQuery(const Endpoint& from, const schema::DirectoryQuery& query,
               Outbox& out);
  void OnReply(TimePoint now, const Endpoint& from,
               const schema::DirectoryReply& reply, Outbox& out);
  void OnUpdate(const Endpoint& from, const schema::DirectoryUpdate& update,
                Outbox& out);
  void OnAck(const schema::DirectoryAck& ack);
  /** An agent to which a flow was assigned does not take it. */
  void OnAssignmentRefused(TimePoint now, const schema::Envelope& envelope,
                           Outbox& out);
  void OnTick(TimePoint now, Outbox& out);
  /** Members or configuration changed. */
  void OnServicesChanged(TimePoint now);
  void OnMemberGone(MemberId member);
  /** After a pause: other agents may have placed our flows anew. */
  void RegisterAll();

  /** @return envelopes of owned flows, to be served now. */
  std::vector<schema::Envelope> TakeReady() {
    return std::exchange(ready_, {});
  }
  /** @return flows that another owner holds by now, and that owner. */
  std::vector<std::pair<Flow, Ownership>> TakeSuperseded() {
    return std::exchange(superseded_, {});
  }

  OwnedFlow* Find(const Flow& flow);
  const std::unordered_map<Flow, OwnedFlow>& owned() const { return owned_; }
  /** Takes over a flow from its earlier owner. */
  OwnedFlow& Adopt(TimePoint now, const Flow& flow, ServiceId service,
                   Epoch epoch, Outbox& out);
  /** The flow now belongs to `owner`; what was held goes there. */
  void FinishHandover(TimePoint now, const Flow& flow, MemberId owner,
                      Outbox& out);
  /** The flow stays here after all. */
  void CancelHandover(const Flow& flow);

  size_t directory_size() const { return directory_.size(); }
  const FlowRegistryCounters& counters() const { return counters_; }

 private:
  struct Lookup {
    ServiceId service;
    int64_t query = 0;
    TimePoint give_up;
    TimePoint next_retry;
    std::set<MemberId> awaiting;
    Epoch known_epoch;  // Of an owner that is gone.
    std::vector<schema::Envelope> held;
  };
  struct Moved {
    MemberId owner;
    TimePoint expires;
  };

  bool UsableOwner(TimePoint now, MemberId owner) const;
  bool ForwardMoved(TimePoint now, const Flow& flow,
                    const schema::Envelope& envelope, Outbox& out);
  void TakeAssignment(TimePoint now, const Endpoint& from,
                      const schema::Envelope& envelope, Outbox& out);
  MemberId OtherHome(TimePoint now, const Flow& flow,
                     const schema::Envelope& envelope) const;
  bool ForwardKnown(TimePoint now, const Flow& flow,
                    const schema::Envelope& envelope, Outbox& out);
  bool Forward(TimePoint now, const schema::Envelope& envelope, MemberId to,
               schema::Purpose::type purpose, Epoch epoch, Outbox& out);
  void StartLookup(TimePoint now, const Flow& flow,
                   const schema::Envelope& envelope, Outbox& out);
  std::set<MemberId> ChooseAsked(TimePoint now, const Flow& flow,
                                 const ServiceEntry& entry) const;
  void SendQueries(const Flow& flow, const Lookup& lookup, Outbox& out);
  void ReleaseTo(TimePoint now, const Flow& flow, MemberId to,
                 schema::Purpose::type purpose, Epoch epoch, Outbox& out);
  void Place(TimePoint now, const Flow& flow, Outbox& out);
  OwnedFlow& Own(TimePoint now, const Flow& flow, ServiceId service,
                 Epoch epoch);
  void RegisterFlow(const Flow& flow, OwnedFlow& owned);
  void AdvanceLookups(TimePoint now, Outbox& out);
  void DenyOwnership(const Endpoint& home, const schema::Envelope& envelope,
                     Outbox& out);
  void DropIdle(TimePoint now);
  void SweepDirectory();
  const ServiceEntry* ServiceOf(const Flow& flow) const;

  ControlPlane& control_;
  LoadView& loads_;
  PeerLiveness& liveness_;
  RandomSource& random_;
  FlowRegistryOptions options_;
  std::unordered_map<Flow, OwnedFlow> owned_;
  FlowDirectory directory_;
  // Flows assigned by us whose owner has not registered them yet.
  std::unordered_set<Flow> unconfirmed_;
  std::unordered_map<Flow, Lookup> lookups_;
  std::unordered_map<Flow, Moved> moved_;
  std::map<ServiceId, std::vector<MemberId>> last_homes_;
  std::map<ServiceId, TimePoint> changed_at_;
  DirectoryRegistrar registrar_;
  std::vector<schema::Envelope> ready_;
  std::vector<std::pair<Flow, Ownership>> superseded_;
  FlowRegistryCounters counters_;
  int64_t next_query_ = 1;
  TimePoint next_sweep_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_FLOW_REGISTRY_H_
