#ifndef SESAMESADDLE_AGENT_REQUEST_RUNNER_H_
#define SESAMESADDLE_AGENT_REQUEST_RUNNER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent/peer_request_table.h"
#include "coap/message.h"
#include "node/control_plane.h"
#include "node/outbox.h"
#include "routing/load_view.h"
#include "routing/peer_liveness.h"
#include "serving/answer.h"
#include "serving/retry_budget.h"
#include "serving/target_health.h"
#include "serving/work_queue.h"

namespace sesamesaddle {

/** A request to run on one of its service's targets. */
struct Job {
  CallId id;
  ServiceId service;
  coap::Code method = coap::Code::kGet;
  std::string path;
  std::string body;
  schema::Priority::type priority = schema::Priority::kNormal;
  TimePoint deadline;

  bool idempotent() const { return IsIdempotent(method); }
};

/** The outcome of a job. */
struct JobResult {
  enum class Kind { kAnswered, kNotRun, kUnknown };
  Kind kind = Kind::kUnknown;
  int status = 0;  // HTTP status code if kAnswered.
  std::string content_type;
  std::string entity_tag;
  std::string body;
  NotRunReason not_run_reason = NotRunReason::kNoTarget;
  UnknownReason unknown_reason = UnknownReason::kAnswerLost;
};

/** The HTTP response of a target, or the stage at which the call failed. */
struct TargetResponse {
  enum class Kind { kComplete, kNotSent, kLost, kTruncated };
  Kind kind = Kind::kNotSent;
  int status = 0;
  bool shed = false;  // The target reports that it did not run the request.
  std::string content_type;
  std::string entity_tag;
  std::string body;
};

struct RunnerOptions {
  size_t slots = 1;
  size_t queue_limit = 64;
  /** Offloads requests to balance load; off only to measure its effect. */
  bool offload = true;
  int max_attempts = 3;
  /** Interval at which an offloaded request is sent again. */
  Duration offload_retry = std::chrono::milliseconds(150);
  /** An offload attempt ends if its peer sends no result for this long. */
  Duration offload_timeout = std::chrono::milliseconds(1500);
  /**
   * A request is offloaded despite a free local slot if the local work per
   * slot is more than this factor of the peer's.
   */
  double offload_work_ratio = 1.1;
};

struct RunnerCounters {
  int64_t run_here = 0;        // Attempts on the local target.
  int64_t lent_out = 0;        // Attempts offloaded to peers.
  int64_t run_for_others = 0;  // Requests of peers on the local target.
  int64_t refused = 0;
  int64_t unknown = 0;
  int64_t retried = 0;
  int64_t completed = 0;  // On the local target, for this agent or a peer.
};

/**
 * Runs requests on the targets of their service: on the local target, or
 * offloaded to an agent with free slots, so that the slots of a service form
 * one pool. Enforces the target's concurrency limit, deadlines and the retry
 * rules.
 */
class RequestRunner {
 public:
  RequestRunner(ControlPlane& control, LoadView& loads, PeerLiveness& liveness,
                const RunnerOptions& options);

  void Submit(TimePoint now, Job job, Outbox& out);
  /** Cancels a job whose result is no longer needed. */
  void Cancel(TimePoint now, CallId id, Outbox& out);
  void OnTargetResponse(TimePoint now, CallId id, TargetResponse response,
                        Outbox& out);
  void OnRunRequest(TimePoint now, const Endpoint& from,
                    const schema::RunRequest& request, Outbox& out);
  void OnRunResult(TimePoint now, const schema::RunResult& result, Outbox& out);
  void OnRunFetch(TimePoint now, const Endpoint& from,
                  const schema::RunFetch& fetch, Outbox& out);
  void OnRunCancel(TimePoint now, const schema::RunCancel& cancel, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);
  /** Caps the deadlines of a service's locally running requests at `limit`. */
  void LimitRunningDeadlines(ServiceId service, TimePoint limit);
  void OnMemberGone(TimePoint now, MemberId member, Outbox& out);

  /** Returns the jobs that have ended since the last call. */
  std::vector<std::pair<CallId, JobResult>> TakeFinished() {
    return std::exchange(finished_, {});
  }

  CallId NewCallId() { return CallId(next_call_++); }
  /** Returns whether this agent accepts work for its target. */
  bool Accepting(TimePoint now) const;
  bool TargetEjected(TimePoint now) const { return health_.Ejected(now); }
  size_t unfinished() const { return jobs_.size() + peer_requests_.running(); }
  const WorkQueue& queue() const { return queue_; }
  const RunnerCounters& counters() const { return counters_; }

 private:
  enum class Phase { kWaiting, kLocal, kOffloaded };
  struct Entry {
    Job job;
    Phase phase = Phase::kWaiting;
    TimePoint started;
    int attempts = 0;
    std::set<MemberId> tried;
    NotRunReason last_refusal = NotRunReason::kNoTarget;
    // An earlier attempt of this idempotent request ended with unknown outcome.
    bool may_have_run = false;
    UnknownReason unknown_reason = UnknownReason::kAnswerLost;
    // While offloaded:
    MemberId peer;
    int64_t offload_id = 0;  // Unique for each attempt.
    TimePoint next_send;
    TimePoint last_result_at;
    std::string received_body;
  };

  void Dispatch(TimePoint now, Entry& entry, Outbox& out);
  /**
   * Returns whether `peer` should run the request although a local slot is
   * free, which balances work over targets when flow owners have unequal load.
   */
  bool PreferPeer(TimePoint now, const Entry& entry, MemberId* peer);
  void EndAttempt(Entry& entry);
  MemberId ChoosePeer(TimePoint now, const Entry& entry);
  void StartLocally(TimePoint now, Entry& entry, Outbox& out);
  void Offload(TimePoint now, Entry& entry, MemberId peer, Outbox& out);
  void SendRunRequest(TimePoint now, Entry& entry, Outbox& out);
  void CancelOffloaded(const Entry& entry, Outbox& out);
  void AssembleResponse(TimePoint now, Entry& entry,
                        const schema::RunResult& result, Outbox& out);
  /** Handles an attempt that did not run: another target may run the job. */
  void RetryOrFinishNotRun(TimePoint now, Entry& entry, NotRunReason reason,
                           Outbox& out);
  /** Handles an attempt that may have run: only idempotent jobs are retried. */
  void RetryOrFinishUnknown(TimePoint now, Entry& entry, UnknownReason reason,
                            Outbox& out);
  void Finish(Entry& entry, JobResult result);
  void FinishUnknown(Entry& entry);
  void FinishNotRun(Entry& entry, NotRunReason reason);
  void OnLocalResponse(TimePoint now, Entry& entry, TargetResponse response,
                       Outbox& out);
  void FreeSlot(TimePoint now, TimePoint started, Outbox& out);
  void DispatchQueued(TimePoint now, Outbox& out);
  void ExpireJobs(TimePoint now, Outbox& out);
  void CheckOffloaded(TimePoint now, Outbox& out);
  void RecordTargetHealth(TimePoint now, const TargetResponse& response);
  /**
   * Returns whether the local target may be ejected: at least two thirds (or
   * all but one) of each service's agents must keep accepting work.
   */
  bool MayEject(TimePoint now) const;

  ControlPlane& control_;
  LoadView& loads_;
  PeerLiveness& liveness_;
  RunnerOptions options_;
  WorkQueue queue_;
  RetryBudget budget_;
  TargetHealth health_;
  PeerRequestTable peer_requests_;
  std::map<CallId, Entry> jobs_;
  std::map<int64_t, CallId> offloaded_jobs_;
  std::vector<std::pair<CallId, JobResult>> finished_;
  RunnerCounters counters_;
  int64_t next_call_ = 1;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_REQUEST_RUNNER_H_
