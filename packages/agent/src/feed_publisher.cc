#include "agent/feed_publisher.h"

#include <algorithm>

#include "core/hash.h"

namespace sesamesaddle {
namespace {

constexpr int kNotModified = 304;
constexpr int kOk = 200;
constexpr uint32_t kSequenceMask = 0xffffff;  // RFC 7641, section 4.4.
// Notifications that the previous owner may have sent after it handed the feed
// over.
constexpr uint32_t kHandoverSequenceGap = 16;

}  // namespace

FeedPublisher::FeedPublisher(const FeedOptions& options,
                             std::function<CallId()> new_call, Send send)
    : options_(options),
      new_call_(std::move(new_call)),
      send_(std::move(send)) {}

std::string TopicState::Version() const {
  return entity_tag.empty() ? std::to_string(Hash64(body)) : entity_tag;
}

const TopicState* FeedPublisher::FindState(const Topic& topic) const {
  const auto it = polls_.find(topic);
  const bool current = it != polls_.end() && it->second.has_state &&
                       it->second.retry_delay == Duration::zero();
  return current ? &it->second.state : nullptr;
}

uint32_t FeedPublisher::Register(TimePoint now, const Flow& flow,
                                 const std::string& token, const Topic& topic,
                                 const TopicState& state, Outbox& out) {
  Feed* existing = FindFeed(flow, token);
  if (existing != nullptr && !(existing->topic == topic)) {
    Remove(flow, token, out);
    existing = nullptr;
  }
  Feed& feed = existing != nullptr ? *existing : Add(flow, token, topic);
  feed.sequence = (feed.sequence + 1) & kSequenceMask;
  feed.sent_version = state.Version();
  feed.awaits_ack = false;
  feed.has_newer_state = false;
  feed.next_send = now + options_.keepalive;
  Poll& poll = polls_[topic];
  if (!poll.has_state) {
    poll.state = state;
    poll.has_state = true;
  }
  if (poll.call == CallId() && now >= poll.next_start) {
    StartPoll(now, topic, poll, out);
  }
  return feed.sequence;
}

void FeedPublisher::Deregister(const Flow& flow, const std::string& token,
                               Outbox& out) {
  Remove(flow, token, out);
}

bool FeedPublisher::OnAcknowledged(TimePoint now, const Flow& flow,
                                   uint16_t message_id, Outbox& out) {
  Feed* feed = FindAwaitingAck(flow, message_id);
  if (feed == nullptr) return false;
  ++counters_.acknowledged;
  feed->awaits_ack = false;
  feed->sends = 0;
  feed->next_send = now + options_.keepalive;
  if (feed->has_newer_state) SendLatestState(now, flow, *feed, out);
  return true;
}

void FeedPublisher::OnReset(const Flow& flow, uint16_t message_id,
                            Outbox& out) {
  const Feed* feed = FindAwaitingAck(flow, message_id);
  if (feed != nullptr) Remove(flow, std::string(feed->token), out);
}

bool FeedPublisher::OnTargetResponse(TimePoint now, CallId id,
                                     const TargetResponse& response,
                                     Outbox& out) {
  const auto call = poll_calls_.find(id);
  if (call == poll_calls_.end()) return false;
  const Topic topic = call->second;
  poll_calls_.erase(call);
  const auto it = polls_.find(topic);
  if (it == polls_.end()) return true;
  Poll& poll = it->second;
  poll.call = CallId();
  const bool whole = response.kind == TargetResponse::Kind::kComplete;
  if (whole && (response.status == kOk || response.status == kNotModified)) {
    poll.retry_delay = Duration::zero();
    if (response.status == kOk) {
      poll.state = {response.entity_tag, response.content_type, response.body};
      poll.has_state = true;
    }
    NotifyFeeds(now, poll, out);
    if (poll.state.entity_tag.empty()) {
      poll.next_start = now + options_.untagged_poll_period;
      return true;
    }
    StartPoll(now, topic, poll, out);
    return true;
  }
  poll.retry_delay =
      std::clamp(poll.retry_delay * 2, options_.initial_poll_retry,
                 options_.max_poll_retry);
  poll.next_start = now + poll.retry_delay;
  return true;
}

void FeedPublisher::NotifyFeeds(TimePoint now, Poll& poll, Outbox& out) {
  if (!poll.has_state) return;
  for (const auto& [flow, token] : poll.feeds) {
    Feed* feed = FindFeed(flow, token);
    const bool reread = feed->awaits_reread && poll.unconditional;
    if (reread) feed->awaits_reread = false;
    if (feed->awaits_reread) continue;
    if (!reread && feed->sent_version == poll.state.Version()) continue;
    feed->has_newer_state = true;
    if (!feed->awaits_ack) SendLatestState(now, flow, *feed, out);
  }
  poll.unconditional = false;
}

void FeedPublisher::RereadState(TimePoint now, const Topic& topic,
                                Outbox& out) {
  Poll& poll = polls_[topic];
  if (poll.call != CallId() && !poll.unconditional) {
    poll_calls_.erase(poll.call);
    out.Add(CancelCall{poll.call});
    poll.call = CallId();
  }
  if (poll.call != CallId()) return;
  poll.unconditional = true;
  StartPoll(now, topic, poll, out);
}

void FeedPublisher::OnTick(TimePoint now, Outbox& out) {
  for (auto& [topic, poll] : polls_) {
    if (poll.call == CallId() && now >= poll.next_start) {
      StartPoll(now, topic, poll, out);
    }
  }
  std::vector<std::pair<Flow, std::string>> given_up;
  for (auto& [flow, feeds] : feeds_) {
    for (Feed& feed : feeds) {
      if (now < feed.next_send || feed.awaits_reread) continue;
      if (feed.awaits_ack && feed.sends >= options_.max_sends) {
        given_up.emplace_back(flow, feed.token);
      } else {
        SendLatestState(now, flow, feed, out);
      }
    }
  }
  for (const auto& [flow, token] : given_up) {
    ++counters_.given_up;
    Remove(flow, token, out);
  }
}

void FeedPublisher::SendLatestState(TimePoint now, const Flow& flow, Feed& feed,
                                    Outbox& out) {
  const Poll& poll = polls_.at(feed.topic);
  Notification notification;
  notification.flow = flow;
  notification.token = feed.token;
  feed.sequence = (feed.sequence + 1) & kSequenceMask;
  notification.sequence = feed.sequence;
  notification.max_age = options_.max_age;
  notification.path = feed.topic.path;
  notification.state = &poll.state;
  if (feed.awaits_ack) notification.avoid_balancer = feed.balancer;
  ++(feed.awaits_ack ? counters_.repeated : counters_.notifications);
  const SentNotification sent = send_(notification, out);
  feed.message_id = sent.message_id;
  feed.balancer = sent.balancer;
  feed.awaits_ack = true;
  feed.has_newer_state = false;
  feed.sent_version = poll.state.Version();
  feed.next_send =
      now + std::min(options_.max_retry,
                     options_.initial_retry * (int64_t{1} << feed.sends));
  ++feed.sends;
}

void FeedPublisher::StartPoll(TimePoint now, const Topic& topic, Poll& poll,
                              Outbox& out) {
  poll.call = new_call_();
  poll_calls_[poll.call] = topic;
  TargetRequest request;
  request.method = "GET";
  request.path = topic.path;
  if (poll.has_state && !poll.unconditional) {
    request.entity_tag = poll.state.entity_tag;
  }
  request.wait = options_.poll_wait;
  request.deadline = options_.poll_wait + std::chrono::seconds(5);
  poll.next_start = now;
  out.Add(StartCall{poll.call, std::move(request)});
}

std::vector<schema::FeedState> FeedPublisher::Export(const Flow& flow) const {
  std::vector<schema::FeedState> states;
  const auto it = feeds_.find(flow);
  if (it == feeds_.end()) return states;
  for (const Feed& feed : it->second) {
    schema::FeedState state;
    state.token = feed.token;
    state.path = feed.topic.path;
    state.sequence = static_cast<int32_t>(feed.sequence);
    state.entity_tag = feed.sent_version;
    states.push_back(std::move(state));
  }
  return states;
}

void FeedPublisher::Import(TimePoint now, const Flow& flow, ServiceId service,
                           const schema::FeedState& state, Outbox& out) {
  if (FindFeed(flow, state.token) != nullptr) return;
  const Topic topic{service, state.path};
  Feed& feed = Add(flow, state.token, topic);
  feed.sequence =
      (static_cast<uint32_t>(state.sequence) + kHandoverSequenceGap) &
      kSequenceMask;
  feed.sent_version = state.entity_tag;
  // Whether the last notification arrived is unknown, so the state is sent
  // again. It is read again first because the local copy may be older than what
  // the caller has received.
  feed.awaits_reread = true;
  RereadState(now, topic, out);
}

void FeedPublisher::RemoveFlow(const Flow& flow, Outbox& out) {
  while (true) {
    const auto it = feeds_.find(flow);
    if (it == feeds_.end()) return;
    Remove(flow, std::string(it->second.front().token), out);
  }
}

size_t FeedPublisher::FeedCount(const Flow& flow) const {
  const auto it = feeds_.find(flow);
  return it == feeds_.end() ? 0 : it->second.size();
}

FeedPublisher::Feed& FeedPublisher::Add(const Flow& flow,
                                        const std::string& token,
                                        const Topic& topic) {
  Feed feed;
  feed.token = token;
  feed.topic = topic;
  polls_[topic].feeds.insert({flow, token});
  ++count_;
  auto& feeds = feeds_[flow];
  feeds.push_back(std::move(feed));
  return feeds.back();
}

void FeedPublisher::Remove(const Flow& flow, const std::string& token,
                           Outbox& out) {
  const auto it = feeds_.find(flow);
  if (it == feeds_.end()) return;
  auto& feeds = it->second;
  const auto feed =
      std::find_if(feeds.begin(), feeds.end(),
                   [&](const Feed& f) { return f.token == token; });
  if (feed == feeds.end()) return;
  const auto poll = polls_.find(feed->topic);
  poll->second.feeds.erase({flow, token});
  if (poll->second.feeds.empty()) {
    if (poll->second.call != CallId()) {
      poll_calls_.erase(poll->second.call);
      out.Add(CancelCall{poll->second.call});
    }
    polls_.erase(poll);
  }
  feeds.erase(feed);
  --count_;
  if (feeds.empty()) feeds_.erase(it);
}

FeedPublisher::Feed* FeedPublisher::FindFeed(const Flow& flow,
                                             const std::string& token) {
  const auto it = feeds_.find(flow);
  if (it == feeds_.end()) return nullptr;
  for (Feed& feed : it->second) {
    if (feed.token == token) return &feed;
  }
  return nullptr;
}

FeedPublisher::Feed* FeedPublisher::FindAwaitingAck(const Flow& flow,
                                                    uint16_t message_id) {
  const auto it = feeds_.find(flow);
  if (it == feeds_.end()) return nullptr;
  for (Feed& feed : it->second) {
    if (feed.awaits_ack && feed.message_id == message_id) return &feed;
  }
  return nullptr;
}

}  // namespace sesamesaddle
