#ifndef SESAMESADDLE_AGENT_FEED_PUBLISHER_H_
#define SESAMESADDLE_AGENT_FEED_PUBLISHER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "agent/request_runner.h"
#include "coap/message.h"
#include "core/endpoint.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "node/outbox.h"

namespace sesamesaddle {

struct FeedOptions {
  /**
   * Delay of the first retransmission of an unacknowledged notification;
   * doubles each time up to `max_retry`.
   */
  Duration initial_retry = std::chrono::milliseconds(400);
  /** Upper bound of the delay; each retransmission has the latest state. */
  Duration max_retry = std::chrono::seconds(2);
  /** A feed ends if this many transmissions stay unacknowledged. */
  int max_sends = 14;
  /** An unchanged state is sent again this often, to detect a failed path. */
  Duration keepalive = std::chrono::seconds(10);
  /** Max-Age: a caller without a notification for this long registers again. */
  Duration max_age = std::chrono::seconds(20);
  /** How long a target may delay the response to a poll if nothing changed. */
  Duration poll_wait = std::chrono::seconds(15);
  Duration initial_poll_retry = std::chrono::milliseconds(200);
  Duration max_poll_retry = std::chrono::seconds(2);
  /** Between polls of a target that sends no entity tag, so never waits. */
  Duration untagged_poll_period = std::chrono::seconds(1);
};

struct FeedCounters {
  int64_t notifications = 0;
  int64_t repeated = 0;  // Retransmissions.
  int64_t acknowledged = 0;
  int64_t given_up = 0;
};

/** The resource that a feed observes: a path of a service. */
struct Topic {
  ServiceId service;
  std::string path;

  friend bool operator<(const Topic& a, const Topic& b) {
    return a.service < b.service || (a.service == b.service && a.path < b.path);
  }
  friend bool operator==(const Topic& a, const Topic& b) {
    return a.service == b.service && a.path == b.path;
  }
};

/** The state of a topic as last read from a target. */
struct TopicState {
  std::string entity_tag;  // Empty if the target sends none.
  std::string content_type;
  std::string body;

  /** Returns the entity tag, or a hash of the body if there is none. */
  std::string Version() const;
};

/** A notification to be encoded and sent to the caller of a flow. */
struct Notification {
  Flow flow;
  std::string token;
  uint32_t sequence = 0;  // Observe value; RFC 7641, section 4.4.
  Duration max_age{};
  std::string path;
  const TopicState* state = nullptr;
  /** The balancer that an unacknowledged notification used before, or zero. */
  Endpoint avoid_balancer;
};

/** How a notification was sent. */
struct SentNotification {
  uint16_t message_id = 0;
  Endpoint balancer;
};

/**
 * Sends notifications to the observers of resources (RFC 7641). A feed is the
 * observation of one topic by one caller; one poll of the target serves all
 * feeds of a topic. Each feed has at most one unacknowledged confirmable
 * notification. Once it is acknowledged or its retransmission is due, the
 * latest state is sent; intermediate states are skipped.
 */
class FeedPublisher {
 public:
  /** Encodes and sends a notification. */
  using Send =
      std::function<SentNotification(const Notification&, Outbox& out)>;

  FeedPublisher(const FeedOptions& options, std::function<CallId()> new_call,
                Send send);

  /** Returns the state of a polled topic, or null if none is current. */
  const TopicState* FindState(const Topic& topic) const;

  /**
   * Adds a feed whose caller is being answered with `state`. Returns the
   * sequence number (Observe value) of that response.
   */
  uint32_t Register(TimePoint now, const Flow& flow, const std::string& token,
                    const Topic& topic, const TopicState& state, Outbox& out);
  void Deregister(const Flow& flow, const std::string& token, Outbox& out);
  /**
   * Handles an acknowledgement, and sends a newer state if there is one.
   * Returns whether the acknowledged message was a notification.
   */
  bool OnAcknowledged(TimePoint now, const Flow& flow, uint16_t message_id,
                      Outbox& out);
  /** Ends the feed whose notification the caller rejected with a reset. */
  void OnReset(const Flow& flow, uint16_t message_id, Outbox& out);
  /** Returns whether the call was a poll of this publisher. */
  bool OnTargetResponse(TimePoint now, CallId id,
                        const TargetResponse& response, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);

  /** Returns the feeds of a flow for a handover; RemoveFlow ends them. */
  std::vector<schema::FeedState> Export(const Flow& flow) const;
  void RemoveFlow(const Flow& flow, Outbox& out);
  /** Takes over a feed and sends its caller the state, read again. */
  void Import(TimePoint now, const Flow& flow, ServiceId service,
              const schema::FeedState& feed, Outbox& out);

  size_t FeedCount(const Flow& flow) const;
  size_t size() const { return count_; }
  const FeedCounters& counters() const { return counters_; }

 private:
  struct Feed {
    std::string token;
    Topic topic;
    uint32_t sequence = 0;
    std::string sent_version;  // Of the state last sent.
    bool awaits_ack = false;   // The last notification is unacknowledged.
    uint16_t message_id = 0;
    Endpoint balancer;  // Through which the notification was sent.
    int sends = 0;
    TimePoint next_send;
    bool has_newer_state = false;
    // Taken over: nothing is sent until the state has been read again.
    bool awaits_reread = false;
  };
  struct Poll {
    TopicState state;
    bool has_state = false;
    CallId call;  // Zero if no poll is in progress.
    TimePoint next_start;
    Duration retry_delay{};
    // The poll in progress has no entity tag, so the target answers at once.
    bool unconditional = false;
    std::set<std::pair<Flow, std::string>> feeds;  // Flow and token.
  };

  Feed* FindFeed(const Flow& flow, const std::string& token);
  Feed* FindAwaitingAck(const Flow& flow, uint16_t message_id);
  void SendLatestState(TimePoint now, const Flow& flow, Feed& feed,
                       Outbox& out);
  void StartPoll(TimePoint now, const Topic& topic, Poll& poll, Outbox& out);
  /** Starts an unconditional poll, for feeds that were taken over. */
  void RereadState(TimePoint now, const Topic& topic, Outbox& out);
  /** Handles a state just read from the target, changed or not. */
  void NotifyFeeds(TimePoint now, Poll& poll, Outbox& out);
  void Remove(const Flow& flow, const std::string& token, Outbox& out);
  Feed& Add(const Flow& flow, const std::string& token, const Topic& topic);

  FeedOptions options_;
  std::function<CallId()> new_call_;
  Send send_;
  std::unordered_map<Flow, std::vector<Feed>> feeds_;
  std::map<Topic, Poll> polls_;
  std::map<CallId, Topic> poll_calls_;
  size_t count_ = 0;
  FeedCounters counters_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_FEED_PUBLISHER_H_
