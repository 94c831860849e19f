// Event loop, HTTP and packet helpers of the stand-ins that the cases of the
// review share. One thread, poll(2), no library but nlohmann-json.

#ifndef REVIEW_STANDINS_WORLD_H_
#define REVIEW_STANDINS_WORLD_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

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
#include <vector>

/** Milliseconds on the steady clock. */
using Millis = int64_t;

inline Millis SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

struct Address {
  uint32_t ip = 0;
  uint16_t port = 0;

  std::string ToString() const {
    char text[32];
    snprintf(text, sizeof(text), "%u.%u.%u.%u:%u", ip >> 24, (ip >> 16) & 255,
             (ip >> 8) & 255, ip & 255, port);
    return text;
  }
  std::string Ip() const {
    const std::string text = ToString();
    return text.substr(0, text.find(':'));
  }
  sockaddr_in ToSockaddr() const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(ip);
    address.sin_port = htons(port);
    return address;
  }
  friend bool operator<(const Address& a, const Address& b) {
    return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
  }
  friend bool operator==(const Address& a, const Address& b) {
    return a.ip == b.ip && a.port == b.port;
  }
};

/** 127.A.B.C */
inline uint32_t Loopback(int a, int b, int c) {
  return (127U << 24) | (static_cast<uint32_t>(a) << 16) |
         (static_cast<uint32_t>(b) << 8) | static_cast<uint32_t>(c);
}

class Loop {
 public:
  using Callback = std::function<void()>;

  Millis Now() const { return SteadyMs() - start_; }
  void At(Millis at, Callback callback) {
    timers_.emplace(std::make_pair(at, next_timer_++), std::move(callback));
  }
  void After(Millis delay, Callback callback) {
    At(Now() + delay, std::move(callback));
  }
  void Every(Millis period, Callback callback) {
    After(period, [this, period, callback] {
      callback();
      Every(period, callback);
    });
  }
  void Watch(int fd, short events, std::function<void(short)> handler) {
    handlers_[fd] = {events, ++generation_, std::move(handler)};
  }
  void SetEvents(int fd, short events) {
    const auto it = handlers_.find(fd);
    if (it != handlers_.end()) it->second.events = events;
  }
  void Forget(int fd) { handlers_.erase(fd); }
  void Stop() { stopped_ = true; }
  void Run() {
    while (!stopped_) {
      Millis wait = 50;
      if (!timers_.empty()) {
        wait = std::max<Millis>(
            0, std::min<Millis>(wait, timers_.begin()->first.first - Now()));
      }
      std::vector<pollfd> fds;
      std::vector<uint64_t> generations;
      for (const auto& [fd, handler] : handlers_) {
        fds.push_back({fd, handler.events, 0});
        generations.push_back(handler.generation);
      }
      poll(fds.data(), fds.size(), static_cast<int>(wait));
      for (size_t i = 0; i < fds.size(); ++i) {
        if (fds[i].revents == 0) continue;
        const auto it = handlers_.find(fds[i].fd);
        if (it == handlers_.end() || it->second.generation != generations[i]) {
          continue;
        }
        const auto handler = it->second.handler;
        handler(fds[i].revents);
      }
      while (!timers_.empty() && timers_.begin()->first.first <= Now()) {
        const Callback callback = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        callback();
        if (stopped_) break;
      }
    }
  }

 private:
  struct Handler {
    short events = 0;
    uint64_t generation = 0;
    std::function<void(short)> handler;
  };
  Millis start_ = SteadyMs();
  uint64_t next_timer_ = 0;
  uint64_t generation_ = 0;
  bool stopped_ = false;
  std::map<std::pair<Millis, uint64_t>, Callback> timers_;
  std::map<int, Handler> handlers_;
};

/** Binds a socket, or ends the program: the case cannot run. */
inline int BindSocket(const Address& address, int type) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in bound = address.ToSockaddr();
  if (bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 256) != 0)) {
    fprintf(stderr, "cannot bind %s: %s\n", address.ToString().c_str(),
            strerror(errno));
    exit(2);
  }
  return fd;
}

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;
};

/** Answers one request, at once or later. */
class Responder {
 public:
  using Send = std::function<void(int, const std::string&)>;
  explicit Responder(Send send) : send_(std::move(send)) {}
  void Answer(int status, const std::string& body) {
    if (send_) std::exchange(send_, nullptr)(status, body);
  }

 private:
  Send send_;
};

inline std::string Unescape(const std::string& text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain +=
          static_cast<char>(strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

/** HTTP/1.1 with keep-alive; bodies have a content-length. */
class HttpServer {
 public:
  using Handler =
      std::function<void(const Request&, std::shared_ptr<Responder>)>;

  HttpServer(Loop& loop, const Address& listen, Handler handler)
      : loop_(loop),
        handler_(std::move(handler)),
        listener_(BindSocket(listen, SOCK_STREAM)) {
    loop_.Watch(listener_, POLLIN, [this](short) { Accept(); });
  }
  /** Resets the present connections and, until it is set back, new ones. */
  void SetRefusing(bool refusing) {
    refusing_ = refusing;
    if (!refusing) return;
    auto connections = std::exchange(connections_, {});
    for (auto& [fd, connection] : connections) ResetSocket(fd);
  }

 private:
  struct Connection {
    std::string input;
    std::string output;
    bool busy = false;
    uint64_t id = 0;
  };

  void ResetSocket(int fd) {
    loop_.Forget(fd);
    const linger abort{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(fd);
  }
  void Accept() {
    while (true) {
      const int fd =
          accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      if (refusing_) {
        ResetSocket(fd);
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      connections_[fd].id = ++next_id_;
      loop_.Watch(fd, POLLIN, [this, fd](short) { Read(fd); });
    }
  }
  void Close(int fd) {
    loop_.Forget(fd);
    connections_.erase(fd);
    close(fd);
  }
  void Read(int fd) {
    char bytes[65536];
    const ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
    if (size == 0 || (size < 0 && errno != EAGAIN)) {
      Close(fd);
      return;
    }
    if (size < 0) {
      Write(fd);
      return;
    }
    connections_[fd].input.append(bytes, static_cast<size_t>(size));
    Parse(fd);
  }
  void Parse(int fd) {
    const auto it = connections_.find(fd);
    if (it == connections_.end() || it->second.busy) return;
    Connection& connection = it->second;
    const size_t end = connection.input.find("\r\n\r\n");
    if (end == std::string::npos) return;
    std::string head = connection.input.substr(0, end);
    size_t length = 0;
    std::string lower = head;
    for (char& c : lower) c = static_cast<char>(tolower(c));
    const size_t field = lower.find("content-length:");
    if (field != std::string::npos)
      length = strtoul(&lower[field + 15], nullptr, 10);
    if (connection.input.size() < end + 4 + length) return;
    Request request;
    const size_t space = head.find(' ');
    const size_t space2 = head.find(' ', space + 1);
    request.method = head.substr(0, space);
    std::string target = head.substr(space + 1, space2 - space - 1);
    const size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
      std::string rest = target.substr(mark + 1);
      while (!rest.empty()) {
        const size_t amp = rest.find('&');
        const std::string pair = rest.substr(0, amp);
        const size_t equals = pair.find('=');
        request.query[pair.substr(0, equals)] =
            equals == std::string::npos ? ""
                                        : Unescape(pair.substr(equals + 1));
        rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
      }
    }
    request.body = connection.input.substr(end + 4, length);
    connection.input.erase(0, end + 4 + length);
    connection.busy = true;
    const uint64_t id = connection.id;
    handler_(request, std::make_shared<Responder>(
                          [this, fd, id](int status, const std::string& body) {
                            Answer(fd, id, status, body);
                          }));
  }
  void Answer(int fd, uint64_t id, int status, const std::string& body) {
    const auto it = connections_.find(fd);
    if (it == connections_.end() || it->second.id != id) return;
    it->second.output += "HTTP/1.1 " + std::to_string(status) +
                         " -\r\ncontent-type: application/json\r\n"
                         "content-length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body;
    it->second.busy = false;
    Write(fd);
    Parse(fd);
  }
  void Write(int fd) {
    const auto it = connections_.find(fd);
    if (it == connections_.end()) return;
    std::string& output = it->second.output;
    while (!output.empty()) {
      const ssize_t sent = send(fd, output.data(), output.size(), MSG_NOSIGNAL);
      if (sent < 0) break;
      output.erase(0, static_cast<size_t>(sent));
    }
    loop_.SetEvents(fd, output.empty() ? POLLIN : POLLIN | POLLOUT);
  }

  Loop& loop_;
  Handler handler_;
  int listener_;
  bool refusing_ = false;
  uint64_t next_id_ = 0;
  std::map<int, Connection> connections_;
};

/** Sends one request on a connection of its own; status 0 after a failure. */
inline void HttpCall(Loop& loop, const Address& server,
                     const std::string& method, const std::string& path,
                     const std::string& body, Millis timeout,
                     std::function<void(int, const std::string&)> done) {
  struct Call {
    int fd = -1;
    std::string output;
    std::string input;
    bool over = false;
  };
  auto call = std::make_shared<Call>();
  call->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  call->output = method + " " + path +
                 " HTTP/1.1\r\nhost: " + server.ToString() +
                 "\r\ncontent-type: application/json\r\ncontent-length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body;
  const sockaddr_in address = server.ToSockaddr();
  const auto finish = [&loop, call, done](int status,
                                          const std::string& answer) {
    if (call->over) return;
    call->over = true;
    loop.Forget(call->fd);
    close(call->fd);
    done(status, answer);
  };
  connect(call->fd, reinterpret_cast<const sockaddr*>(&address),
          sizeof(address));
  loop.Watch(call->fd, POLLOUT, [&loop, call, finish](short events) {
    if (!call->output.empty()) {
      const ssize_t sent = send(call->fd, call->output.data(),
                                call->output.size(), MSG_NOSIGNAL);
      if (sent < 0) {
        if (errno != EAGAIN || (events & (POLLERR | POLLHUP)) != 0) {
          finish(0, "");
        }
        return;
      }
      call->output.erase(0, static_cast<size_t>(sent));
      if (call->output.empty()) loop.SetEvents(call->fd, POLLIN);
      return;
    }
    char bytes[65536];
    const ssize_t size = recv(call->fd, bytes, sizeof(bytes), 0);
    if (size < 0 && errno == EAGAIN) return;
    if (size <= 0) {
      finish(0, "");
      return;
    }
    call->input.append(bytes, static_cast<size_t>(size));
    const size_t end = call->input.find("\r\n\r\n");
    if (end == std::string::npos) return;
    std::string head = call->input.substr(0, end);
    for (char& c : head) c = static_cast<char>(tolower(c));
    const size_t field = head.find("content-length:");
    const size_t length = field == std::string::npos
                              ? 0
                              : strtoul(&head[field + 15], nullptr, 10);
    if (call->input.size() < end + 4 + length) return;
    finish(atoi(&head[9]), call->input.substr(end + 4, length));
  });
  loop.After(timeout, [finish] { finish(0, ""); });
}

/** The packet of PROTOCOL.md. */
struct Packet {
  bool syn = false, ack = false, fin = false, rst = false, bounced = false;
  Address source, destination;
  uint32_t seq = 0, ack_number = 0, echo = 0, sum = 0;
  std::string data;
};

constexpr size_t kHeadBytes = 34;

inline void Put(std::string& to, size_t at, uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    to[at + static_cast<size_t>(i)] =
        static_cast<char>(value >> (8 * (bytes - 1 - i)));
  }
}
inline uint32_t Take(const std::string& from, size_t at, int bytes) {
  uint32_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value =
        (value << 8) | static_cast<uint8_t>(from[at + static_cast<size_t>(i)]);
  }
  return value;
}

/** Keyed sum over all fields except echo, pad, BOUNCED and itself. */
inline uint32_t Sum(std::string packet) {
  packet[2] = static_cast<char>(packet[2] & ~2);
  for (size_t i : {3, 4, 5, 18, 19, 20, 21, 30, 31, 32, 33}) packet[i] = 0;
  uint64_t hash = 0x9e3779b97f4a7c15ULL;
  for (const char c : packet) {
    hash = (hash ^ static_cast<uint8_t>(c)) * 0x100000001b3ULL;
    hash ^= hash >> 29;
  }
  return static_cast<uint32_t>(hash ^ (hash >> 32)) | 1;  // Never 0.
}

inline std::string Encode(const Packet& packet) {
  std::string bytes(kHeadBytes, '\0');
  Put(bytes, 0, packet.data.size(), 2);
  bytes[2] = static_cast<char>((packet.syn ? 1 : 0) | (packet.ack ? 16 : 0) |
                               (packet.fin ? 4 : 0) | (packet.rst ? 128 : 0));
  Put(bytes, 6, packet.source.port, 2);
  Put(bytes, 8, packet.destination.port, 2);
  Put(bytes, 10, packet.source.ip, 4);
  Put(bytes, 14, packet.destination.ip, 4);
  Put(bytes, 22, packet.seq, 4);
  Put(bytes, 26, packet.ack_number, 4);
  bytes += packet.data;
  Put(bytes, 18, Sum(bytes), 4);
  return bytes;
}

inline bool Decode(const std::string& bytes, Packet& packet) {
  if (bytes.size() < kHeadBytes ||
      bytes.size() != kHeadBytes + Take(bytes, 0, 2)) {
    return false;
  }
  const auto flags = static_cast<uint8_t>(bytes[2]);
  packet.syn = flags & 1;
  packet.bounced = flags & 2;
  packet.fin = flags & 4;
  packet.ack = flags & 16;
  packet.rst = flags & 128;
  packet.source = {Take(bytes, 10, 4),
                   static_cast<uint16_t>(Take(bytes, 6, 2))};
  packet.destination = {Take(bytes, 14, 4),
                        static_cast<uint16_t>(Take(bytes, 8, 2))};
  packet.sum = Take(bytes, 18, 4);
  packet.seq = Take(bytes, 22, 4);
  packet.ack_number = Take(bytes, 26, 4);
  packet.echo = Take(bytes, 30, 4);
  packet.data = bytes.substr(kHeadBytes);
  return true;
}

class UdpSocket {
 public:
  using Handler = std::function<void(const Address&, const std::string&)>;

  UdpSocket(Loop& loop, const Address& local, Handler handler)
      : loop_(loop), fd_(BindSocket(local, SOCK_DGRAM)) {
    loop.Watch(fd_, POLLIN, [this, handler](short) {
      char bytes[2048];
      sockaddr_in from{};
      for (int i = 0; i < 64; ++i) {
        socklen_t length = sizeof(from);
        const ssize_t size =
            recvfrom(fd_, bytes, sizeof(bytes), MSG_DONTWAIT,
                     reinterpret_cast<sockaddr*>(&from), &length);
        if (size < 0) {
          if (errno == ECONNREFUSED) continue;
          return;
        }
        handler({ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)},
                std::string(bytes, static_cast<size_t>(size)));
      }
    });
  }
  ~UdpSocket() {
    loop_.Forget(fd_);
    close(fd_);
  }
  UdpSocket(const UdpSocket&) = delete;
  void Send(const Address& to, const std::string& bytes) {
    const sockaddr_in address = to.ToSockaddr();
    sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }

 private:
  Loop& loop_;
  int fd_;
};

#endif  // REVIEW_STANDINS_WORLD_H_
