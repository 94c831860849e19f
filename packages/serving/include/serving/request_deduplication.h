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

/** Identifies a message of a flow (RFC 7252, section 4.5). */
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
 * Stores the responses to recent messages, so that a retransmitted message is
 * not run again. Messages without a response are always kept; answered ones are
 * removed by age, or oldest first when there are more than the capacity.
 */
class MessageDeduplicator {
 public:
  static constexpr Duration kRetention = std::chrono::seconds(60);

  explicit MessageDeduplicator(size_t capacity) : capacity_(capacity) {}

  enum class State {
    kNew,
    kRunning,
    kAnswered,
    kDelivered,  // The caller is known to have received the response.
  };

  /** Records a received message; sets `answer` if it is already answered. */
  State Begin(TimePoint now, const MessageKey& key, std::string* answer);
  /** Stores the response to a message. */
  void Finish(TimePoint now, const MessageKey& key, std::string answer);
  /**
   * Marks the response as received by the caller; a later copy of the message
   * is then a delayed duplicate.
   */
  void MarkDelivered(const MessageKey& key);
  /** Removes a message that was not accepted. */
  void Abandon(const MessageKey& key) { entries_.erase(key); }
  void Expire(TimePoint now);
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    bool answered = false;
    std::string answer;
    TimePoint at;
    bool delivered = false;
  };

  size_t capacity_;
  std::unordered_map<MessageKey, Entry, MessageKeyHash> entries_;
  std::deque<std::pair<TimePoint, MessageKey>> answered_;
};

/** The record of a non-idempotent request. */
struct RememberedRequest {
  Flow flow;
  uint64_t digest = 0;  // Of method, path and body.
  bool answered = false;
  std::string answer;  // Code, options and payload; see coap::Message.
  TimePoint at;        // Time of the start, then of the response.
};

/**
 * Records the requests that were run under Echo values this owner accepts, for
 * longer than it accepts the values. Entries without a response are never
 * expired, since the request could then run twice.
 */
class RequestDeduplicator {
 public:
  enum class State {
    kNew,              // The nonce was unused; the request is to be run.
    kRunning,          // The same request is running.
    kAnswered,         // The same request has been answered.
    kRequestMismatch,  // Another request was run under this value.
  };

  /** Records a request under a nonce and returns its state before that. */
  State Begin(TimePoint now, EchoNonce nonce, const Flow& flow,
              uint64_t digest);
  const RememberedRequest* Find(EchoNonce nonce) const;
  void Finish(TimePoint now, EchoNonce nonce, std::string answer);
  /** Removes a request that was not run; the value may be used again. */
  void Abandon(EchoNonce nonce) { entries_.erase(nonce); }
  /** Adds a request that was recorded by an earlier owner. */
  void Import(TimePoint now, EchoNonce nonce, RememberedRequest request);
  /** Returns the entries of one flow, for its handover. */
  std::vector<std::pair<EchoNonce, RememberedRequest>> FindByFlow(
      const Flow& flow) const;
  void Expire(TimePoint now);
  size_t size() const { return entries_.size(); }

 private:
  std::map<EchoNonce, RememberedRequest> entries_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_REQUEST_DEDUPLICATION_H_
