// Event loop, HTTP and JSON for the stand-ins of cases 6 to 10. POSIX only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using Seconds = double;

inline Seconds now() {
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration<double>(steady_clock::now() - start).count();
}

inline int64_t unix_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

inline sockaddr_in address(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}

inline void nonblocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
}

[[noreturn]] inline void cannot_run(const std::string& why) {
  fprintf(stderr, "cannot run: %s\n", why.c_str());
  _exit(2);
}

class Loop {
 public:
  void after(Seconds delay, std::function<void()> f) {
    timers_.emplace(now() + delay, std::move(f));
  }
  void watch(int fd, short events, std::function<void(short)> f) {
    fds_[fd] = {events, std::move(f)};
  }
  void unwatch(int fd) { fds_.erase(fd); }
  void stop() { stopped_ = true; }
  void run() {
    while (!stopped_) {
      while (!timers_.empty() && timers_.begin()->first <= now()) {
        auto f = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        f();
        if (stopped_) return;
      }
      int wait = 50;
      if (!timers_.empty()) {
        wait = std::clamp(
            static_cast<int>((timers_.begin()->first - now()) * 1000) + 1, 0,
            50);
      }
      std::vector<pollfd> polled;
      for (const auto& [fd, w] : fds_) polled.push_back({fd, w.events, 0});
      poll(polled.data(), polled.size(), wait);
      for (const pollfd& p : polled) {
        if (p.revents == 0) continue;
        const auto it = fds_.find(p.fd);
        if (it == fds_.end()) continue;
        const auto f = it->second.f;
        f(p.revents);
      }
    }
  }

 private:
  struct Watched {
    short events;
    std::function<void(short)> f;
  };
  std::multimap<Seconds, std::function<void()>> timers_;
  std::map<int, Watched> fds_;
  bool stopped_ = false;
};

inline int listen_tcp(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in a = address(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  nonblocking(fd);
  return fd;
}

inline int bind_udp(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_DGRAM, 0);
  const int size = 4 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  const sockaddr_in a = address(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0) {
    close(fd);
    return -1;
  }
  nonblocking(fd);
  return fd;
}

inline int connect_tcp(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  nonblocking(fd);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const sockaddr_in a = address(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

inline std::string to_lower(std::string s) {
  for (char& c : s) c = static_cast<char>(tolower(static_cast<uint8_t>(c)));
  return s;
}

// One HTTP/1.1 message: first line, headers in lower case, body.
struct Message {
  std::string first;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Takes a complete message off `buffer`; false if it is not complete yet.
inline bool take_message(std::string& buffer, Message& m) {
  const size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  m = Message();
  size_t at = buffer.find("\r\n");
  m.first = buffer.substr(0, at);
  while (at < end) {
    at += 2;
    const size_t line_end = buffer.find("\r\n", at);
    const std::string line = buffer.substr(at, line_end - at);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      m.headers[to_lower(line.substr(0, colon))] = line.substr(value);
    }
    at = line_end;
  }
  size_t length = 0;
  if (m.headers.count("content-length")) {
    length = static_cast<size_t>(atoll(m.headers["content-length"].c_str()));
  }
  if (buffer.size() < end + 4 + length) return false;
  m.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

inline std::string format_request(const std::string& method,
                                  const std::string& path,
                                  const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\nhost: control\r\n";
  if (!body.empty()) text += "content-type: application/json\r\n";
  return text + "content-length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline std::string format_response(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " -\r\ncontent-type: application/json\r\ncontent-length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A caller with one kept connection, as many HTTP clients have. A call without
// an answer within a second has failed; its connection is closed then.
class Caller {
 public:
  Caller(Loop& loop, std::string ip, int port)
      : loop_(loop), ip_(std::move(ip)), port_(port) {}
  ~Caller() { drop(); }
  // `done` gets the status, or 0 without an answer.
  void call(const std::string& method, const std::string& path,
            const std::string& body, std::function<void(int)> done) {
    if (done_) finish(0);
    done_ = std::move(done);
    const int64_t id = ++id_;
    out_ = format_request(method, path, body);
    if (fd_ < 0) {
      in_.clear();
      fd_ = connect_tcp(ip_, port_);
      if (fd_ < 0) return finish(0);
    }
    arm();
    std::weak_ptr<int> alive = alive_;
    loop_.after(1.0, [this, alive, id] {
      if (!alive.expired() && id == id_ && done_) {
        drop();
        finish(0);
      }
    });
  }
  // Closes the connection as the system does when the process ends.
  void drop() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    close(fd_);
    fd_ = -1;
  }

 private:
  void arm() {
    loop_.watch(fd_, static_cast<short>(POLLIN | (out_.empty() ? 0 : POLLOUT)),
                [this](short events) { on_event(events); });
  }
  void on_event(short events) {
    if (!out_.empty() && (events & POLLOUT)) {
      const ssize_t n = send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (n > 0) out_.erase(0, static_cast<size_t>(n));
      if (n < 0 && errno != EAGAIN) return fail();
      arm();
    }
    if (events & (POLLIN | POLLERR | POLLHUP)) {
      char bytes[8192];
      const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
      if (n == 0 || (n < 0 && errno != EAGAIN)) return fail();
      if (n > 0) in_.append(bytes, static_cast<size_t>(n));
      Message m;
      if (take_message(in_, m)) finish(atoi(m.first.c_str() + 9));
    }
  }
  void fail() {
    drop();
    finish(0);
  }
  void finish(int status) {
    if (!done_) return;
    const auto done = std::move(done_);
    done_ = nullptr;
    done(status);
  }

  Loop& loop_;
  std::string ip_;
  int port_;
  int fd_ = -1;
  int64_t id_ = 0;
  std::string in_, out_;
  std::function<void(int)> done_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

// The path from a server to the control address of its machine. While it is
// cut, no new connection is made, and bytes on connections that were made
// before are sent again after 0.2, 0.6, 1.4, 3.0, 6.2 and 12.6 s, as TCP does:
// they arrive with the first of these attempts that finds the path whole, also
// if the sender has closed the connection or ended since.
class Path {
 public:
  Path(Loop& loop, const std::string& ip, int port, int to_port,
       std::function<void(const std::string&)> note)
      : loop_(loop), ip_(ip), to_port_(to_port), note_(std::move(note)) {
    const int fd = listen_tcp(ip, port);
    if (fd < 0) cannot_run("no port for the path to control");
    loop_.watch(fd, POLLIN, [this, fd](short) {
      for (int c; (c = accept(fd, nullptr, nullptr)) >= 0;) accepted(c);
    });
  }
  void cut() { cut_ = true; }
  void heal() { cut_ = false; }

 private:
  struct Connection {
    int from = -1, to = -1;
    std::string up;  // Bytes that wait for the next attempt.
    bool from_ended = false, waiting = false, lost = false;
    Seconds sent = 0;
  };
  using Pointer = std::shared_ptr<Connection>;

  void accepted(int fd) {
    nonblocking(fd);
    const auto c = std::make_shared<Connection>();
    c->from = fd;
    c->lost = cut_;  // Its opening packet is lost.
    if (!c->lost) {
      c->to = connect_tcp(ip_, to_port_);
      if (c->to >= 0) {
        loop_.watch(c->to, POLLIN, [this, c](short) { from_control(c); });
      }
    }
    loop_.watch(fd, POLLIN, [this, c](short) { from_server(c); });
  }
  void from_server(const Pointer& c) {
    char bytes[8192];
    const ssize_t n = recv(c->from, bytes, sizeof(bytes), 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) {
      loop_.unwatch(c->from);
      close(c->from);
      c->from = -1;
      // A reset loses what was held up; a close does not.
      if (n < 0) c->lost = true;
      c->from_ended = true;
      if (c->lost || !c->waiting) end(c);
      return;
    }
    if (c->lost) return;
    c->up.append(bytes, static_cast<size_t>(n));
    if (c->waiting) return;
    c->sent = now();
    if (cut_) {
      c->waiting = true;
      attempt(c, 0);
    } else {
      pass(c);
    }
  }
  void attempt(const Pointer& c, size_t number) {
    static const Seconds kAttempts[] = {0.2, 0.6, 1.4, 3.0, 6.2, 12.6};
    if (number >= 6) return end(c);
    loop_.after(c->sent + kAttempts[number] - now(), [this, c, number] {
      if (c->lost) return;
      if (cut_) return attempt(c, number + 1);
      c->waiting = false;
      const size_t line = c->up.find("\r\n");
      note_("path: held-up bytes arrive after " +
            std::to_string(now() - c->sent) + " s: " + c->up.substr(0, line));
      pass(c);
      if (c->from_ended) loop_.after(0.3, [this, c] { end(c); });
    });
  }
  void pass(const Pointer& c) {
    if (c->to < 0) return;
    // The messages are small: the socket takes them whole.
    [[maybe_unused]] const ssize_t n =
        send(c->to, c->up.data(), c->up.size(), MSG_NOSIGNAL);
    c->up.clear();
  }
  void from_control(const Pointer& c) {
    char bytes[8192];
    const ssize_t n = recv(c->to, bytes, sizeof(bytes), 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) return end(c);
    if (c->from >= 0 && !cut_) {
      send(c->from, bytes, static_cast<size_t>(n), MSG_NOSIGNAL);
    }
  }
  void end(const Pointer& c) {
    c->lost = true;
    for (int* fd : {&c->from, &c->to}) {
      if (*fd < 0) continue;
      loop_.unwatch(*fd);
      close(*fd);
      *fd = -1;
    }
  }

  Loop& loop_;
  std::string ip_;
  int to_port_;
  std::function<void(const std::string&)> note_;
  bool cut_ = false;
};
