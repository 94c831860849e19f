#include "net/query.h"

#include <algorithm>

namespace sesamesaddle {

std::string QueryValue(const std::string& query, const std::string& name) {
  const std::string prefix = name + "=";
  size_t start = 0;
  while (start < query.size()) {
    const size_t end = std::min(query.find('&', start), query.size());
    const std::string pair = query.substr(start, end - start);
    if (pair.rfind(prefix, 0) == 0) return pair.substr(prefix.size());
    start = end + 1;
  }
  return "";
}

}  // namespace sesamesaddle
