// Clients, servers, routers and the checks of cases 6 to 10.
#pragma once

#include <cstdarg>

#include "net.hpp"
#include "store.hpp"

constexpr Seconds kHeartbeat = 1.2;
constexpr Seconds kStableWindow = 4.0;
constexpr Seconds kFlowTtl = 60;
constexpr char kService[] = "orders";
constexpr char kRouteIp[] = "198.18.0.1";
constexpr int kRoutePort = 8443;

// Offsets from the base port, and addresses.
constexpr int kPackets = 0, kReady = 1, kControl = 2, kOutbound = 3, kApp = 4,
              kPath = 6, kStorePort = 50;
inline std::string balancer_ip(int i) {
  return "127.10.0." + std::to_string(i + 1);
}
inline std::string agent_ip(int i) {
  return "127.20.0." + std::to_string(i + 1);
}
constexpr char kClientIp[] = "127.30.0.1";
constexpr char kStoreIp[] = "127.40.0.1";
// Machines at the store: agents from 0 on, balancers from 10 on.
constexpr int kMachines = 20, kFirstBalancer = 10;

enum Flag : uint8_t { kSyn = 1, kBounced = 2, kFin = 4, kAck = 16, kRst = 128 };

struct Packet {
  uint8_t flags = 0;
  std::string pad = std::string(3, '\0');
  uint16_t sport = 0, dport = 0;
  uint32_t src = 0, dst = 0, sum = 0, seq = 0, ack = 0, echo = 0;
  std::string data;

  static constexpr size_t kHead = 34;

  uint32_t make_sum() const {
    uint32_t h = 0x5eed1234;
    const auto add = [&h](uint32_t v) {
      h = (h ^ v) * 16777619U;
      h ^= h >> 13;
    };
    add(static_cast<uint32_t>(data.size()));
    add(flags & ~kBounced);
    for (const uint32_t v : {uint32_t{sport}, uint32_t{dport}, src, dst, seq,
                             ack}) {
      add(v);
    }
    for (const char c : data) add(static_cast<uint8_t>(c));
    return h == 0 ? 1 : h;
  }
  bool intact() const { return sum == make_sum(); }
  std::string bytes() const {
    std::string b;
    const auto put = [&b](uint32_t v, int n) {
      while (n-- > 0) b += static_cast<char>(v >> (8 * n));
    };
    put(static_cast<uint32_t>(data.size()), 2);
    put(flags, 1);
    b += pad;
    put(sport, 2);
    put(dport, 2);
    for (const uint32_t v : {src, dst, sum, seq, ack, echo}) put(v, 4);
    return b + data;
  }
  static bool read(const std::string& b, Packet& p) {
    if (b.size() < kHead) return false;
    const auto get = [&b](size_t at, int n) {
      uint32_t v = 0;
      for (int i = 0; i < n; ++i) v = (v << 8) | static_cast<uint8_t>(b[at++]);
      return v;
    };
    if (b.size() != kHead + get(0, 2)) return false;
    p.flags = static_cast<uint8_t>(get(2, 1));
    p.pad = b.substr(3, 3);
    p.sport = static_cast<uint16_t>(get(6, 2));
    p.dport = static_cast<uint16_t>(get(8, 2));
    p.src = get(10, 4);
    p.dst = get(14, 4);
    p.sum = get(18, 4);
    p.seq = get(22, 4);
    p.ack = get(26, 4);
    p.echo = get(30, 4);
    p.data = b.substr(kHead);
    return true;
  }
};

inline uint32_t ip_number(const std::string& ip) {
  return ntohl(address(ip, 0).sin_addr.s_addr);
}

class World;

// One start of a server beside an agent.
class Server {
 public:
  struct Options {
    std::string id;
    int slots = 3;
    Seconds work = 0.02;
    Seconds cold = 0;  // How long it is cold after its start.
  };
  Server(World& world, int agent, Options options);
  ~Server();
  void crash();
  bool alive() const { return alive_; }
  bool holds(uint16_t client_port) const {
    const auto it = flows_.find(client_port);
    return it != flows_.end() && it->second.open;
  }
  const std::string& id() const { return options_.id; }
  Seconds acknowledged() const { return acknowledged_; }
  size_t runs() const { return runs_; }
  // Most opened flows whose SYN was sent and arrived within one second while
  // the server was cold.
  size_t most_cold() const;

 private:
  struct Flow {
    uint32_t client_seq = 0, expected = 0, seq = 0, next = 0;
    bool open = false;
    std::string last_data, last_answer;
    uint32_t last_answer_seq = 0;
    Seconds syn_sent = 0, syn_arrived = 0;
  };
  void on_bytes();
  void on_packet(Packet p);
  void send_packet(const Packet& p);
  Packet answer(const Packet& to, const Flow& flow) const;
  void run(uint16_t port, const Packet& request);
  void start_work();
  void respond(uint16_t port, const Packet& request);
  void beat();

  World& world_;
  int agent_;
  Options options_;
  int fd_ = -1;
  bool alive_ = true;
  int64_t born_, sequence_ = 0;
  Seconds started_, acknowledged_ = 0;
  size_t runs_ = 0, running_ = 0;
  std::vector<std::pair<uint16_t, Packet>> queue_;
  std::map<uint16_t, Flow> flows_;
  std::vector<std::pair<Seconds, Seconds>> cold_flows_;
  std::unique_ptr<Caller> caller_;
  std::shared_ptr<int> guard_ = std::make_shared<int>(0);
};

// One flow of a client.
struct ClientFlow {
  uint16_t port = 0;
  uint32_t isn = 0, seq = 0, server_next = 0;
  enum { kOpening, kOpen, kClosed } state = kOpening;
  bool fresh = false;  // One request, then it closes.
  Seconds syn_sent = 0, opened_at_server = 0, until = 0;
  std::shared_ptr<Server> server;  // Which has the end of the handshake.
  std::string request;             // Not answered yet.
  uint32_t request_seq = 0;
  int64_t request_number = 0;
};

class World {
 public:
  World(int base, const std::string& record, int balancers, int agents)
      : base(base),
        store(loop, kStoreIp, base + kStorePort, kMachines),
        record_(fopen(record.c_str(), "w")) {
    if (record_ == nullptr) cannot_run("cannot write " + record);
    client_fd_ = bind_udp(kClientIp, base + kPackets);
    if (client_fd_ < 0) cannot_run("no port for the clients");
    loop.watch(client_fd_, POLLIN, [this](short) { on_client_bytes(); });
    for (int i = 0; i < balancers; ++i) {
      probes_.push_back(
          std::make_unique<Caller>(loop, balancer_ip(i), base + kReady));
    }
    ready_.assign(static_cast<size_t>(balancers), false);
    for (int i = 0; i < agents; ++i) {
      paths.push_back(std::make_unique<Path>(
          loop, agent_ip(i), base + kPath, base + kControl,
          [this](const std::string& text) { note("%s", text.c_str()); }));
    }
    probe();
  }

  void note(const char* format, ...) {
    va_list list;
    va_start(list, format);
    fprintf(record_, "%8.3f  ", now() - zero_);
    vfprintf(record_, format, list);
    va_end(list);
    fputc('\n', record_);
    fflush(record_);
  }
  // Calls `begin` once all balancers are ready; gives up after 20 s.
  void when_ready(std::function<void()> begin) {
    if (std::all_of(ready_.begin(), ready_.end(), [](bool r) { return r; })) {
      zero_ = now();
      note("all balancers are ready; traffic begins");
      return begin();
    }
    if (now() > 20) cannot_run("the balancers do not become ready");
    loop.after(0.1, [this, begin] { when_ready(begin); });
  }
  void put_config(double slow_start_s, double warmup_per_s) {
    char services[300];
    snprintf(services, sizeof(services),
             "{\"name\":\"%s\",\"healthCheck\":\"/healthz\","
             "\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false,"
             "\"slowStartS\":%.1f,\"warmupPerS\":%.1f}",
             kService, slow_start_s, warmup_per_s);
    store.put(
        "op/config",
        std::string("{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"") +
            kRouteIp +
            "\",\"prefix\":\"/8443/\",\"type\":\"non_idempotent\","
            "\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":1,"
            "\"service\":\"" +
            kService +
            "\",\"maxAttempts\":2}],\"services\":[" + services +
            "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  }
  std::shared_ptr<Server> start_server(int agent, Server::Options options) {
    auto server = std::make_shared<Server>(*this, agent, std::move(options));
    servers_.push_back(server);
    return server;
  }
  // Opens a flow that lasts for `lasts`, with a pause between requests; or a
  // flow of one request, if `lasts` is 0. One that is reset or fails is
  // followed by a new one from a new port.
  void open_flow(Seconds lasts) { open_flow_until(now() + lasts, lasts == 0); }
  void open_flow_until(Seconds until, bool fresh) {
    const uint16_t port = next_port_++;
    ClientFlow& f = flows_[port];
    f.port = port;
    f.isn = f.seq = static_cast<uint32_t>(random());
    f.fresh = fresh;
    f.until = until;
    f.syn_sent = now();
    ++opened_;
    send_syn(port, 0);
  }
  // Asks the script to kill or start a program of the project.
  void order(const char* verb, const char* role, int index) {
    note("%s %s %d", verb, role, index);
    printf("%s %s %d\n", verb, role, index);
    fflush(stdout);
  }
  // Each request of a long flow follows the last one after this time.
  void set_pause(Seconds pause) { pause_ = pause; }
  // A disruption of the server or its links lasts until now.
  void disrupted() { disrupted_until_ = now(); }
  void cut(int agent) {
    note("the path from the server to the control address of agent %d is cut",
         agent);
    paths[static_cast<size_t>(agent)]->cut();
  }
  void heal(int agent) {
    note("the path to the control address of agent %d is whole again", agent);
    paths[static_cast<size_t>(agent)]->heal();
    disrupted();
  }

  // The flow's server has the end of the handshake.
  void on_open(uint16_t port, Server* server) {
    const auto it = flows_.find(port);
    if (it == flows_.end()) return;
    for (const auto& s : servers_) {
      if (s.get() == server) it->second.server = s;
    }
    it->second.opened_at_server = now();
  }
  Seconds syn_sent(uint16_t port) const {
    const auto it = flows_.find(port);
    return it == flows_.end() ? 0 : it->second.syn_sent;
  }
  void changed_packet(const char* at) {
    ++changed_;
    note("a changed packet reaches a %s", at);
  }
  void summary() {
    note("sent: %lld flows, %lld requests; answered: %lld; run: %zu",
         static_cast<long long>(opened_), static_cast<long long>(requests_),
         static_cast<long long>(answered_), total_runs());
    note("resets of the system: %d, of which %d on open flows of living servers "
         "with no disruption in the last %.0f s; changed packets: %d",
         resets_, broken_, kStableWindow, changed_);
  }
  int broken() const { return broken_; }
  int changed() const { return changed_; }
  int64_t answered() const { return answered_; }

  Loop loop;
  const int base;
  Store store;
  std::vector<std::unique_ptr<Path>> paths;

 private:
  size_t total_runs() const {
    size_t runs = 0;
    for (const auto& s : servers_) runs += s->runs();
    return runs;
  }
  void probe() {
    for (size_t i = 0; i < probes_.size(); ++i) {
      probes_[i]->call("GET", "/v1/ready", "",
                       [this, i](int status) { ready_[i] = status == 200; });
    }
    loop.after(0.5, [this] { probe(); });
  }
  Packet make(const ClientFlow& f, uint8_t flags) const {
    Packet p;
    p.flags = flags;
    p.src = ip_number(kClientIp);
    p.sport = f.port;
    p.dst = ip_number(kRouteIp);
    p.dport = kRoutePort;
    p.seq = f.seq;
    p.ack = f.server_next;
    return p;
  }
  // The routers: a hash over the daemons in rotation.
  void send_packet(Packet p) {
    p.sum = p.make_sum();
    std::vector<size_t> in;
    for (size_t i = 0; i < ready_.size(); ++i) {
      if (ready_[i]) in.push_back(i);
    }
    if (in.empty()) {
      for (size_t i = 0; i < ready_.size(); ++i) in.push_back(i);
    }
    const size_t at = in[(p.sport * 2654435761U >> 16) % in.size()];
    const sockaddr_in to =
        address(balancer_ip(static_cast<int>(at)), base + kPackets);
    const std::string b = p.bytes();
    sendto(client_fd_, b.data(), b.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }
  void send_syn(uint16_t port, int copy) {
    const auto it = flows_.find(port);
    if (it == flows_.end() || it->second.state != ClientFlow::kOpening) return;
    if (copy == 3) return end_attempt(port);
    Packet p = make(it->second, kSyn);
    p.seq = it->second.isn;
    p.ack = static_cast<uint32_t>(copy);
    send_packet(p);
    static const Seconds kNext[] = {0.2, 0.4, 0.8};
    loop.after(kNext[copy], [this, port, copy] { send_syn(port, copy + 1); });
  }
  // The flow is over; what it was for goes on in a new one.
  void end_attempt(uint16_t port) {
    ClientFlow& f = flows_[port];
    const bool again = f.state != ClientFlow::kClosed && !f.fresh &&
                       now() < f.until - 1;
    f.state = ClientFlow::kClosed;
    f.request.clear();
    const Seconds until = f.until;
    if (again) {
      loop.after(0.1, [this, until] { open_flow_until(until, false); });
    }
  }
  void send_request(uint16_t port) {
    ClientFlow& f = flows_[port];
    if (f.state != ClientFlow::kOpen || !f.request.empty()) return;
    f.request_number = ++requests_;
    f.request = "POST /orders HTTP/1.1\r\nX-Request-Id: q" +
                std::to_string(f.request_number) +
                "\r\nContent-Length: 0\r\n\r\n";
    f.request_seq = f.seq;
    transmit(port, f.request_number, 0.2);
  }
  void transmit(uint16_t port, int64_t number, Seconds wait) {
    ClientFlow& f = flows_[port];
    if (f.state != ClientFlow::kOpen || f.request.empty() ||
        f.request_number != number) {
      return;
    }
    if (wait > 3.3) return end_attempt(port);  // Its deadline is over.
    Packet p = make(f, kAck);
    p.seq = f.request_seq;
    p.data = f.request;
    f.seq = f.request_seq + static_cast<uint32_t>(f.request.size());
    send_packet(p);
    loop.after(std::min(wait, 1.6), [this, port, number, wait] {
      transmit(port, number, wait * 2);
    });
  }
  void on_client_bytes() {
    char bytes[2048];
    for (ssize_t n; (n = recv(client_fd_, bytes, sizeof(bytes), 0)) >= 0;) {
      Packet p;
      if (!Packet::read(std::string(bytes, static_cast<size_t>(n)), p)) {
        changed_packet("client");
        continue;
      }
      on_client_packet(p);
    }
  }
  void on_client_packet(const Packet& p) {
    const auto it = flows_.find(p.dport);
    if (it == flows_.end()) return;
    ClientFlow& f = it->second;
    if ((p.flags & kRst) && p.sum == 0 && p.data.empty()) {
      return on_system_reset(f, p);
    }
    if (!p.intact()) return changed_packet("client");
    if (p.flags & kRst) {
      if (f.state != ClientFlow::kClosed) end_attempt(f.port);
      return;
    }
    if (f.state == ClientFlow::kOpening && (p.flags & kSyn)) {
      f.state = ClientFlow::kOpen;
      f.seq = f.isn + 1;
      f.server_next = p.seq + 1;
      send_packet(make(f, kAck));
      return send_request(f.port);
    }
    if (f.state != ClientFlow::kOpen || (p.flags & kSyn)) return;
    if (p.seq != f.server_next) return send_packet(make(f, kAck));
    f.server_next += static_cast<uint32_t>(p.data.size());
    if (p.flags & kFin) ++f.server_next;
    if (!p.data.empty() && !f.request.empty()) {
      ++answered_;
      f.request.clear();
      const bool last = f.fresh || now() > f.until || (p.flags & kFin);
      send_packet(make(f, last ? kAck | kFin : kAck));
      if (last) {
        ++f.seq;
        end_attempt(f.port);
      } else {
        const uint16_t port = f.port;
        loop.after(pause_, [this, port] { send_request(port); });
      }
    } else if (p.flags & kFin) {
      send_packet(make(f, kAck | kFin));
      end_attempt(f.port);
    }
  }
  void on_system_reset(ClientFlow& f, const Packet& p) {
    ++resets_;
    const bool open = f.opened_at_server > 0 && f.state == ClientFlow::kOpen;
    const bool lives = f.server && f.server->alive() && f.server->holds(f.port);
    const bool calm = now() - disrupted_until_ > kStableWindow;
    const bool counts = open && lives && calm &&
                        now() - f.opened_at_server < kFlowTtl;
    note("reset of the system on flow %u: %s, server %s %s, open for %.1f s, "
         "last disruption %.1f s ago%s",
         f.port, open ? "open" : "not open",
         f.server ? f.server->id().c_str() : "none",
         lives ? "lives and holds it" : "does not hold it",
         open ? now() - f.opened_at_server : 0.0, now() - disrupted_until_,
         counts ? " -- FLOW is broken" : "");
    if (counts) ++broken_;
    const bool fits = f.state == ClientFlow::kOpening ||
                      f.server_next - p.seq <= 76800 ||
                      p.seq - f.server_next <= 76800;
    if (f.state != ClientFlow::kClosed && fits) end_attempt(f.port);
  }

  FILE* record_;
  Seconds zero_ = 0, disrupted_until_ = -1000, pause_ = 0.5;
  int client_fd_ = -1;
  std::vector<std::unique_ptr<Caller>> probes_;
  std::vector<bool> ready_;
  std::vector<std::shared_ptr<Server>> servers_;
  std::map<uint16_t, ClientFlow> flows_;
  uint16_t next_port_ = 20000;
  int64_t opened_ = 0, requests_ = 0, answered_ = 0;
  int resets_ = 0, broken_ = 0, changed_ = 0;
};

inline Server::Server(World& world, int agent, Options options)
    : world_(world),
      agent_(agent),
      options_(std::move(options)),
      born_(unix_ms()),
      started_(now()) {
  fd_ = bind_udp(agent_ip(agent), world.base + kApp);
  if (fd_ < 0) cannot_run("no port for a server");
  world_.loop.watch(fd_, POLLIN, [this](short) { on_bytes(); });
  caller_ = std::make_unique<Caller>(world.loop, agent_ip(agent),
                                     world.base + kPath);
  world_.note("server %s starts beside agent %d", options_.id.c_str(), agent);
  beat();
}

inline Server::~Server() {
  if (alive_) crash();
}

inline void Server::crash() {
  if (!alive_) return;
  alive_ = false;
  guard_.reset();
  world_.loop.unwatch(fd_);
  close(fd_);
  caller_->drop();
  flows_.clear();
  world_.note("server %s has ended", options_.id.c_str());
}

inline void Server::beat() {
  const Seconds cold = std::max(0.0, options_.cold - (now() - started_));
  char body[600];
  snprintf(body, sizeof(body),
           "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z1\","
           "\"version\":\"v1\",\"capacity\":%d,\"state\":\"%s\","
           "\"slowStartMs\":%d,\"seq\":%lld,\"born\":%lld}",
           kService, agent_ip(agent_).c_str(), world_.base + kApp,
           options_.slots, "ready",
           static_cast<int>(cold * 1000), static_cast<long long>(++sequence_),
           static_cast<long long>(born_));
  const int64_t number = sequence_;
  std::weak_ptr<int> alive = guard_;
  caller_->call("POST", "/v1/instances/" + options_.id + "/heartbeat", body,
                [this, alive, number](int status) {
                  if (alive.expired()) return;
                  if (status / 100 == 2) acknowledged_ = now();
                  world_.note("heartbeat %lld of %s: %s",
                              static_cast<long long>(number),
                              options_.id.c_str(),
                              status == 0 ? "no answer"
                                          : std::to_string(status).c_str());
                });
  world_.loop.after(kHeartbeat, [this, alive] {
    if (!alive.expired()) beat();
  });
}

inline void Server::on_bytes() {
  char bytes[2048];
  std::weak_ptr<int> alive = guard_;
  for (ssize_t n; !alive.expired() &&
                  (n = recv(fd_, bytes, sizeof(bytes), 0)) >= 0;) {
    Packet p;
    if (!Packet::read(std::string(bytes, static_cast<size_t>(n)), p) ||
        !p.intact()) {
      world_.changed_packet("server");
      continue;
    }
    on_packet(p);
  }
}

inline void Server::send_packet(const Packet& p) {
  const sockaddr_in to = address(agent_ip(agent_), world_.base + kOutbound);
  const std::string b = p.bytes();
  sendto(fd_, b.data(), b.size(), 0, reinterpret_cast<const sockaddr*>(&to),
         sizeof(to));
}

inline Packet Server::answer(const Packet& to, const Flow& flow) const {
  Packet p;
  p.flags = kAck;
  p.src = to.dst;
  p.sport = to.dport;
  p.dst = to.src;
  p.dport = to.sport;
  p.seq = flow.next;
  p.ack = flow.expected;
  return p;
}

inline void Server::on_packet(Packet p) {
  if (p.flags & kSyn) {
    Flow& flow = flows_[p.sport];
    if (flow.client_seq != p.seq) {
      if (flow.open) return;
      flow = Flow();
      flow.client_seq = p.seq;
      flow.expected = p.seq + 1;
      flow.seq = static_cast<uint32_t>(random());
      flow.next = flow.seq + 1;
      flow.syn_sent = world_.syn_sent(p.sport);
      flow.syn_arrived = now();
    }
    Packet a = answer(p, flow);
    a.flags = kSyn | kAck;
    a.seq = flow.seq;
    a.sum = a.make_sum();
    return send_packet(a);
  }
  const auto it = flows_.find(p.sport);
  const bool held = it != flows_.end() &&
                    (it->second.open || p.ack == it->second.seq + 1);
  if (!held) {
    p.flags |= kBounced;
    p.pad.assign(3, '\0');
    return send_packet(p);
  }
  Flow& flow = it->second;
  if (!flow.open) {
    flow.open = true;
    world_.on_open(p.sport, this);
    if (now() - started_ < options_.cold) {
      cold_flows_.emplace_back(flow.syn_sent, flow.syn_arrived);
    }
  }
  if (p.flags & kRst) {
    flows_.erase(it);
    return;
  }
  if (!p.data.empty()) {
    if (p.seq == flow.expected) {
      flow.expected += static_cast<uint32_t>(p.data.size());
      run(p.sport, p);
    } else if (p.data == flow.last_data && !flow.last_answer.empty()) {
      Packet a = answer(p, flow);
      a.seq = flow.last_answer_seq;
      a.data = flow.last_answer;
      a.sum = a.make_sum();
      send_packet(a);
    }
  }
  if (p.flags & kFin) {
    ++flow.expected;
    Packet a = answer(p, flow);
    a.flags = kAck | kFin;
    a.sum = a.make_sum();
    send_packet(a);
    flows_.erase(p.sport);
  }
}

inline void Server::run(uint16_t port, const Packet& request) {
  flows_[port].last_data = request.data;
  flows_[port].last_answer.clear();
  queue_.emplace_back(port, request);
  start_work();
}

inline void Server::start_work() {
  while (running_ < static_cast<size_t>(options_.slots) && !queue_.empty()) {
    const auto [port, request] = queue_.front();
    queue_.erase(queue_.begin());
    ++running_;
    ++runs_;
    const bool cold = now() - started_ < options_.cold;
    std::weak_ptr<int> alive = guard_;
    world_.loop.after(options_.work * (cold ? 1.6 : 1.0),
                      [this, alive, port = port, request = request] {
                        if (alive.expired()) return;
                        --running_;
                        respond(port, request);
                        start_work();
                      });
  }
}

inline void Server::respond(uint16_t port, const Packet& request) {
  const auto it = flows_.find(port);
  if (it == flows_.end()) return;
  Flow& flow = it->second;
  Packet a = answer(request, flow);
  a.data =
      "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n";
  flow.last_answer = a.data;
  flow.last_answer_seq = a.seq;
  flow.next += static_cast<uint32_t>(a.data.size());
  a.sum = a.make_sum();
  send_packet(a);
}

inline size_t Server::most_cold() const {
  size_t most = 0;
  for (const auto& [sent, arrived] : cold_flows_) {
    size_t count = 0;
    for (const auto& [s, a] : cold_flows_) {
      count += s >= sent && a < sent + 1.0 ? 1 : 0;
    }
    most = std::max(most, count);
  }
  return most;
}
