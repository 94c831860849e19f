#ifndef SESAMESADDLE_CORE_TEXT_H_
#define SESAMESADDLE_CORE_TEXT_H_

#include <string_view>

namespace sesamesaddle {

inline bool HasPrefix(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_CORE_TEXT_H_
