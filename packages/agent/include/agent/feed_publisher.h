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
  /** First repetition of an unacknowledged notification; doubles each time...
   */
  Duration first_retry = std::chrono::milliseconds(400);
  /** ...up to this: each repetition carries the newest state. */
  Duration longest_retry = std::chrono::seconds(2);
  int max_sends = 14;
  /** A feed without news repeats its state, to find a silent path. */
  Duration keepalive = std::chrono::seconds(10);
  /** A caller that hears nothing for this long registers again. */
  Duration max_age = std::chrono::seconds(20);
  /** How long a target may hold a poll without news. */
  Duration poll_wait = std::chrono::seconds(15);
  Duration first_poll_retry = std::chrono::milliseconds(200);
  Duration longest_poll_retry = std::chrono::seconds(2);
  /** Between polls of a target that gives no entity tag, so never waits. */
  Duration untagged_poll = std::chrono::seconds(1);
};

struct FeedCounters {
  int64_t notifications = 0;
  int64_t repeated = 0;
  int64_t acknowledged = 0;
  int64_t given_up = 0;
};

/** What a feed shows: the state of a path of a service. */
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

/** The state of a topic as the target last gave it. */
struct TopicState {
  std::string entity_tag;  // Empty if the target gives none.
  std::string content_type;
  std::string body;

  /** The entity tag, or a hash of the body in its place. */
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
  /** The balancer that the unacknowledged one before went through, or zero. */
  Endpoint avoid;
};

/** How a notification was sent. */
struct SentNotification {
  uint16_t message_id = 0;
  Endpoint balancer;
};

/**
 * Live feeds (RFC 7641). One poll of the target serves all feeds of a topic.
 * Each feed has one confirmable notification under way; when it is
 * acknowledged or repeated, the newest state goes out, older ones are skipped.
 */
class FeedPublisher {
 public:
  /** Encodes and sends. */
  using Send =
      std::function<SentNotification(const Notification&, Outbox& out)>;

  FeedPublisher(const FeedOptions& options, std::function<CallId()> new_call,
                Send send);

  /** @return the state of a topic that is being polled, or null. */
  const TopicState* Find(const Topic& topic) const;

  /**
   * Adds a feed whose caller has just been given `state`.
   * @return the sequence number of that answer
   */
  uint32_t Register(TimePoint now, const Flow& flow, const std::string& token,
                    const Topic& topic, const TopicState& state, Outbox& out);
  void Deregister(const Flow& flow, const std::string& token, Outbox& out);
  /** The caller acknowledged a notification. @return whether it was one. */
  bool OnAcknowledged(TimePoint now, const Flow& flow, uint16_t message_id,
                      Outbox& out);
  /** The caller does not know the feed any more. */
  void OnReset(const Flow& flow, uint16_t message_id, Outbox& out);
  /** @return whether the call was a poll of ours. */
  bool OnTargetAnswer(TimePoint now, CallId id, const TargetAnswer& answer,
                      Outbox& out);
  void OnTick(TimePoint now, Outbox& out);

  /** The feeds of a flow, for handing them over; they end here. */
  std::vector<schema::FeedState> Export(const Flow& flow) const;
  void RemoveFlow(const Flow& flow, Outbox& out);
  /** Takes over a feed; the caller gets the newest state at once. */
  void Import(TimePoint now, const Flow& flow, ServiceId service,
              const schema::FeedState& feed, Outbox& out);

  size_t CountOf(const Flow& flow) const;
  size_t size() const { return count_; }
  const FeedCounters& counters() const { return counters_; }

 private:
  struct Feed {
    std::string token;
    Topic topic;
    uint32_t sequence = 0;
    std::string sent_version;  // Of the state last sent.
    bool pending = false;      // A notification waits for its acknowledgement.
    uint16_t message_id = 0;
    Endpoint balancer;  // That the notification went through.
    int sends = 0;
    TimePoint next_send;
    bool has_news = false;
    // Taken over: waits for a state that was read after that.
    bool awaits_fresh = false;
  };
  struct Poll {
    TopicState state;
    bool known = false;  // Whether `state` was ever filled.
    CallId call;         // Zero if no poll is under way.
    TimePoint next_start;
    Duration retry{};
    bool fresh = false;  // The poll under way asks for the state at once.
    std::set<std::pair<Flow, std::string>> feeds;  // Flow and token.
  };

  Feed* FindFeed(const Flow& flow, const std::string& token);
  Feed* FindPending(const Flow& flow, uint16_t message_id);
  void SendNewest(TimePoint now, const Flow& flow, Feed& feed, Outbox& out);
  void StartPoll(TimePoint now, const Topic& topic, Poll& poll, Outbox& out);
  void Refresh(TimePoint now, const Topic& topic, Outbox& out);
  void OnState(TimePoint now, Poll& poll, Outbox& out);
  void Remove(const Flow& flow, const std::string& token, Outbox& out);
  Feed& Add(const Flow& flow, const std::string& token, const Topic& topic);

  FeedOptions options_;
  std::function<CallId()> new_call_;
  Send send_;
  std::unordered_map<Flow, std::vector<Feed>> feeds_;
  std::map<Topic, Poll> polls_;
  std::map<CallId, Topic> calls_;
  size_t count_ = 0;
  FeedCounters counters_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_FEED_PUBLISHER_H_
