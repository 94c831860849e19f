#ifndef SESAMESADDLE_SERVING_BODY_CACHE_H_
#define SESAMESADDLE_SERVING_BODY_CACHE_H_

#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coap/message.h"
#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {

/** A response that is too large for one datagram. */
struct LargeBody {
  coap::Message head;  // Code and options, without Block2 and ETag.
  std::string body;
  std::string entity_tag;
};

/**
 * Caches large responses while their callers fetch them block by block
 * (RFC 7959). When the cache is full, the oldest response is evicted.
 */
class BodyCache {
 public:
  static constexpr Duration kRetention = std::chrono::seconds(30);

  explicit BodyCache(size_t capacity_bytes) : capacity_(capacity_bytes) {}

  void Put(TimePoint now, const Flow& flow, const std::string& path,
           LargeBody body);
  /** Records that a block was sent as the response to a message. */
  void RecordServedBlock(const Flow& flow, const std::string& path,
                         uint16_t message_id);
  /** Returns and clears the message IDs recorded for the body. */
  std::vector<uint16_t> TakeServedMessageIds(const Flow& flow,
                                             const std::string& path);
  const LargeBody* Find(const Flow& flow, const std::string& path) const;
  void Expire(TimePoint now);
  size_t bytes() const { return bytes_; }

 private:
  using Key = std::pair<Flow, std::string>;
  struct Entry {
    LargeBody body;
    TimePoint stored_at;
    std::list<Key>::iterator position;
    std::vector<uint16_t> served;
  };

  void Remove(const Key& key);

  size_t capacity_;
  size_t bytes_ = 0;
  std::list<Key> order_;  // Oldest first.
  std::map<Key, Entry> entries_;
};

/** The block size unless the caller requests a smaller one. */
constexpr size_t kBlockBytes = 1024;

/**
 * Returns a response with one block of a body, or 4.00 if the block is beyond
 * the end of the body.
 * @param requested  the caller's Block2 value; its size is used if smaller
 */
coap::Message MakeBlock(const LargeBody& body, const coap::Block& requested);

/** Returns an entity tag, which is a hash of the body. */
std::string MakeEntityTag(const std::string& body);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_BODY_CACHE_H_
