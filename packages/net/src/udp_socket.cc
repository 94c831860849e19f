#include "net/udp_socket.h"

#include <array>
#include <cerrno>

#include "net/bind_udp.h"

namespace sesamesaddle {
namespace {

// Must hold a burst from many senders, as UDP has no flow control.
constexpr int kReceiveBufferBytes = 4 << 20;
// Leaves time for timers and other sockets while datagrams flood in.
constexpr int kMaxDatagramsPerRead = 256;

}  // namespace

tl::expected<std::unique_ptr<UdpSocket>, NetError> UdpSocket::Open(
    EventLoop& loop, const Endpoint& local, Receiver receiver) {
  const auto fd = BindUdp(local, kReceiveBufferBytes);
  if (!fd) return tl::unexpected(fd.error());
  return std::make_unique<UdpSocket>(loop, *fd, std::move(receiver));
}

UdpSocket::UdpSocket(EventLoop& loop, int fd, Receiver receiver)
    : fd_(fd),
      socket_(h2o_evloop_socket_create(loop.h2o_loop(), fd,
                                       H2O_SOCKET_FLAG_DONT_READ)),
      receiver_(std::move(receiver)) {
  socket_->data = this;
  h2o_socket_read_start(socket_, OnReadable);
}

UdpSocket::~UdpSocket() { h2o_socket_close(socket_); }

bool UdpSocket::Send(const Endpoint& to, std::string_view payload) {
  const sockaddr_in address = to.ToSockaddr();
  const ssize_t sent =
      sendto(fd_, payload.data(), payload.size(), 0,
             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return sent == static_cast<ssize_t>(payload.size());
}

Endpoint UdpSocket::local() const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length);
  return Endpoint::FromSockaddr(address);
}

void UdpSocket::OnReadable(h2o_socket_t* socket, const char* error) {
  if (error != nullptr) return;
  static_cast<UdpSocket*>(socket->data)->ReceiveAll();
}

void UdpSocket::ReceiveAll() {
  std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxDatagramsPerRead; ++i) {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    const ssize_t size =
        recvfrom(fd_, buffer.data(), buffer.size(), 0,
                 reinterpret_cast<sockaddr*>(&address), &length);
    // An ICMP error for an earlier send; the socket stays usable.
    if (size < 0 && errno == ECONNREFUSED) continue;
    if (size < 0) return;
    receiver_(Endpoint::FromSockaddr(address),
              std::string_view(buffer.data(), static_cast<size_t>(size)));
  }
}

}  // namespace sesamesaddle
