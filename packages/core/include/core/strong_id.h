#ifndef SESAMESADDLE_CORE_STRONG_ID_H_
#define SESAMESADDLE_CORE_STRONG_ID_H_

#include <cstdint>
#include <functional>

namespace sesamesaddle {

/**
 * An integer identifier that can only be compared with identifiers of the same
 * kind.
 * @tparam Tag  tag type that distinguishes the kinds; it need not be complete
 */
template <typename Tag>
class StrongId {
 public:
  constexpr StrongId() = default;
  constexpr explicit StrongId(int64_t value) : value_(value) {}

  constexpr int64_t value() const { return value_; }

  friend constexpr bool operator==(StrongId a, StrongId b) {
    return a.value_ == b.value_;
  }
  friend constexpr bool operator!=(StrongId a, StrongId b) {
    return a.value_ != b.value_;
  }
  friend constexpr bool operator<(StrongId a, StrongId b) {
    return a.value_ < b.value_;
  }

 private:
  int64_t value_ = 0;
};

/** Identifies a running process; a restarted process gets a new identifier. */
using MemberId = StrongId<struct MemberIdTag>;
/** Identifies a service; a service re-created by name gets a new one. */
using ServiceId = StrongId<struct ServiceIdTag>;
/** Identifies a call from an agent to a target. */
using CallId = StrongId<struct CallIdTag>;
/** Position in the ordered log of configuration changes. */
using Revision = StrongId<struct RevisionTag>;
/** Number of times the owner of a flow has changed. */
using Epoch = StrongId<struct EpochTag>;

}  // namespace sesamesaddle

template <typename Tag>
struct std::hash<sesamesaddle::StrongId<Tag>> {
  size_t operator()(sesamesaddle::StrongId<Tag> id) const noexcept {
    return std::hash<int64_t>()(id.value());
  }
};

#endif  // SESAMESADDLE_CORE_STRONG_ID_H_
