#ifndef SESAMESADDLE_AGENT_REQUEST_RUNNER_H_
#define SESAMESADDLE_AGENT_REQUEST_RUNNER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent/lender.h"
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

/** A request to be run on some target of its service. */
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

/** What a job ended with. */
struct JobResult {
  enum class Kind { kAnswered, kNotRun, kUnknown };
  Kind kind = Kind::kUnknown;
  int status = 0;  // HTTP, if answered.
  std::string content_type;
  std::string entity_tag;
  std::string body;
  NotRunReason not_run = NotRunReason::kNoTarget;
  UnknownReason unknown = UnknownReason::kAnswerLost;
};

/** The answer of a target, or how far the call got. */
struct TargetAnswer {
  enum class Kind { kComplete, kNotSent, kLost, kTruncated };
  Kind kind = Kind::kNotSent;
  int status = 0;
  bool shed = false;  // The target says that it did not run the request.
  std::string content_type;
  std::string entity_tag;
  std::string body;
};

struct RunnerOptions {
  size_t slots = 1;
  size_t queue_limit = 64;
  /** Off only to measure what lending is for. */
  bool offload = true;
  int max_attempts = 3;
  Duration lent_retry = std::chrono::milliseconds(150);
  /** A lender that is silent this long is given up. */
  Duration lent_silence = std::chrono::milliseconds(1500);
  /** A peer gets work while we have a free slot if we did this much more. */
  double work_excess = 1.1;
};

struct RunnerCounters {
  int64_t run_here = 0;
  int64_t lent_out = 0;
  int64_t run_for_others = 0;
  int64_t refused = 0;
  int64_t unknown = 0;
  int64_t retried = 0;
  int64_t completed = 0;  // On this target, for whomever.
};

/**
 * Runs requests on the targets of their service: here, or on an agent that has
 * free slots, so that the slots of a service serve as one pool. Keeps the
 * target's limit, deadlines, and the rules of what may be retried.
 */
class RequestRunner {
 public:
  RequestRunner(ControlPlane& control, LoadView& loads, PeerLiveness& liveness,
                const RunnerOptions& options);

  void Submit(TimePoint now, Job job, Outbox& out);
  /** The caller lost interest. */
  void Cancel(TimePoint now, CallId id, Outbox& out);
  void OnTargetAnswer(TimePoint now, CallId id, TargetAnswer answer,
                      Outbox& out);
  void OnRunRequest(TimePoint now, const Endpoint& from,
                    const schema::RunRequest& request, Outbox& out);
  void OnRunResult(TimePoint now, const schema::RunResult& result, Outbox& out);
  void OnRunFetch(TimePoint now, const Endpoint& from,
                  const schema::RunFetch& fetch, Outbox& out);
  void OnRunCancel(TimePoint now, const schema::RunCancel& cancel, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);
  /** Requests of a service that run here now may do so until `limit`. */
  void LimitRunning(ServiceId service, TimePoint limit);
  void OnMemberGone(TimePoint now, MemberId member, Outbox& out);

  /** @return jobs that have ended since the last call. */
  std::vector<std::pair<CallId, JobResult>> TakeFinished() {
    return std::exchange(finished_, {});
  }

  CallId NewCallId() { return CallId(next_call_++); }
  /** Whether this agent takes work for its target. */
  bool Accepting(TimePoint now) const;
  bool TargetEjected(TimePoint now) const { return health_.Ejected(now); }
  size_t unfinished() const { return jobs_.size() + lender_.running(); }
  const WorkQueue& queue() const { return queue_; }
  const RunnerCounters& counters() const { return counters_; }

 private:
  enum class Phase { kWaiting, kHere, kLent };
  struct Entry {
    Job job;
    Phase phase = Phase::kWaiting;
    TimePoint started;
    int attempts = 0;
    std::set<MemberId> tried;
    NotRunReason refusal = NotRunReason::kNoTarget;  // Of the last attempt.
    // An attempt of an idempotent request was given up on.
    bool may_have_run = false;
    UnknownReason unknown = UnknownReason::kAnswerLost;
    // While lent:
    MemberId lender;
    int64_t lent_call = 0;  // Differs for each attempt.
    TimePoint next_send;
    TimePoint last_heard;
    std::string received;
  };

  void Dispatch(TimePoint now, Entry& entry, Outbox& out);
  bool PreferPeer(TimePoint now, const Entry& entry, MemberId* peer);
  void EndAttempt(Entry& entry);
  MemberId ChoosePeer(TimePoint now, const Entry& entry);
  void StartHere(TimePoint now, Entry& entry, Outbox& out);
  void Lend(TimePoint now, Entry& entry, MemberId peer, Outbox& out);
  void SendRunRequest(TimePoint now, Entry& entry, Outbox& out);
  void CancelLent(const Entry& entry, Outbox& out);
  void AssembleAnswer(TimePoint now, Entry& entry,
                      const schema::RunResult& result, Outbox& out);
  void RetryNotRun(TimePoint now, Entry& entry, NotRunReason reason,
                   Outbox& out);
  void GiveUpUnknown(TimePoint now, Entry& entry, UnknownReason reason,
                     Outbox& out);
  void Finish(Entry& entry, JobResult result);
  void FinishUnknown(Entry& entry);
  void FinishNotRun(Entry& entry, NotRunReason reason);
  void FinishHere(TimePoint now, Entry& entry, TargetAnswer answer,
                  Outbox& out);
  void FreeSlot(TimePoint now, TimePoint started, Outbox& out);
  void PumpQueue(TimePoint now, Outbox& out);
  void ExpireJobs(TimePoint now, Outbox& out);
  void CheckLent(TimePoint now, Outbox& out);
  void NoteHealth(TimePoint now, const TargetAnswer& answer);
  bool MayEject(TimePoint now) const;

  ControlPlane& control_;
  LoadView& loads_;
  PeerLiveness& liveness_;
  RunnerOptions options_;
  WorkQueue queue_;
  RetryBudget budget_;
  TargetHealth health_;
  Lender lender_;
  std::map<CallId, Entry> jobs_;
  std::map<int64_t, CallId> lent_calls_;
  std::vector<std::pair<CallId, JobResult>> finished_;
  RunnerCounters counters_;
  int64_t next_call_ = 1;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_REQUEST_RUNNER_H_
