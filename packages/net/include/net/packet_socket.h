#ifndef SESAMESADDLE_NET_PACKET_SOCKET_H_
#define SESAMESADDLE_NET_PACKET_SOCKET_H_

#include <functional>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "core/endpoint.h"
#include "net/event_loop.h"
#include "net/net_error.h"

namespace sesamesaddle {

/**
 * A UDP socket for many small datagrams: receives and sends them in batches.
 * Longer datagrams than kMaxBytes arrive cut to that length.
 */
class PacketSocket {
 public:
  /** Largest datagram; a link's usual maximum. */
  static constexpr size_t kMaxBytes = 1500;

  struct Handlers {
    /** One datagram; the handler may change its bytes. */
    std::function<void(const Endpoint& from, char* bytes, size_t size)>
        on_datagram;
    /** A batch is over: the time to flush what it caused. */
    std::function<void()> on_batch_end;
    /** The system reports that nobody listens where something was sent. */
    std::function<void()> on_unreachable;
  };

  /** @return the bound socket, or why it could not be bound. */
  static tl::expected<std::unique_ptr<PacketSocket>, NetError> Open(
      EventLoop& loop, const Endpoint& local, Handlers handlers);

  PacketSocket(EventLoop& loop, int fd, Handlers handlers);
  ~PacketSocket();
  PacketSocket(const PacketSocket&) = delete;
  PacketSocket& operator=(const PacketSocket&) = delete;

  /** Copies the datagram; Flush sends it. */
  void Queue(const Endpoint& to, std::string_view bytes);
  void Flush();

  /** Datagrams that the system did not take. */
  int64_t send_failures() const { return send_failures_; }

 private:
  struct Outgoing {
    sockaddr_in address;
    size_t offset;
    size_t size;
  };

  static void OnReadable(h2o_socket_t* socket, const char* error);
  void ReceiveAll();

  int fd_;
  h2o_socket_t* socket_;
  Handlers handlers_;
  std::vector<char> receive_buffer_;
  std::vector<Outgoing> outgoing_;
  std::vector<char> send_buffer_;
  int64_t send_failures_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_PACKET_SOCKET_H_
