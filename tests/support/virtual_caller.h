#ifndef SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_CALLER_H_
#define SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_CALLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coap/message.h"
#include "core/endpoint.h"
#include "core/random.h"
#include "core/time.h"

namespace sesamesaddle {

/** How a request ended, as its caller saw it. */
enum class RequestOutcome {
  kPending,
  kAnswered,
  kNotRun,
  kUnknown,
  kError,
  kNoResponse
};

struct CallerRequest {
  std::string id;
  coap::Code method = coap::Code::kGet;
  RequestOutcome outcome = RequestOutcome::kPending;
  std::string body;
  TimePoint started;
  TimePoint ended;
};

/**
 * A simulated CoAP client: retransmits confirmable messages (RFC 7252, 4.2),
 * answers Echo challenges, acknowledges notifications and registers its feed
 * again when no notification has arrived for longer than Max-Age.
 */
class VirtualCaller {
 public:
  using Send = std::function<void(const Flow& flow, std::string datagram)>;

  VirtualCaller(const Flow& flow, RandomSource& random, Send send);

  /** Maximum transmissions of a message: MAX_RETRANSMIT + 1. */
  int max_sends = 5;

  /** Sends a request for "/item?id=ID" (GET) or "/orders?id=ID" (POST). */
  void Start(TimePoint now, coap::Code method, const std::string& id);
  void StartFeed(TimePoint now, const std::string& path);
  void OnDatagram(TimePoint now, const std::string& bytes);
  void OnTick(TimePoint now);

  const Flow& flow() const { return flow_; }
  const std::vector<CallerRequest>& requests() const { return requests_; }
  bool idle() const { return sent_.empty(); }
  /** Returns the times and versions of the received notifications. */
  const std::vector<std::pair<TimePoint, int64_t>>& notifications() const {
    return notifications_;
  }
  int feed_registrations() const { return feed_registrations_; }
  /** Returns the longest time without a notification since the feed started. */
  Duration LongestSilence(TimePoint now) const;

 private:
  struct Sent {
    size_t request = 0;
    std::string bytes;
    std::string token;
    TimePoint next_send;
    Duration timeout;
    int sends = 1;
  };

  void SendRequest(TimePoint now, size_t index, const std::string& echo);
  void Transmit(TimePoint now, uint16_t message_id, Sent sent);
  void OnResponse(TimePoint now, size_t index, const coap::Message& message);
  void OnFeedMessage(TimePoint now, const coap::Message& message);

  Flow flow_;
  RandomSource& random_;
  Send send_;
  uint16_t next_message_id_;
  uint64_t next_token_ = 1;
  std::map<uint16_t, Sent> sent_;
  std::vector<CallerRequest> requests_;
  std::string feed_token_;
  std::string feed_path_;
  TimePoint feed_started_;
  TimePoint feed_registered_;
  int feed_registrations_ = 0;
  uint32_t feed_sequence_ = 0;
  std::vector<std::pair<TimePoint, int64_t>> notifications_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_CALLER_H_
