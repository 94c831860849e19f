#include "net/packet_socket.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "net/bind_udp.h"

namespace sesamesaddle {
namespace {

constexpr size_t kBatchSize = 32;
// Leaves time for timers and other sockets while packets flood in.
constexpr int kMaxBatchesPerRead = 8;
// Must hold a burst from many senders, as UDP has no flow control.
constexpr int kReceiveBufferBytes = 1 << 20;

}  // namespace

tl::expected<std::unique_ptr<PacketSocket>, NetError> PacketSocket::Open(
    EventLoop& loop, const Endpoint& local, Handlers handlers) {
  const auto fd = BindUdp(local, kReceiveBufferBytes);
  if (!fd) return tl::unexpected(fd.error());
  return std::make_unique<PacketSocket>(loop, *fd, std::move(handlers));
}

PacketSocket::PacketSocket(EventLoop& loop, int fd, Handlers handlers)
    : fd_(fd),
      socket_(h2o_evloop_socket_create(loop.h2o_loop(), fd,
                                       H2O_SOCKET_FLAG_DONT_READ)),
      handlers_(std::move(handlers)),
      receive_buffer_(kBatchSize * kMaxPacketBytes) {
  socket_->data = this;
  h2o_socket_read_start(socket_, OnReadable);
}

PacketSocket::~PacketSocket() { h2o_socket_close(socket_); }

void PacketSocket::OnReadable(h2o_socket_t* socket, const char* error) {
  if (error != nullptr) return;
  static_cast<PacketSocket*>(socket->data)->ReceiveAll();
}

void PacketSocket::ReceiveAll() {
  std::array<mmsghdr, kBatchSize> messages{};
  std::array<iovec, kBatchSize> vectors{};
  std::array<sockaddr_in, kBatchSize> senders{};
  drained_ = false;
  for (int batch = 0; batch < kMaxBatchesPerRead; ++batch) {
    for (size_t i = 0; i < kBatchSize; ++i) {
      vectors[i] = {receive_buffer_.data() + i * kMaxPacketBytes,
                    kMaxPacketBytes};
      msghdr& header = messages[i].msg_hdr;
      header = {};
      header.msg_name = &senders[i];
      header.msg_namelen = sizeof(sockaddr_in);
      header.msg_iov = &vectors[i];
      header.msg_iovlen = 1;
    }
    const int count =
        recvmmsg(fd_, messages.data(), kBatchSize, MSG_DONTWAIT, nullptr);
    if (count < 0) {
      // An ICMP error for an earlier send; the socket stays usable.
      if (errno == ECONNREFUSED) {
        if (handlers_.on_unreachable) handlers_.on_unreachable();
        continue;
      }
      drained_ = true;
      return;
    }
    for (int i = 0; i < count; ++i) {
      const auto index = static_cast<size_t>(i);
      handlers_.on_datagram(Endpoint::FromSockaddr(senders[index]),
                            receive_buffer_.data() + index * kMaxPacketBytes,
                            messages[index].msg_len);
    }
    handlers_.on_batch_end();
    if (count < static_cast<int>(kBatchSize)) {
      drained_ = true;
      return;
    }
  }
  drained_ = !Readable();
}

bool PacketSocket::Readable() const {
  pollfd request{fd_, POLLIN, 0};
  return poll(&request, 1, 0) > 0;
}

void PacketSocket::Queue(const Endpoint& to, std::string_view bytes) {
  const size_t offset = send_buffer_.size();
  send_buffer_.insert(send_buffer_.end(), bytes.begin(), bytes.end());
  send_queue_.push_back({to.ToSockaddr(), offset, bytes.size()});
}

void PacketSocket::Flush() {
  std::array<mmsghdr, kBatchSize> messages{};
  std::array<iovec, kBatchSize> vectors{};
  for (size_t start = 0; start < send_queue_.size();) {
    const size_t count = std::min(kBatchSize, send_queue_.size() - start);
    for (size_t i = 0; i < count; ++i) {
      QueuedDatagram& next = send_queue_[start + i];
      vectors[i] = {send_buffer_.data() + next.offset, next.size};
      msghdr& header = messages[i].msg_hdr;
      header = {};
      header.msg_name = &next.address;
      header.msg_namelen = sizeof(next.address);
      header.msg_iov = &vectors[i];
      header.msg_iovlen = 1;
    }
    const int sent = sendmmsg(fd_, messages.data(),
                              static_cast<unsigned int>(count), MSG_DONTWAIT);
    if (sent <= 0) {
      if (errno == ECONNREFUSED && handlers_.on_unreachable) {
        handlers_.on_unreachable();
      }
      ++send_failures_;
      ++start;  // The datagram is lost; the next ones may still be sent.
      continue;
    }
    start += static_cast<size_t>(sent);
  }
  send_queue_.clear();
  send_buffer_.clear();
}

}  // namespace sesamesaddle
