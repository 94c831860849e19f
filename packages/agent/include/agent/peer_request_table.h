#ifndef SESAMESADDLE_AGENT_PEER_REQUEST_TABLE_H_
#define SESAMESADDLE_AGENT_PEER_REQUEST_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "node/outbox.h"

namespace sesamesaddle {

/**
 * Requests that this agent runs on behalf of peers. Each runs at most once,
 * however often its message is repeated, and its answer is sent in parts on
 * demand. Refusals are stored too, so that a repeated message does not run a
 * request that its sender has since sent to another agent.
 */
class PeerRequestTable {
 public:
  static constexpr Duration kRetention = std::chrono::seconds(120);
  /** Bodies are dropped earlier; a fetch after that returns kUnknown. */
  static constexpr Duration kBodyRetention = std::chrono::seconds(20);
  static constexpr size_t kPartBytes = 1100;

  struct Request {
    Endpoint sender_endpoint;
    MemberId sender;
    int64_t call = 0;   // Assigned by the sender.
    CallId local_call;  // Call to the local target while the request runs.
    TimePoint started;
    TimePoint deadline;
    schema::RunOutcome::type outcome = schema::RunOutcome::kAccepted;
    int status = 0;
    std::string content_type;
    std::string entity_tag;
    std::string body;
    TimePoint finished_at;
  };

  explicit PeerRequestTable(MemberId self) : self_(self) {}

  /** Returns the request, or null if it is not stored. */
  Request* Find(MemberId sender, int64_t call);
  Request* FindRunning(CallId local_call);
  Request& Add(Request request);
  /** Records the outcome and sends it to the sender. */
  void Finish(TimePoint now, Request& request, schema::RunOutcome::type outcome,
              Outbox& out);
  /** Sends the request's state and a part of its body that starts at `offset`.
   */
  void SendResult(const Request& request, int32_t offset, Outbox& out) const;
  /** Returns the running requests whose deadline has passed. */
  std::vector<CallId> Expired(TimePoint now) const;
  /** Drops bodies and finished requests past their retention times. */
  void Expire(TimePoint now);
  size_t running() const { return running_.size(); }

 private:
  using Key = std::pair<MemberId, int64_t>;

  MemberId self_;
  std::map<Key, Request> requests_;
  std::map<CallId, Key> running_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_PEER_REQUEST_TABLE_H_
