#ifndef SESAMESADDLE_AGENT_LENDER_H_
#define SESAMESADDLE_AGENT_LENDER_H_

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
 * The memory of requests that other agents asked this one to run: each is run
 * at most once, however often it is asked for, and its answer is handed out in
 * parts on demand. A refusal is remembered as well, so that a repeated message
 * does not run what its sender has sent elsewhere since.
 */
class Lender {
 public:
  static constexpr Duration kRetention = std::chrono::seconds(120);
  /** Bodies go earlier; a fetch after that gets "unknown". */
  static constexpr Duration kBodyRetention = std::chrono::seconds(20);
  static constexpr size_t kPartBytes = 1100;

  struct Request {
    Endpoint from;
    MemberId sender;
    int64_t call = 0;  // The sender's number.
    CallId local;      // Our number while it runs.
    TimePoint started;
    TimePoint deadline;
    schema::RunOutcome::type outcome = schema::RunOutcome::kAccepted;
    int status = 0;
    std::string content_type;
    std::string entity_tag;
    std::string body;
    TimePoint finished_at;
  };

  explicit Lender(MemberId self) : self_(self) {}

  /** @return the request if it is known already, or null. */
  Request* Find(MemberId sender, int64_t call);
  Request* FindLocal(CallId local);
  Request& Add(Request request);
  /** Notes the outcome and tells the sender. */
  void Finish(TimePoint now, Request& request, schema::RunOutcome::type outcome,
              Outbox& out);
  /** Sends what is known of the request from byte `offset` on. */
  void Report(const Request& request, int32_t offset, Outbox& out) const;
  /** @return running requests whose deadline has passed. */
  std::vector<CallId> Expired(TimePoint now) const;
  void Forget(TimePoint now);
  size_t running() const { return local_.size(); }

 private:
  using Key = std::pair<MemberId, int64_t>;

  MemberId self_;
  std::map<Key, Request> requests_;
  std::map<CallId, Key> local_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_LENDER_H_
