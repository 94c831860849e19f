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
 * Received datagrams longer than kMaxPacketBytes are truncated to that length.
 */
class PacketSocket {
 public:
  /** The usual MTU of a link. */
  static constexpr size_t kMaxPacketBytes = 1500;

  struct Handlers {
    /** A datagram was received; the handler may modify its bytes. */
    std::function<void(const Endpoint& from, char* bytes, size_t size)>
        on_datagram;
    /** A batch was handled; the time to flush queued datagrams. */
    std::function<void()> on_batch_end;
    /** The system reported a closed port for an earlier datagram (ICMP). */
    std::function<void()> on_unreachable;
  };

  /** Returns the bound socket, or why it could not be bound. */
  static tl::expected<std::unique_ptr<PacketSocket>, NetError> Open(
      EventLoop& loop, const Endpoint& local, Handlers handlers);

  PacketSocket(EventLoop& loop, int fd, Handlers handlers);
  ~PacketSocket();
  PacketSocket(const PacketSocket&) = delete;
  PacketSocket& operator=(const PacketSocket&) = delete;

  /** Copies the datagram to the queue, which Flush() sends. */
  void Queue(const Endpoint& to, std::string_view bytes);
  void Flush();

  /**
   * Whether the last read ended because nothing was left. A read stops after a
   * limited number of datagrams; the loop's next poll goes on with the rest.
   */
  bool drained() const { return drained_; }

  /** Returns the number of datagrams that the system did not accept. */
  int64_t send_failures() const { return send_failures_; }

 private:
  struct QueuedDatagram {
    sockaddr_in address;
    size_t offset;
    size_t size;
  };

  static void OnReadable(h2o_socket_t* socket, const char* error);
  void ReceiveAll();
  /** Whether a read would return a datagram. */
  bool Readable() const;

  int fd_;
  h2o_socket_t* socket_;
  Handlers handlers_;
  std::vector<char> receive_buffer_;
  std::vector<QueuedDatagram> send_queue_;
  std::vector<char> send_buffer_;
  int64_t send_failures_ = 0;
  bool drained_ = true;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_PACKET_SOCKET_H_
