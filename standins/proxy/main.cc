// Stand-in for the network between a process and a service: a TCP proxy that
// injects faults. A datagram to the control address selects the fault:
//   ok              none; connections silenced by "hush" stay so
//   delay MS        bytes are forwarded MS milliseconds later
//   reset           existing and new connections are reset
//   cut up|down     bytes to or from the service are buffered, not forwarded
//   hush            existing connections stop forwarding for good; new ones
//                   are not affected

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

/** Received bytes and the earliest time to forward them. */
struct DelayedChunk {
  std::string bytes;
  TimePoint forward_at;
};

/** One direction of a connection, between two sockets. */
struct ByteStream {
  int from = -1;
  int to = -1;
  std::deque<DelayedChunk> chunks;
  bool end_of_stream = false;
};

struct Connection {
  ByteStream up;    // From the client to the service.
  ByteStream down;  // From the service to the client.
  bool silenced = false;
  bool closed = false;
};

struct Faults {
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

/** Closes both sides of a connection with a TCP reset. */
void Reset(Connection& connection) {
  const linger abort{1, 0};
  for (const int fd : {connection.up.from, connection.up.to}) {
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(fd);
  }
  connection.closed = true;
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
      PollSockets();
      ReadControl();
      Accept();
      for (Connection& connection : connections_) Forward(connection);
      connections_.remove_if([](const auto& c) { return c.closed; });
    }
  }

 private:
  void PollSockets() {
    std::vector<pollfd> fds = {{listener_, POLLIN, 0}, {control_, POLLIN, 0}};
    for (const Connection& connection : connections_) {
      if (connection.silenced) continue;
      for (const ByteStream* stream : {&connection.up, &connection.down}) {
        if (!stream->end_of_stream) fds.push_back({stream->from, POLLIN, 0});
      }
    }
    poll(fds.data(), fds.size(), kPollMs);
  }

  void ReadControl() {
    char text[64];
    const ssize_t size = recv(control_, text, sizeof(text), 0);
    if (size <= 0) return;
    std::istringstream arguments(std::string(text, static_cast<size_t>(size)));
    std::string mode;
    std::string argument;
    arguments >> mode >> argument;
    if (mode == "hush") {
      for (Connection& connection : connections_) connection.silenced = true;
      return;
    }
    faults_ = Faults();
    if (mode == "delay") {
      faults_.delay = std::chrono::milliseconds(std::stoi(argument));
    }
    faults_.cut_up = mode == "cut" && argument == "up";
    faults_.cut_down = mode == "cut" && argument == "down";
    faults_.reset = mode == "reset";
    if (!faults_.reset) return;
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
      const bool connected =
          connect(service, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0;
      if (!connected || faults_.reset) {
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

  void Forward(Connection& connection) {
    if (connection.closed || connection.silenced) return;
    Read(connection.up);
    Read(connection.down);
    if (!faults_.cut_up) Write(connection.up);
    if (!faults_.cut_down) Write(connection.down);
    const auto done = [](const ByteStream& stream) {
      return stream.end_of_stream && stream.chunks.empty();
    };
    if (!done(connection.up) && !done(connection.down)) return;
    close(connection.up.from);
    close(connection.up.to);
    connection.closed = true;
  }

  void Read(ByteStream& stream) {
    if (stream.end_of_stream) return;
    std::string bytes(kReadBytes, '\0');
    const ssize_t size = recv(stream.from, bytes.data(), bytes.size(), 0);
    if (size == 0 || (size < 0 && errno != EAGAIN)) stream.end_of_stream = true;
    if (size <= 0) return;
    bytes.resize(static_cast<size_t>(size));
    stream.chunks.push_back({std::move(bytes), clock_.Now() + faults_.delay});
  }

  void Write(ByteStream& stream) {
    while (!stream.chunks.empty() &&
           stream.chunks.front().forward_at <= clock_.Now()) {
      std::string& bytes = stream.chunks.front().bytes;
      const ssize_t sent =
          send(stream.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno == EAGAIN) return;
      if (sent < 0) {
        stream.end_of_stream = true;
        stream.chunks.clear();
        return;
      }
      bytes.erase(0, static_cast<size_t>(sent));
      if (bytes.empty()) stream.chunks.pop_front();
    }
  }

  SteadyClock clock_;
  int listener_;
  int control_;
  Endpoint service_;
  Faults faults_;
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
