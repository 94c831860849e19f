#ifndef SESAMESADDLE_SERVING_REQUEST_DEDUPLICATION_H_
#define SESAMESADDLE_SERVING_REQUEST_DEDUPLICATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "serving/echo_authority.h"

namespace sesamesaddle {

/** One message of one flow; RFC 7252, section 4.5. */
struct MessageKey {
  Flow flow;
  uint16_t message_id = 0;

  friend bool operator==(const MessageKey& a, const MessageKey& b) {
    return a.flow == b.flow && a.message_id == b.message_id;
  }
};

struct MessageKeyHash {
  size_t operator()(const MessageKey& key) const noexcept {
    return HashFlow(key.flow) ^ key.message_id;
  }
};

/**
 * Answers of recent messages, so that a repeated message is not run again.
 * Messages without an answer yet are pinned; answered ones go when they are
 * old, or when there are too many.
 */
class MessageDeduplicator {
 public:
  static constexpr Duration kRetention = std::chrono::seconds(60);

  explicit MessageDeduplicator(size_t capacity) : capacity_(capacity) {}

  enum class State {
    kNew,
    kRunning,
    kAnswered,
    kDelivered,  // The caller has shown that it got the answer.
  };

  /** Notes a message that arrived; `answer` is set if it is answered. */
  State Begin(TimePoint now, const MessageKey& key, std::string* answer);
  void Finish(TimePoint now, const MessageKey& key, std::string answer);
  /** The caller goes on from the answer: a repetition is only late. */
  void MarkDelivered(const MessageKey& key);
  /** The message was not taken up after all. */
  void Abandon(const MessageKey& key) { entries_.erase(key); }
  void Expire(TimePoint now);
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    bool answered = false;
    std::string answer;
    TimePoint at;
    bool confirmed = false;
  };

  size_t capacity_;
  std::unordered_map<MessageKey, Entry, MessageKeyHash> entries_;
  std::deque<std::pair<TimePoint, MessageKey>> answered_;
};

/** What is remembered of a non-idempotent request. */
struct RememberedRequest {
  Flow flow;
  uint64_t digest = 0;  // Of method, path and body.
  bool answered = false;
  std::string answer;  // Code, options and payload; see coap::Message.
  TimePoint at;        // Of the start, then of the answer.
};

/**
 * Every request that was run under an Echo value this owner accepts, kept for
 * longer than it accepts the value. Entries without an answer are never
 * dropped: dropping one could let the request run twice.
 */
class RequestDeduplicator {
 public:
  enum class State {
    kNew,              // The nonce is taken now; the request is to be run.
    kRunning,          // The same request is running.
    kAnswered,         // The same request was answered.
    kRequestMismatch,  // Another request was run under this value.
  };

  State Begin(TimePoint now, EchoNonce nonce, const Flow& flow,
              uint64_t digest);
  const RememberedRequest* Find(EchoNonce nonce) const;
  void Finish(TimePoint now, EchoNonce nonce, std::string answer);
  /** The request certainly did not run; the value may be used again. */
  void Abandon(EchoNonce nonce) { entries_.erase(nonce); }
  /** Takes over what an earlier owner remembered. */
  void Import(TimePoint now, EchoNonce nonce, RememberedRequest request);
  /** The entries of one flow, for handing it over. */
  std::vector<std::pair<EchoNonce, RememberedRequest>> FindByFlow(
      const Flow& flow) const;
  void Expire(TimePoint now);
  size_t size() const { return entries_.size(); }

 private:
  std::map<EchoNonce, RememberedRequest> entries_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_REQUEST_DEDUPLICATION_H_
