#include "net/connection_probe.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace sesamesaddle {
namespace {

ConnectionResult ToResult(int error) {
  if (error == 0) return ConnectionResult::kAccepted;
  return error == ECONNREFUSED ? ConnectionResult::kRefused
                               : ConnectionResult::kNoAnswer;
}

/** Ends the connection at once, without a state that waits for late packets. */
void DiscardOnClose(int fd) {
  const linger discard = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
}

}  // namespace

ConnectionProber::~ConnectionProber() {
  for (auto& [id, attempt] : attempts_) h2o_socket_close(attempt.socket);
}

bool ConnectionProber::Probe(const Endpoint& to, Duration timeout, Done done) {
  if (attempts_.size() >= kMaxAttempts) return false;
  const int fd =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (fd < 0) return false;
  DiscardOnClose(fd);
  const sockaddr_in address = to.ToSockaddr();
  const int connected =
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const int error = connected == 0 ? 0 : errno;
  if (error != EINPROGRESS) {
    close(fd);
    const bool attempted = error == 0 || error == ECONNREFUSED;
    if (attempted) done(ToResult(error));
    return attempted;
  }
  const uint64_t id = next_id_++;
  Attempt& attempt = attempts_[id];
  attempt.prober = this;
  attempt.id = id;
  attempt.fd = fd;
  attempt.done = std::move(done);
  attempt.socket =
      h2o_evloop_socket_create(loop_.h2o_loop(), fd, H2O_SOCKET_FLAG_DONT_READ);
  attempt.socket->data = &attempt;
  attempt.timer = loop_.After(
      timeout, [this, id] { Finish(id, ConnectionResult::kNoAnswer); });
  h2o_socket_notify_write(attempt.socket, OnConnected);
  return true;
}

void ConnectionProber::OnConnected(h2o_socket_t* socket,
                                   const char* /*error*/) {
  const auto* attempt = static_cast<Attempt*>(socket->data);
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(attempt->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
    error = errno;
  }
  attempt->prober->Finish(attempt->id, ToResult(error));
}

void ConnectionProber::Finish(uint64_t id, ConnectionResult result) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  h2o_socket_close(it->second.socket);
  const Done done = std::move(it->second.done);
  attempts_.erase(it);
  done(result);
}

}  // namespace sesamesaddle
