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
#include "serving/request_memory.h"

namespace sesamesaddle {

struct AgentOptions {
  MembershipOptions membership;
  FlowRegistryOptions flows;
  RunnerOptions runner;
  FeedOptions feeds;
  LoadViewOptions loads;
  Duration load_report_period = std::chrono::milliseconds(200);
  /** Peers told of the load each time; larger services take random ones. */
  size_t load_report_fanout = 16;
  size_t message_capacity = 20000;
  size_t body_cache_bytes = 16 << 20;
  /** Envelopes held until this process has a revision they were sent under. */
  size_t max_early_envelopes = 256;
  /** Off only to show what the memory of requests is for. */
  bool deduplicate_requests = true;
  /** Off only to show what the handover of flows is for. */
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
 * The decisions of an agent: it owns flows, runs their requests on the targets
 * of the service and keeps their feeds. No I/O: messages and time come in,
 * actions go out.
 */
class Agent {
 public:
  Agent(const schema::MemberRecord& self, const AgentOptions& options,
        RandomSource& random);

  void OnMessage(TimePoint now, const Endpoint& from,
                 const schema::PeerMessage& message, Outbox& out);
  /** The answer of the target to a call that was started. */
  void OnTargetResponse(TimePoint now, CallId id, TargetResponse answer,
                        Outbox& out);
  void OnTick(TimePoint now, Outbox& out);

  /** Starts a graceful stop: no new work, flows go to other agents. */
  void BeginStop(TimePoint now);
  /**
   * @return whether nothing is left that would be lost by stopping now, and
   *         the other agents have had time to learn of the stop.
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
  /** A request whose answer is outstanding. */
  struct Pending {
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
  bool CheckIdentity(TimePoint now, const Endpoint& from,
                     const schema::Envelope& envelope, Outbox& out);
  void Refuse(const Endpoint& from, const schema::Envelope& envelope,
              schema::MisrouteReason::type reason, Outbox& out);
  void ReleaseEarly(TimePoint now, Outbox& out);
  void ServeReady(TimePoint now, Outbox& out);
  void Serve(TimePoint now, const schema::Envelope& envelope, Outbox& out);

  // CoAP.
  void OnRequest(TimePoint now, const schema::Envelope& envelope,
                 const Flow& flow, const coap::Message& request, Outbox& out);
  bool JoinFeed(TimePoint now, const Pending& pending, Outbox& out);
  bool RefuseUnsupported(TimePoint now, const Pending& pending, Outbox& out);
  bool ServeLaterBlock(TimePoint now, const Pending& pending, Outbox& out);
  void NoteBlock(TimePoint now, const Pending& pending);
  void OnWrite(TimePoint now, const schema::Envelope& envelope, Pending pending,
               const coap::Message& request, Outbox& out);
  void RunWrite(TimePoint now, Pending pending, const coap::Message& request,
                const EchoCheck& check, Outbox& out);
  void Challenge(TimePoint now, const Pending& pending, Outbox& out);
  void PassToIssuer(TimePoint now, const schema::Envelope& envelope,
                    MemberId issuer, const Pending& pending, Outbox& out);
  void SubmitJob(TimePoint now, Pending pending, const std::string& body,
                 Outbox& out);
  void OnFinished(TimePoint now, CallId id, JobResult result, Outbox& out);
  coap::Message MakeAnswer(TimePoint now, const Pending& pending,
                           const JobResult& result, Outbox& out);
  void Reply(TimePoint now, const Pending& pending, coap::Message answer,
             Outbox& out);
  void SendDatagram(const Flow& flow, const Endpoint& balancer,
                    std::string payload, Outbox& out);
  SentNotification SendNotification(const Notification& notification,
                                    Outbox& out);
  Endpoint ChooseBalancer(const Endpoint& preferred,
                          const Endpoint& avoid) const;

  // Flows.
  schema::FlowState ExportFlow(const Flow& flow) const;
  void DropFlow(const Flow& flow, Outbox& out);
  void OnHandover(TimePoint now, const Endpoint& from,
                  const schema::Handover& handover, Outbox& out);
  bool Accepts(TimePoint now, ServiceId service) const;
  void ImportFlow(TimePoint now, const schema::FlowState& state, Outbox& out);
  void HandOverFlows(TimePoint now, Outbox& out);
  void HandOverSuperseded(TimePoint now, Outbox& out);
  bool MustHandOver(TimePoint now, const Flow& flow,
                    const OwnedFlow& owned) const;
  std::vector<MemberId> HandoverCandidates(TimePoint now,
                                           ServiceId service) const;

  // Time.
  void ReactToChanges(TimePoint now, Outbox& out);
  void StartDrainGrace(TimePoint now);
  void ReportLoad(TimePoint now, Outbox& out);
  void ExpireMemory(TimePoint now);
  void Settle(TimePoint now, Outbox& out);

  AgentOptions options_;
  RandomSource& random_;
  ControlPlane control_;
  PeerLiveness liveness_;
  LoadView loads_;
  FlowRegistry flows_;
  RequestRunner runner_;
  FeedPublisher feeds_;
  EchoAuthority echo_;
  NonceMemory nonces_;
  MessageMemory messages_;
  BodyCache bodies_;
  Handover handover_;
  std::map<CallId, Pending> pending_;
  std::deque<std::pair<Endpoint, schema::Envelope>> early_;
  // Flows whose owner elsewhere won; theirs is the later epoch.
  std::vector<std::pair<Flow, Ownership>> superseded_;
  AgentCounters counters_;
  TimePoint started_{};
  TimePoint now_{};
  TimePoint next_report_{};
  TimePoint next_expiry_{};
  TimePoint next_feeds_{};
  bool stopping_ = false;
  bool leaving_ = false;  // By the configuration seen last.
  TimePoint stop_began_{};
  // Whether flows may be here whose service is served elsewhere by now.
  bool scan_flows_ = false;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_AGENT_H_
