#ifndef SESAMESADDLE_NET_CONNECTION_PROBE_H_
#define SESAMESADDLE_NET_CONNECTION_PROBE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "core/endpoint.h"
#include "core/time.h"
#include "net/event_loop.h"

namespace sesamesaddle {

/** Result of an attempt to connect to a TCP port. */
enum class ConnectionResult {
  kAccepted,
  kRefused,   // The instance runs, but no process listens there.
  kNoAnswer,  // Nothing arrived until the timeout, or it is unreachable.
};

/**
 * Tries to open TCP connections, to see whether instances answer, and closes
 * them again.
 */
class ConnectionProber {
 public:
  using Done = std::function<void(ConnectionResult)>;

  /** Maximum number of attempts in progress; further ones are not made. */
  static constexpr size_t kMaxAttempts = 256;

  /** @param loop  must outlive the prober */
  explicit ConnectionProber(EventLoop& loop) : loop_(loop) {}
  ~ConnectionProber();
  ConnectionProber(const ConnectionProber&) = delete;
  ConnectionProber& operator=(const ConnectionProber&) = delete;

  /**
   * Starts an attempt.
   * @param done  called once, possibly before this returns; not called after
   *              the destruction of the prober, nor without an attempt
   * @return whether the attempt was made
   */
  bool Probe(const Endpoint& to, Duration timeout, Done done);
  size_t in_progress() const { return attempts_.size(); }

 private:
  struct Attempt {
    ConnectionProber* prober = nullptr;
    uint64_t id = 0;
    int fd = -1;
    h2o_socket_t* socket = nullptr;
    EventLoop::Timer timer;
    Done done;
  };

  static void OnConnected(h2o_socket_t* socket, const char* error);
  void Finish(uint64_t id, ConnectionResult result);

  EventLoop& loop_;
  std::map<uint64_t, Attempt> attempts_;
  uint64_t next_id_ = 1;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_CONNECTION_PROBE_H_
