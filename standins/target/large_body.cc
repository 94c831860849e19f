#include "large_body.h"

#include "core/hash.h"

namespace sesamesaddle {

std::string GenerateLargeBody(const std::string& id, size_t bytes) {
  std::string body;
  uint64_t state = Hash64(id);
  while (body.size() < bytes) {
    body += std::to_string(state) + "\n";
    state = HashPair(state, state);
  }
  return body;
}

}  // namespace sesamesaddle
