#ifndef REVIEW_STANDINS_3_LOOP_H_
#define REVIEW_STANDINS_3_LOOP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/** Runs callbacks for readable descriptors and for times, in one thread. */
class Loop {
 public:
  using Callback = std::function<void()>;

  void OnReadable(int fd, Callback callback) {
    readers_[fd] = std::move(callback);
  }
  void Forget(int fd) { readers_.erase(fd); }
  void After(Millis delay, Callback callback) {
    timers_.emplace(Clock::now() + delay, std::move(callback));
  }
  void Every(Millis period, const Callback& callback);
  void RunUntil(Clock::time_point end);

 private:
  std::map<int, Callback> readers_;
  std::multimap<Clock::time_point, Callback> timers_;
};

/** Opens a UDP socket; ends the program with 2 if that fails. */
int OpenUdp(const std::string& ip, uint16_t port);
void SendUdp(int fd, const std::string& ip, uint16_t port,
             std::string_view bytes);
/** Reads all datagrams that wait. */
void ReadUdp(int fd, const std::function<void(std::string_view)>& handle);

/**
 * Makes one HTTP call over a new connection and waits a second at most.
 * @return the status, or 0 without an answer
 */
int CallHttp(const std::string& ip, uint16_t port, const std::string& method,
             const std::string& path, const std::string& body);

}  // namespace review

#endif  // REVIEW_STANDINS_3_LOOP_H_
