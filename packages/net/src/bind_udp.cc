#include "net/bind_udp.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace sesamesaddle {

tl::expected<int, NetError> BindUdp(const Endpoint& local,
                                    int receive_buffer_bytes) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return tl::unexpected(NetError{std::string("socket: ") + strerror(errno)});
  }
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
             sizeof(receive_buffer_bytes));
  const sockaddr_in address = local.ToSockaddr();
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    const std::string reason = strerror(errno);
    close(fd);
    return tl::unexpected(
        NetError{"bind UDP " + local.ToString() + ": " + reason});
  }
  return fd;
}

}  // namespace sesamesaddle
