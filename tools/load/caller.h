#ifndef SESAMESADDLE_TOOLS_LOAD_CALLER_H_
#define SESAMESADDLE_TOOLS_LOAD_CALLER_H_

#include <coap3/coap.h>

#include <cstdint>
#include <string>

#include "core/endpoint.h"
#include "core/time.h"
#include "report.h"

namespace sesamesaddle {

/** Kind of request that a caller sends. */
enum class RequestKind { kRead, kLarge, kWrite };

struct CallerOptions {
  std::string service;  // Name that responses must contain.
  Endpoint address;
  bool feed = false;
  /** Longest time without a notification before a flow counts as broken. */
  Duration feed_bound = std::chrono::seconds(5);
  Duration request_timeout = std::chrono::seconds(40);
};

/**
 * One caller: a libcoap session with one request at a time and an optional
 * feed.
 */
class Caller {
 public:
  Caller(coap_context_t* context, CallerOptions options, Report& report);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  bool idle() const { return !busy_; }
  const CallerOptions& options() const { return options_; }

  void StartRequest(TimePoint now, RequestKind kind, int64_t id,
                    size_t large_bytes);
  void StartFeed(TimePoint now);
  void OnTick(TimePoint now, bool stopping);
  /** Handles a response from libcoap; `now` is its time of arrival. */
  void OnResponse(TimePoint now, const coap_pdu_t* received);
  /** Handles a message that libcoap gave up on or that was reset. */
  void OnNack(const coap_pdu_t* sent);
  /** Counts a request still in flight as unanswered. */
  void Finish();

 private:
  struct Request {
    RequestKind kind = RequestKind::kRead;
    int64_t id = 0;
    size_t bytes = 0;
    TimePoint started;
    std::string token;
    int single_blocks = 0;
  };

  std::string Send(const std::string& token, coap_pdu_code_t code,
                   const std::string& path, const std::string& query,
                   bool observe, const std::string& echo);
  void SendRequest(const std::string& echo);
  void OnFeedResponse(TimePoint now, const coap_pdu_t* received);
  bool IsNewer(TimePoint now, const std::string& observe);
  /**
   * Handles a single block of a large response by sending the request again.
   * libcoap delivers a single block and abandons the transfer if a duplicate
   * block arrives during it, which a network may cause at any time.
   */
  void OnSingleBlock(const std::string& block, size_t offset);
  /** Returns whether the block is part of this request's response. */
  bool IsBlockOfRequest(const std::string& block, size_t offset) const;
  void EndRequest(TimePoint now, const coap_pdu_t* received);
  bool IsCompleteResponse(const std::string& body) const;
  void MarkBroken(const std::string& reason);

  CallerOptions options_;
  Report& report_;
  coap_session_t* session_;
  bool busy_ = false;
  bool broken_ = false;
  int challenges_ = 0;
  Request request_;
  std::string feed_token_;
  TimePoint feed_requested_{};
  TimePoint last_notification_{};
  uint32_t feed_sequence_ = 0;
  int64_t feed_version_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_LOAD_CALLER_H_
