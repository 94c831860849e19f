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

/** An answer that is too large for one datagram. */
struct LargeBody {
  coap::Message head;  // Code and options, without Block2 and ETag.
  std::string body;
  std::string entity_tag;
};

/**
 * Large answers while their callers fetch them block by block (RFC 7959),
 * oldest out first when they take too much memory.
 */
class BodyCache {
 public:
  static constexpr Duration kRetention = std::chrono::seconds(30);

  explicit BodyCache(size_t capacity_bytes) : capacity_(capacity_bytes) {}

  void Put(TimePoint now, const Flow& flow, const std::string& path,
           LargeBody body);
  /** Notes that a block went out as the answer to that message. */
  void RecordServedBlock(const Flow& flow, const std::string& path,
                         uint16_t message_id);
  /** @return the messages noted for the body; they are forgotten. */
  std::vector<uint16_t> TakeServedMessageIds(const Flow& flow,
                                             const std::string& path);
  const LargeBody* Find(const Flow& flow, const std::string& path) const;
  void Expire(TimePoint now);
  size_t bytes() const { return bytes_; }

 private:
  using Key = std::pair<Flow, std::string>;
  struct Entry {
    LargeBody body;
    TimePoint at;
    std::list<Key>::iterator position;
    std::vector<uint16_t> served;
  };

  void Remove(const Key& key);

  size_t capacity_;
  size_t bytes_ = 0;
  std::list<Key> order_;  // Oldest first.
  std::map<Key, Entry> entries_;
};

/** Bytes of a block unless the caller asks for smaller ones. */
constexpr size_t kBlockBytes = 1024;

/**
 * Cuts one block out of a body.
 * @param asked  the caller's Block2 value; its size is used if smaller
 * @return the answer, or 4.00 if the block lies behind the end
 */
coap::Message MakeBlock(const LargeBody& body, const coap::Block& asked);

/** @return an entity tag made of the body. */
std::string MakeEntityTag(const std::string& body);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SERVING_BODY_CACHE_H_
