#include "serving/request_deduplication.h"

#include <utility>

namespace sesamesaddle {

MessageDeduplicator::State MessageDeduplicator::Begin(TimePoint now,
                                                      const MessageKey& key,
                                                      std::string* answer) {
  const auto [it, is_new] = entries_.try_emplace(key);
  if (is_new) {
    it->second.at = now;
    return State::kNew;
  }
  if (!it->second.answered) return State::kRunning;
  if (it->second.delivered) return State::kDelivered;
  *answer = it->second.answer;
  return State::kAnswered;
}

void MessageDeduplicator::Finish(TimePoint now, const MessageKey& key,
                                 std::string answer) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  it->second = {true, std::move(answer), now, false};
  answered_.emplace_back(now, key);
  Expire(now);
}

void MessageDeduplicator::MarkDelivered(const MessageKey& key) {
  const auto it = entries_.find(key);
  if (it != entries_.end()) it->second.delivered = true;
}

void MessageDeduplicator::Expire(TimePoint now) {
  while (!answered_.empty()) {
    const auto& [at, key] = answered_.front();
    if (now - at < kRetention && answered_.size() <= capacity_) return;
    const auto it = entries_.find(key);
    // The message ID may have been reused since.
    if (it != entries_.end() && it->second.answered && it->second.at == at) {
      entries_.erase(it);
    }
    answered_.pop_front();
  }
}

RequestDeduplicator::State RequestDeduplicator::Begin(TimePoint now,
                                                      EchoNonce nonce,
                                                      const Flow& flow,
                                                      uint64_t digest) {
  const auto [it, is_new] = entries_.try_emplace(nonce);
  RememberedRequest& request = it->second;
  if (is_new) {
    request.flow = flow;
    request.digest = digest;
    request.at = now;
    return State::kNew;
  }
  if (request.digest != digest) return State::kRequestMismatch;
  return request.answered ? State::kAnswered : State::kRunning;
}

const RememberedRequest* RequestDeduplicator::Find(EchoNonce nonce) const {
  const auto it = entries_.find(nonce);
  return it == entries_.end() ? nullptr : &it->second;
}

void RequestDeduplicator::Finish(TimePoint now, EchoNonce nonce,
                                 std::string answer) {
  const auto it = entries_.find(nonce);
  if (it == entries_.end()) return;
  it->second.answered = true;
  it->second.answer = std::move(answer);
  it->second.at = now;
}

void RequestDeduplicator::Import(TimePoint now, EchoNonce nonce,
                                 RememberedRequest request) {
  request.at = now;
  entries_.try_emplace(nonce, std::move(request));
}

std::vector<std::pair<EchoNonce, RememberedRequest>>
RequestDeduplicator::FindByFlow(const Flow& flow) const {
  std::vector<std::pair<EchoNonce, RememberedRequest>> requests;
  for (const auto& [nonce, request] : entries_) {
    if (request.flow == flow) requests.emplace_back(nonce, request);
  }
  return requests;
}

void RequestDeduplicator::Expire(TimePoint now) {
  // Longer than the age at which an Echo value expires, so that the request of
  // a stale value is always still recorded.
  constexpr Duration kRetention =
      EchoAuthority::kRequestRetention + EchoAuthority::kLifetime;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool old = it->second.answered && now - it->second.at > kRetention;
    it = old ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace sesamesaddle
