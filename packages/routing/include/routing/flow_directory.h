#ifndef SESAMESADDLE_ROUTING_FLOW_DIRECTORY_H_
#define SESAMESADDLE_ROUTING_FLOW_DIRECTORY_H_

#include <functional>
#include <optional>
#include <unordered_map>

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace sesamesaddle {

/** Who owns a flow, and since which change of hands. */
struct Ownership {
  MemberId owner;
  Epoch epoch;
};

/**
 * The part of the directory of flows that one agent holds as a home. Entries
 * are soft: owners register again when homes move.
 */
class FlowDirectory {
 public:
  /**
   * Registers an owner. A higher epoch wins; at the same epoch the owner that
   * was registered first stays.
   * @return what the directory holds instead, if it refuses.
   */
  std::optional<Ownership> Register(const Flow& flow, Ownership ownership);
  /** Removes an entry unless another owner holds it by now. */
  void Remove(const Flow& flow, MemberId owner);
  std::optional<Ownership> Find(const Flow& flow) const;
  /** Drops the entries for which `drop` says so. */
  void RemoveIf(const std::function<bool(const Flow&, const Ownership&)>& drop);
  size_t size() const { return entries_.size(); }

 private:
  std::unordered_map<Flow, Ownership> entries_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ROUTING_FLOW_DIRECTORY_H_
