#include "steering_daemon/rate_limited_log.h"

#include <algorithm>

namespace sesamesaddle {
namespace {

// A burst may contain the lines of 2 s.
constexpr double kBurstSeconds = 2;

int LinesPerSecond(EventKind kind) {
  return kind == EventKind::kProcess || kind == EventKind::kDependency ||
                 kind == EventKind::kStateChange
             ? RateLimitedLog::kProcessLinesPerSecond
             : RateLimitedLog::kFlowLinesPerSecond;
}

}  // namespace

bool RateLimitedLog::Admit(EventKind kind) {
  Bucket& bucket = buckets_[static_cast<size_t>(kind)];
  const TimePoint now = clock_.Now();
  const double rate = LinesPerSecond(kind);
  const double limit = rate * kBurstSeconds;
  if (bucket.last_refill == TimePoint()) bucket.tokens = limit;
  const double elapsed =
      std::chrono::duration<double>(now - bucket.last_refill).count();
  bucket.tokens = std::min(limit, bucket.tokens + elapsed * rate);
  bucket.last_refill = now;
  if (bucket.tokens < 1) {
    ++bucket.left_out;
    ++counts_.rate_limited;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void RateLimitedLog::Write(EventKind kind, const std::string& line) {
  Bucket& bucket = buckets_[static_cast<size_t>(kind)];
  const std::string suffix =
      bucket.left_out == 0
          ? ""
          : " lines_left_out=" + std::to_string(bucket.left_out);
  if (!sink_(line + suffix)) {
    ++counts_.dropped;
    return;
  }
  ++counts_.written;
  bucket.left_out = 0;
}

}  // namespace sesamesaddle
