#ifndef SESAMESADDLE_BALANCER_HINT_CACHE_H_
#define SESAMESADDLE_BALANCER_HINT_CACHE_H_

#include <list>
#include <optional>
#include <unordered_map>

#include "core/endpoint.h"
#include "core/strong_id.h"

namespace sesamesaddle {

/**
 * LRU cache of the owners of flows. A missing or wrong hint costs one extra hop
 * and has no other effect.
 */
class HintCache {
 public:
  explicit HintCache(size_t capacity) : capacity_(capacity) {}

  void Put(const Flow& flow, MemberId owner);
  std::optional<MemberId> Find(const Flow& flow);
  void Remove(const Flow& flow);
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Flow flow;
    MemberId owner;
  };

  size_t capacity_;
  std::list<Entry> recent_;
  std::unordered_map<Flow, std::list<Entry>::iterator> entries_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_BALANCER_HINT_CACHE_H_
