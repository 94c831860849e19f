#ifndef SESAMESADDLE_CORE_TEXT_H_
#define SESAMESADDLE_CORE_TEXT_H_

#include <algorithm>
#include <string_view>

namespace sesamesaddle {

inline bool HasPrefix(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

/** Returns the longest text that both begin with, as a part of `a`. */
inline std::string_view CommonPrefix(std::string_view a, std::string_view b) {
  const auto end = std::mismatch(a.begin(), a.end(), b.begin(), b.end()).first;
  return a.substr(0, static_cast<size_t>(end - a.begin()));
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_TEXT_H_
