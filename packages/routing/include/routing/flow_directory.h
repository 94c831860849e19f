#ifndef SESAMESADDLE_ROUTING_FLOW_DIRECTORY_H_
#define SESAMESADDLE_ROUTING_FLOW_DIRECTORY_H_

#include <functional>
#include <optional>
#include <unordered_map>

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace sesamesaddle {

/** The owner of a flow and the epoch, which each change of owner raises. */
struct Ownership {
  MemberId owner;
  Epoch epoch;
};

/**
 * The part of the flow directory that one agent holds as a home agent. Entries
 * are soft state: owners register again when the home agents of a flow change.
 */
class FlowDirectory {
 public:
  /**
   * Registers an owner. A higher epoch replaces the entry; at the same epoch
   * the owner that was registered first stays.
   * Returns the existing entry if the registration is refused.
   */
  std::optional<Ownership> Register(const Flow& flow, Ownership ownership);
  /** Removes an entry unless it has another owner by now. */
  void Remove(const Flow& flow, MemberId owner);
  std::optional<Ownership> Find(const Flow& flow) const;
  /** Removes the entries for which `drop` returns true. */
  void RemoveIf(const std::function<bool(const Flow&, const Ownership&)>& drop);
  size_t size() const { return entries_.size(); }

 private:
  std::unordered_map<Flow, Ownership> entries_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_ROUTING_FLOW_DIRECTORY_H_
