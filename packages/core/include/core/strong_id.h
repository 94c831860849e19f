#ifndef SESAMESADDLE_CORE_STRONG_ID_H_
#define SESAMESADDLE_CORE_STRONG_ID_H_

#include <cstdint>
#include <functional>

namespace sesamesaddle {

/**
 * An integer identifier that only mixes with identifiers of the same kind.
 * @tparam Tag  an empty type that names the kind
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

/** One life of one process; a restarted process has another. */
using MemberId = StrongId<struct MemberIdTag>;
/** One service; never reused for a later one of the same name. */
using ServiceId = StrongId<struct ServiceIdTag>;
/** One call of an agent to a target. */
using CallId = StrongId<struct CallIdTag>;
/** A position in the ordered log of configuration changes. */
using Revision = StrongId<struct RevisionTag>;
/** How often the ownership of a flow has changed hands. */
using Epoch = StrongId<struct EpochTag>;

}  // namespace sesamesaddle

template <typename Tag>
struct std::hash<sesamesaddle::StrongId<Tag>> {
  size_t operator()(sesamesaddle::StrongId<Tag> id) const noexcept {
    return std::hash<int64_t>()(id.value());
  }
};

#endif  // SESAMESADDLE_CORE_STRONG_ID_H_
