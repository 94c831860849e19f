#include "serving/body_cache.h"

#include <algorithm>

#include "core/hash.h"

namespace sesamesaddle {

void BodyCache::Put(TimePoint now, const Flow& flow, const std::string& path,
                    LargeBody body) {
  const Key key{flow, path};
  Remove(key);
  bytes_ += body.body.size();
  order_.push_back(key);
  entries_[key] = {std::move(body), now, std::prev(order_.end()), {}};
  while (bytes_ > capacity_ && entries_.size() > 1) Remove(order_.front());
}

void BodyCache::RecordServedBlock(const Flow& flow, const std::string& path,
                                  uint16_t message_id) {
  const auto it = entries_.find({flow, path});
  if (it != entries_.end()) it->second.served.push_back(message_id);
}

std::vector<uint16_t> BodyCache::TakeServedMessageIds(const Flow& flow,
                                                      const std::string& path) {
  const auto it = entries_.find({flow, path});
  if (it == entries_.end()) return {};
  return std::exchange(it->second.served, {});
}

const LargeBody* BodyCache::Find(const Flow& flow,
                                 const std::string& path) const {
  const auto it = entries_.find({flow, path});
  return it == entries_.end() ? nullptr : &it->second.body;
}

void BodyCache::Expire(TimePoint now) {
  while (!order_.empty() &&
         now - entries_.at(order_.front()).stored_at > kRetention) {
    Remove(order_.front());
  }
}

void BodyCache::Remove(const Key& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  bytes_ -= it->second.body.body.size();
  const auto position = it->second.position;
  entries_.erase(it);
  order_.erase(position);  // Must be last, as `key` may refer to this element.
}

coap::Message MakeBlock(const LargeBody& body, const coap::Block& requested) {
  constexpr uint8_t kLargestExponent = 6;
  coap::Block block;
  block.size_exponent = std::min(requested.size_exponent, kLargestExponent);
  // The block number counts blocks of the requested size, which is reduced to
  // the largest supported one.
  block.number = requested.number
                 << (requested.size_exponent - block.size_exponent);
  const size_t start = block.number * block.size();
  if (start > 0 && start >= body.body.size()) {
    coap::Message error;
    error.code = coap::Code::kBadRequest;
    error.payload = "the block lies behind the end";
    return error;
  }
  block.more = start + block.size() < body.body.size();
  coap::Message answer = body.head;
  answer.Add(coap::OptionNumber::kEtag, body.entity_tag);
  answer.AddUint(coap::OptionNumber::kBlock2, block.Pack());
  answer.AddUint(coap::OptionNumber::kSize2,
                 static_cast<uint32_t>(body.body.size()));
  answer.payload = body.body.substr(start, block.size());
  return answer;
}

std::string MakeEntityTag(const std::string& body) {
  const uint64_t hash = Hash64(body);
  return {reinterpret_cast<const char*>(&hash), sizeof(hash)};
}

}  // namespace sesamesaddle
