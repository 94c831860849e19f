#include "virtual_caller.h"

#include <algorithm>

namespace sesamesaddle {
namespace {

constexpr Duration kAckTimeout = std::chrono::seconds(2);
constexpr Duration kFeedSilence = std::chrono::seconds(25);

}  // namespace

VirtualCaller::VirtualCaller(const Flow& flow, RandomSource& random, Send send)
    : flow_(flow),
      random_(random),
      send_(std::move(send)),
      next_message_id_(static_cast<uint16_t>(random.Next())) {}

void VirtualCaller::Start(TimePoint now, coap::Code method,
                          const std::string& id) {
  requests_.push_back({id, method, RequestOutcome::kPending, "", now, now});
  SendRequest(now, requests_.size() - 1, "");
}

void VirtualCaller::SendRequest(TimePoint now, size_t index,
                                const std::string& echo) {
  const CallerRequest& request = requests_[index];
  coap::Message message;
  message.code = request.method;
  message.message_id = next_message_id_++;
  message.token = "r" + std::to_string(next_token_++);
  const bool read = request.method == coap::Code::kGet;
  message.Add(coap::OptionNumber::kUriPath, read ? "item" : "orders");
  message.Add(coap::OptionNumber::kUriQuery, "id=" + request.id);
  if (!echo.empty()) message.Add(coap::OptionNumber::kEcho, echo);
  Sent sent;
  sent.request = index;
  sent.token = message.token;
  sent.bytes = coap::Encode(message);
  Transmit(now, message.message_id, std::move(sent));
}

void VirtualCaller::Transmit(TimePoint now, uint16_t message_id, Sent sent) {
  sent.timeout =
      kAckTimeout + Duration(static_cast<int64_t>(random_.Below(1000000)));
  sent.next_send = now + sent.timeout;
  send_(flow_, sent.bytes);
  sent_[message_id] = std::move(sent);
}

void VirtualCaller::StartFeed(TimePoint now, const std::string& path) {
  feed_path_ = path;
  if (feed_token_.empty()) {
    feed_token_ = "feed";
    feed_started_ = now;
  }
  feed_registered_ = now;
  feed_sequence_ = 0;
  ++feed_registrations_;
  coap::Message message;
  message.code = coap::Code::kGet;
  message.message_id = next_message_id_++;
  message.token = feed_token_;
  message.AddUint(coap::OptionNumber::kObserve, 0);
  message.Add(coap::OptionNumber::kUriPath, path);
  Sent sent;
  sent.request = SIZE_MAX;
  sent.token = message.token;
  sent.bytes = coap::Encode(message);
  Transmit(now, message.message_id, std::move(sent));
}

void VirtualCaller::OnDatagram(TimePoint now, const std::string& bytes) {
  const auto message = coap::Parse(bytes);
  if (!message) return;
  if (message->type == coap::Type::kConfirmable) {
    coap::Message ack;
    ack.type = message->token == feed_token_ ? coap::Type::kAcknowledgement
                                             : coap::Type::kReset;
    ack.message_id = message->message_id;
    send_(flow_, coap::Encode(ack));
    OnFeedMessage(now, *message);
    return;
  }
  const auto it = sent_.find(message->message_id);
  if (it == sent_.end() || it->second.token != message->token) return;
  const size_t request = it->second.request;
  sent_.erase(it);
  if (request == SIZE_MAX) {
    OnFeedMessage(now, *message);
  } else {
    OnResponse(now, request, *message);
  }
}

void VirtualCaller::OnResponse(TimePoint now, size_t index,
                               const coap::Message& message) {
  CallerRequest& request = requests_[index];
  const coap::Option* echo = message.Find(coap::OptionNumber::kEcho);
  if (message.code == coap::Code::kUnauthorized && echo != nullptr) {
    SendRequest(now, index, echo->value);
    return;
  }
  request.ended = now;
  request.body = message.payload;
  const bool success = message.code >= coap::Code::kCreated &&
                       message.code <= coap::Code::kContent;
  if (success) {
    request.outcome = RequestOutcome::kAnswered;
  } else if (message.payload.find("\"not_run\"") != std::string::npos) {
    request.outcome = RequestOutcome::kNotRun;
  } else if (message.payload.find("\"unknown\"") != std::string::npos) {
    request.outcome = RequestOutcome::kUnknown;
  } else {
    request.outcome = RequestOutcome::kError;
  }
}

void VirtualCaller::OnFeedMessage(TimePoint now, const coap::Message& message) {
  constexpr uint32_t kHalf = 1U << 23;
  const auto sequence = message.FindUint(coap::OptionNumber::kObserve);
  if (message.token != feed_token_ || !sequence) return;
  const bool newer = *sequence > feed_sequence_
                         ? *sequence - feed_sequence_ < kHalf
                         : feed_sequence_ - *sequence > kHalf;
  if (!newer) return;
  feed_sequence_ = *sequence;
  notifications_.emplace_back(now, std::stoll(message.payload));
}

void VirtualCaller::OnTick(TimePoint now) {
  for (auto it = sent_.begin(); it != sent_.end();) {
    Sent& sent = it->second;
    if (now < sent.next_send) {
      ++it;
      continue;
    }
    if (sent.sends >= max_sends) {
      if (sent.request != SIZE_MAX) {
        requests_[sent.request].outcome = RequestOutcome::kNoResponse;
        requests_[sent.request].ended = now;
      }
      it = sent_.erase(it);
      continue;
    }
    ++sent.sends;
    sent.timeout *= 2;
    sent.next_send = now + sent.timeout;
    send_(flow_, sent.bytes);
    ++it;
  }
  if (feed_token_.empty()) return;
  const TimePoint last =
      notifications_.empty() ? feed_started_ : notifications_.back().first;
  if (now - std::max(last, feed_registered_) > kFeedSilence) {
    StartFeed(now, feed_path_);
  }
}

Duration VirtualCaller::LongestSilence(TimePoint now) const {
  Duration longest{};
  TimePoint last = feed_started_;
  for (const auto& [at, version] : notifications_) {
    longest = std::max(longest, at - last);
    last = at;
  }
  return std::max(longest, now - last);
}

}  // namespace sesamesaddle
