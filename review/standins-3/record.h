#ifndef REVIEW_STANDINS_3_RECORD_H_
#define REVIEW_STANDINS_3_RECORD_H_

#include <cstdio>
#include <mutex>
#include <string>

#include "loop.h"

namespace review {

/** Writes what was sent, answered and run, with the time since the start. */
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {}

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    fprintf(file_, "%8.3f %s\n", Seconds(), text.c_str());
    fflush(file_);
  }
  double Seconds() const {
    return std::chrono::duration<double>(Clock::now() - start_).count();
  }

 private:
  FILE* file_;
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_RECORD_H_
