#ifndef SESAMESADDLE_NET_UDP_SOCKET_H_
#define SESAMESADDLE_NET_UDP_SOCKET_H_

#include <functional>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>

#include "core/endpoint.h"
#include "net/event_loop.h"
#include "net/net_error.h"

namespace sesamesaddle {

/** Maximum payload of a UDP datagram over IPv4. */
constexpr size_t kMaxDatagramBytes = 65507;

/** A bound UDP socket on the event loop. */
class UdpSocket {
 public:
  using Receiver =
      std::function<void(const Endpoint& from, std::string_view payload)>;

  /**
   * Binds to `local` and calls `receiver` for each datagram.
   * @return the socket, or why it could not be bound
   */
  static tl::expected<std::unique_ptr<UdpSocket>, NetError> Open(
      EventLoop& loop, const Endpoint& local, Receiver receiver);

  UdpSocket(EventLoop& loop, int fd, Receiver receiver);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /** Returns false if the system did not accept the datagram, which is lost. */
  bool Send(const Endpoint& to, std::string_view payload);

  /** Returns the bound address, with the port that the system chose. */
  Endpoint local() const;

 private:
  static void OnReadable(h2o_socket_t* socket, const char* error);
  void ReceiveAll();

  int fd_;
  h2o_socket_t* socket_;
  Receiver receiver_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_NET_UDP_SOCKET_H_
