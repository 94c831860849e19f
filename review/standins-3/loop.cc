#include "loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace review {
namespace {

constexpr int kMaxWaitMs = 50;

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

void Loop::Every(Millis period, const Callback& callback) {
  After(period, [this, period, callback] {
    callback();
    Every(period, callback);
  });
}

void Loop::RunUntil(Clock::time_point end) {
  while (Clock::now() < end) {
    while (!timers_.empty() && timers_.begin()->first <= Clock::now()) {
      const Callback callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
    std::vector<pollfd> fds;
    fds.reserve(readers_.size());
    for (const auto& [fd, callback] : readers_) fds.push_back({fd, POLLIN, 0});
    int wait = kMaxWaitMs;
    if (!timers_.empty()) {
      const auto left =
          std::chrono::ceil<Millis>(timers_.begin()->first - Clock::now());
      wait = std::clamp(static_cast<int>(left.count()), 0, kMaxWaitMs);
    }
    poll(fds.data(), fds.size(), wait);
    for (const pollfd& fd : fds) {
      if (fd.revents == 0) continue;
      const auto reader = readers_.find(fd.fd);
      if (reader == readers_.end()) continue;
      const Callback callback = reader->second;
      callback();
    }
  }
}

int OpenUdp(const std::string& ip, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  const int bytes = 1 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    fprintf(stderr, "world: cannot bind %s:%d\n", ip.c_str(), port);
    exit(2);
  }
  return fd;
}

void SendUdp(int fd, const std::string& ip, uint16_t port,
             std::string_view bytes) {
  const sockaddr_in address = AddressOf(ip, port);
  sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void ReadUdp(int fd, const std::function<void(std::string_view)>& handle) {
  char buffer[2048];
  while (true) {
    const ssize_t size = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size < 0) return;
    handle(std::string_view(buffer, static_cast<size_t>(size)));
  }
}

int CallHttp(const std::string& ip, uint16_t port, const std::string& method,
             const std::string& path, const std::string& body) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval timeout{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in address = AddressOf(ip, port);
  int status = 0;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    const std::string request =
        method + " " + path + " HTTP/1.1\r\nhost: " + ip +
        "\r\ncontent-type: application/json\r\ncontent-length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    char answer[4096] = {};
    const ssize_t size = recv(fd, answer, sizeof(answer) - 1, 0);
    if (size > 12) status = atoi(answer + 9);
  }
  close(fd);
  return status;
}

}  // namespace review
