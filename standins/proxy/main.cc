// Stand-in for the network between a process and a service: passes TCP
// connections on, and disturbs them as told. A datagram to the control address
// says how:
//   ok              as it should be
//   delay MS        bytes take so much longer
//   reset           connections are reset, the present ones and new ones
//   cut up|down     bytes towards the service, or back from it, are held
//   hush            present connections fall silent for good; new ones work

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <deque>
#include <list>
#include <sstream>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"

namespace sesamesaddle {
namespace {

constexpr int kPollMs = 5;
constexpr size_t kReadBytes = 16384;

/** Bytes on their way, and when they may arrive. */
struct Piece {
  std::string bytes;
  TimePoint due;
};

/** One direction of a connection. */
struct Way {
  int from = -1;
  int to = -1;
  std::deque<Piece> pieces;
  bool ended = false;
};

struct Connection {
  Way up;
  Way down;
  bool hushed = false;
  bool over = false;
};

struct Disturbance {
  Duration delay{};
  bool reset = false;
  bool cut_up = false;
  bool cut_down = false;
};

int OpenSocket(const std::string& address, int type) {
  const auto endpoint = Endpoint::Parse(address);
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in bound = endpoint->ToSockaddr();
  if (bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
      (type == SOCK_STREAM && listen(fd, SOMAXCONN) != 0)) {
    perror(("proxy: " + address).c_str());
    exit(1);
  }
  return fd;
}

/** Ends a connection by a reset towards both sides. */
void Reset(Connection& connection) {
  const linger abort{1, 0};
  for (const int fd : {connection.up.from, connection.up.to}) {
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(fd);
  }
  connection.over = true;
}

class Proxy {
 public:
  Proxy(const std::string& listen, const std::string& control,
        const Endpoint& service)
      : listener_(OpenSocket(listen, SOCK_STREAM)),
        control_(OpenSocket(control, SOCK_DGRAM)),
        service_(service) {}

  [[noreturn]] void Run() {
    while (true) {
      Wait();
      Control();
      Accept();
      for (Connection& connection : connections_) Move(connection);
      connections_.remove_if([](const auto& c) { return c.over; });
    }
  }

 private:
  void Wait() {
    std::vector<pollfd> fds = {{listener_, POLLIN, 0}, {control_, POLLIN, 0}};
    for (const Connection& connection : connections_) {
      if (connection.hushed) continue;
      for (const Way* way : {&connection.up, &connection.down}) {
        if (!way->ended) fds.push_back({way->from, POLLIN, 0});
      }
    }
    poll(fds.data(), fds.size(), kPollMs);
  }

  void Control() {
    char text[64];
    const ssize_t size = recv(control_, text, sizeof(text), 0);
    if (size <= 0) return;
    std::istringstream words(std::string(text, static_cast<size_t>(size)));
    std::string mode;
    std::string argument;
    words >> mode >> argument;
    if (mode == "hush") {
      for (Connection& connection : connections_) connection.hushed = true;
      return;
    }
    now_ = Disturbance();
    if (mode == "delay") {
      now_.delay = std::chrono::milliseconds(std::stoi(argument));
    }
    now_.cut_up = mode == "cut" && argument == "up";
    now_.cut_down = mode == "cut" && argument == "down";
    now_.reset = mode == "reset";
    if (!now_.reset) return;
    for (Connection& connection : connections_) Reset(connection);
  }

  void Accept() {
    while (true) {
      const int client =
          accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (client < 0) return;
      const int service = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = service_.ToSockaddr();
      Connection connection;
      connection.up.from = connection.down.to = client;
      connection.up.to = connection.down.from = service;
      const bool reached =
          connect(service, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0;
      if (!reached || now_.reset) {
        Reset(connection);
        continue;
      }
      const int one = 1;
      setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      setsockopt(service, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      fcntl(service, F_SETFL, O_NONBLOCK);
      connections_.push_back(std::move(connection));
    }
  }

  void Move(Connection& connection) {
    if (connection.over || connection.hushed) return;
    Read(connection.up);
    Read(connection.down);
    if (!now_.cut_up) Write(connection.up);
    if (!now_.cut_down) Write(connection.down);
    const auto done = [](const Way& way) {
      return way.ended && way.pieces.empty();
    };
    if (!done(connection.up) && !done(connection.down)) return;
    close(connection.up.from);
    close(connection.up.to);
    connection.over = true;
  }

  void Read(Way& way) {
    if (way.ended) return;
    std::string bytes(kReadBytes, '\0');
    const ssize_t size = recv(way.from, bytes.data(), bytes.size(), 0);
    if (size == 0 || (size < 0 && errno != EAGAIN)) way.ended = true;
    if (size <= 0) return;
    bytes.resize(static_cast<size_t>(size));
    way.pieces.push_back({std::move(bytes), clock_.Now() + now_.delay});
  }

  void Write(Way& way) {
    while (!way.pieces.empty() && way.pieces.front().due <= clock_.Now()) {
      std::string& bytes = way.pieces.front().bytes;
      const ssize_t sent =
          send(way.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno == EAGAIN) return;
      if (sent < 0) {
        way.ended = true;
        way.pieces.clear();
        return;
      }
      bytes.erase(0, static_cast<size_t>(sent));
      if (bytes.empty()) way.pieces.pop_front();
    }
  }

  SteadyClock clock_;
  int listener_;
  int control_;
  Endpoint service_;
  Disturbance now_;
  std::list<Connection> connections_;
};

int Main(int argc, char** argv) {
  std::string listen;
  std::string control;
  std::string service;
  CLI::App app("Passes TCP connections on and disturbs them.", "proxy");
  app.add_option("--listen", listen)->required();
  app.add_option("--control", control, "UDP")->required();
  app.add_option("--to", service)->required();
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  Proxy(listen, control, Endpoint::Parse(service).value()).Run();
}

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) { return sesamesaddle::Main(argc, argv); }
