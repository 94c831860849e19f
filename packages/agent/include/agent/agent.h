#ifndef SESAMESADDLE_AGENT_AGENT_H_
#define SESAMESADDLE_AGENT_AGENT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "agent/feed_publisher.h"
#include "agent/flow_registry.h"
#include "agent/handover.h"
#include "agent/request_runner.h"
#include "coap/message.h"
#include "core/random.h"
#include "node/control_plane.h"
#include "node/outbox.h"
#include "routing/load_view.h"
#include "routing/peer_liveness.h"
#include "serving/body_cache.h"
#include "serving/echo_authority.h"
#include "serving/request_deduplication.h"

namespace sesamesaddle {

struct AgentOptions {
  MembershipOptions membership;
  FlowRegistryOptions flows;
  RunnerOptions runner;
  FeedOptions feeds;
  LoadViewOptions loads;
  Duration load_report_period = std::chrono::milliseconds(200);
  /** Peers that a load report is sent to; random ones if there are more. */
  size_t load_report_fanout = 16;
  size_t message_capacity = 20000;
  size_t body_cache_bytes = 16 << 20;
  /** Envelopes kept until this process has the revision they refer to. */
  size_t max_deferred_envelopes = 256;
  /** Deduplicates non-idempotent requests; off only to measure the effect. */
  bool deduplicate_requests = true;
  /** Hands flows over; off only to measure the effect. */
  bool hand_over = true;
};

struct AgentCounters {
  int64_t datagrams = 0;
  int64_t malformed = 0;
  int64_t requests = 0;
  int64_t repeated = 0;
  int64_t challenged = 0;
  int64_t answered = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  int64_t misrouted = 0;
};

/**
 * The logic of an agent: it owns flows, runs their requests on the targets of
 * the service and maintains their feeds. It does no I/O: its inputs are
 * messages and the time, its outputs are actions in the outbox.
 */
class Agent {
 public:
  Agent(const schema::MemberRecord& self, const AgentOptions& options,
        RandomSource& random);

  void OnMessage(TimePoint now, const Endpoint& from,
                 const schema::PeerMessage& message, Outbox& out);
  /** Handles the response of the target to a StartCall action. */
  void OnTargetResponse(TimePoint now, CallId id, TargetResponse response,
                        Outbox& out);
  void OnTick(TimePoint now, Outbox& out);

  /** Starts a graceful stop: no new work, flows are handed over. */
  void BeginStop(TimePoint now);
  /**
   * Returns whether the process may exit: no flow, request or handover is left,
   * and the other agents have had time to be informed of the stop.
   */
  bool Stopped(TimePoint now) const;
  void Leave(TimePoint now, Outbox& out) { control_.Leave(now, out); }

  ControlPlane& control() { return control_; }
  const ControlPlane& control() const { return control_; }
  const FlowRegistry& flows() const { return flows_; }
  const RequestRunner& runner() const { return runner_; }
  const FeedPublisher& feeds() const { return feeds_; }
  const LoadView& loads() const { return loads_; }
  const AgentCounters& counters() const { return counters_; }
  int64_t flows_handed_over() const { return handover_.handed_over(); }
  size_t remembered_requests() const { return nonces_.size(); }

 private:
  /** A request without a response yet. */
  struct PendingRequest {
    Flow flow;
    Endpoint balancer;
    coap::Message request;  // Without payload.
    bool has_nonce = false;
    EchoNonce nonce;
    bool observe = false;
  };

  // Envelopes.
  void OnEnvelope(TimePoint now, const Endpoint& from,
                  const schema::Envelope& envelope, Outbox& out);
  /** Checks that an envelope is for this process and a service it serves. */
  bool CheckIdentity(TimePoint now, const Endpoint& from,
                     const schema::Envelope& envelope, Outbox& out);
  void SendMisrouted(const Endpoint& from, const schema::Envelope& envelope,
                     schema::MisrouteReason::type reason, Outbox& out);
  void ProcessDeferred(TimePoint now, Outbox& out);
  void ServeReady(TimePoint now, Outbox& out);
  void Serve(TimePoint now, const schema::Envelope& envelope, Outbox& out);

  // CoAP.
  void OnRequest(TimePoint now, const schema::Envelope& envelope,
                 const Flow& flow, const coap::Message& request, Outbox& out);
  /** Responds with the state of a topic if it is polled, without a request. */
  bool ServeFromPolledTopic(TimePoint now, const PendingRequest& pending,
                            Outbox& out);
  bool RefuseUnsupported(TimePoint now, const PendingRequest& pending,
                         Outbox& out);
  /** Serves a block after the first from the cache; never runs a request. */
  bool ServeLaterBlock(TimePoint now, const PendingRequest& pending,
                       Outbox& out);
  /**
   * Records that a block is being served. The request for a block implies that
   * the earlier ones arrived, so late retransmissions of their requests are not
   * answered: some callers assemble the body wrongly if an old block arrives
   * during the transfer. The flow stays here during the transfer.
   */
  void RecordServedBlock(TimePoint now, const PendingRequest& pending);
  void OnNonIdempotentRequest(TimePoint now, const schema::Envelope& envelope,
                              PendingRequest pending,
                              const coap::Message& request, Outbox& out);
  void RunNonIdempotentRequest(TimePoint now, PendingRequest pending,
                               const coap::Message& request,
                               const EchoCheck& check, Outbox& out);
  void Challenge(TimePoint now, const PendingRequest& pending, Outbox& out);
  /**
   * Forwards a request to the issuer of its Echo value, the only agent that can
   * tell whether the request has run.
   */
  void ForwardToIssuer(TimePoint now, const schema::Envelope& envelope,
                       MemberId issuer, const PendingRequest& pending,
                       Outbox& out);
  void SubmitJob(TimePoint now, PendingRequest pending, const std::string& body,
                 Outbox& out);
  void OnJobFinished(TimePoint now, CallId id, JobResult result, Outbox& out);
  coap::Message MakeResponse(TimePoint now, const PendingRequest& pending,
                             const JobResult& result, Outbox& out);
  void Reply(TimePoint now, const PendingRequest& pending,
             coap::Message response, Outbox& out);
  void SendDatagram(const Flow& flow, const Endpoint& balancer,
                    std::string payload, Outbox& out);
  SentNotification SendNotification(const Notification& notification,
                                    Outbox& out);
  /** Returns `preferred` unless it is gone or to be avoided, else any other. */
  Endpoint ChooseBalancer(const Endpoint& preferred,
                          const Endpoint& avoid) const;

  // Flows.
  schema::FlowState ExportFlow(const Flow& flow) const;
  void DropFlow(TimePoint now, const Flow& flow, Outbox& out);
  void OnHandover(TimePoint now, const Endpoint& from,
                  const schema::Handover& handover, Outbox& out);
  bool AcceptsHandover(TimePoint now, const schema::Handover& handover) const;
  void ImportFlow(TimePoint now, const schema::FlowState& state, Outbox& out);
  void HandOverFlows(TimePoint now, Outbox& out);
  /** Hands flows with two owners to the one of the later epoch. */
  void HandOverSuperseded(TimePoint now, Outbox& out);
  bool MustHandOver(TimePoint now, const Flow& flow,
                    const OwnedFlow& owned) const;
  std::vector<MemberId> HandoverCandidates(TimePoint now,
                                           ServiceId service) const;

  // Periodic work.
  void ReactToChanges(TimePoint now, Outbox& out);
  /** When a drain begins, gives running requests the service's drain grace. */
  void StartDrainGrace(TimePoint now);
  void ReportLoad(TimePoint now, Outbox& out);
  void ExpireCaches(TimePoint now);
  /** Serves ready envelopes and responds to all finished jobs. */
  void ProcessReadyWork(TimePoint now, Outbox& out);

  AgentOptions options_;
  RandomSource& random_;
  ControlPlane control_;
  PeerLiveness liveness_;
  LoadView loads_;
  FlowRegistry flows_;
  RequestRunner runner_;
  FeedPublisher feeds_;
  EchoAuthority echo_;
  RequestDeduplicator nonces_;
  MessageDeduplicator messages_;
  BodyCache bodies_;
  Handover handover_;
  std::map<CallId, PendingRequest> pending_;
  std::deque<std::pair<Endpoint, schema::Envelope>> deferred_envelopes_;
  // Owned flows that have another owner with a later epoch.
  std::vector<std::pair<Flow, Ownership>> superseded_;
  AgentCounters counters_;
  TimePoint started_{};
  TimePoint now_{};
  TimePoint next_report_{};
  TimePoint next_expiry_{};
  TimePoint next_feeds_{};
  bool stopping_ = false;
  bool was_leaving_ = false;  // In the previous configuration.
  TimePoint stop_began_{};
  // Whether this agent may own flows of services that it no longer serves.
  bool scan_flows_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_AGENT_H_
