// The platform, its router and store, clients and backends of the review's
// cases, on loopback. It starts the project's own programs as separate
// processes, brings about the disruption of one case and judges what clients
// and backends saw.
//
//   world CASE ROOT RECORD    exit code 1: the rule broke, 0: it held,
//                             2: the case could not run
//
// TROUBLE=0 in the environment leaves the disruption out.

#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

#include "world.hpp"

using Json = nlohmann::json;

namespace {

// Figures of the settings, as in DEPLOY.md and the small sites.
constexpr Millis kHeartbeatMs = 1200;
constexpr Millis kStableWindowMs = 4000;
constexpr Millis kDrainTimeoutMs = 3000;
constexpr Millis kIdleTimeoutMs = 15000;
constexpr Millis kStoreAnswerMs = 4;
constexpr Millis kTrafficBegins = 10000;
constexpr Millis kRequestDeadlineMs = 3000;

std::mt19937_64& Random() {
  static std::mt19937_64 random(std::random_device{}());
  return random;
}
Millis Below(Millis limit) {
  return static_cast<Millis>(Random()() % static_cast<uint64_t>(limit));
}

std::string Base64(const std::string& bytes) {
  static const char* kChars =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = (group << 8) |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text +=
          i + j < bytes.size() + 1 ? kChars[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

/** Writes record.txt. */
class Record {
 public:
  Record(Loop& loop, const std::string& path) : loop_(loop), file_(path) {}
  void Line(const std::string& text) {
    char time[32];
    snprintf(time, sizeof(time), "%8.3f ",
             static_cast<double>(loop_.Now()) / 1000);
    file_ << time << text << "\n";
    file_.flush();
  }

 private:
  Loop& loop_;
  std::ofstream file_;
};

/** The addresses and ports of the deployment; all on 127.0.0.0/8. */
struct Layout {
  uint16_t base = 0;
  int balancers = 3;
  int agents = 6;
  std::vector<std::string> services;  // Of each agent.

  Address Balancer(int i, int port) const {
    return {Loopback(11, 0, i + 1), static_cast<uint16_t>(base + port)};
  }
  Address Agent(int i, int port) const {
    return {Loopback(12, 0, i + 1), static_cast<uint16_t>(base + port)};
  }
  /** Each machine reaches the one store at an address of its own. */
  Address StoreOfBalancer(int i) const {
    return {Loopback(13, 1, i + 1), static_cast<uint16_t>(base + 50)};
  }
  Address StoreOfAgent(int i) const {
    return {Loopback(13, 2, i + 1), static_cast<uint16_t>(base + 50)};
  }
  Address Client(int i) const {
    return {Loopback(14, static_cast<int>(i / 200), i % 200 + 1),
            static_cast<uint16_t>(base)};
  }
  Address Route(int i) const { return {Loopback(15, 0, i + 1), 443}; }
};
// Ports as offsets from the base.
constexpr int kDatagram = 0;
constexpr int kReadiness = 1;
constexpr int kControl = 2;
constexpr int kOutbound = 3;
constexpr int kApp = 4;

/** The platform's metadata store, as in PROTOCOL.md. */
class Store {
 public:
  Store(Loop& loop, Record& record) : loop_(loop), record_(record) {
    loop_.Every(20, [this] { Expire(); });
  }
  void Listen(const std::string& machine, const Address& address) {
    servers_[machine] = std::make_unique<HttpServer>(
        loop_, address,
        [this, machine](const Request& request,
                        std::shared_ptr<Responder> responder) {
          Handle(machine, request, std::move(responder));
        });
  }
  /** Turns a machine away by resets; its keys are taken away at once. */
  void Reject(const std::string& machine, bool revoke) {
    servers_[machine]->SetRefusing(true);
    record_.Line("store: turns " + machine + " away (reset)");
    if (!revoke) return;
    for (const std::string& key : keys_of_[machine]) {
      if (items_.count(key) == 0) continue;
      record_.Line("store: takes away key " + key + " of " + machine);
      Remove(key);
    }
    WakeWatches();
  }
  void Serve(const std::string& machine) {
    servers_[machine]->SetRefusing(false);
    record_.Line("store: serves " + machine + " again");
  }
  void WriteByOperator(const std::string& key, const std::string& value) {
    Write(key, Base64(value), 0);
    WakeWatches();
  }
  bool Has(const std::string& key) const { return items_.count(key) != 0; }
  /** Keys that a machine has written under a lease. */
  std::set<std::string> KeysOf(const std::string& machine) {
    return keys_of_[machine];
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Lease {
    Millis ttl = 0;
    Millis ends = 0;
  };
  struct Event {
    std::string key;
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
    bool removed = false;
  };
  struct Waiting {
    std::string prefix;
    int64_t after = 0;
    Millis until = 0;
    std::shared_ptr<Responder> responder;
  };

  void Write(const std::string& key, const std::string& value, int64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    if (item.created == 0) item.created = revision_;
    item.lease = lease;
    history_.push_back({key, value, revision_, item.created, lease, false});
  }
  void Remove(const std::string& key) {
    if (items_.erase(key) == 0) return;
    history_.push_back({key, "", ++revision_, 0, 0, true});
  }
  void EndLease(int64_t lease) {
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) keys.push_back(key);
    }
    for (const std::string& key : keys) Remove(key);
  }
  void Expire() {
    std::vector<int64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.ends < loop_.Now()) ended.push_back(id);
    }
    for (const int64_t id : ended) {
      record_.Line("store: lease " + std::to_string(id) + " has run out");
      EndLease(id);
    }
    WakeWatches();
  }
  static Json ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"createRev", item.created},
            {"lease", item.lease}};
  }
  void Handle(const std::string& machine, const Request& request,
              std::shared_ptr<Responder> responder) {
    if (request.path == "/v1/kv-watch") {
      Waiting waiting{request.query.at("prefix"),
                      atoll(request.query.at("after").c_str()),
                      loop_.Now() + atoll(request.query.at("waitMs").c_str()),
                      std::move(responder)};
      watches_.push_back(std::move(waiting));
      WakeWatches();
      return;
    }
    const auto [status, body] = Execute(machine, request);
    loop_.After(kStoreAnswerMs, [responder, status = status, body = body] {
      responder->Answer(status, body.dump());
    });
    WakeWatches();
  }
  std::pair<int, Json> Execute(const std::string& machine,
                               const Request& request) {
    if (request.path == "/v1/kv-key") {
      const std::string key = request.query.at("key");
      const auto it = items_.find(key);
      if (it == items_.end()) return {404, Json::object()};
      Json body = ToJson(key, it->second);
      body["asOf"] = revision_;
      return {200, body};
    }
    if (request.path == "/v1/kv-range") {
      const std::string prefix = request.query.at("prefix");
      const auto after = request.query.find("after");
      Json items = Json::array();
      bool truncated = false;
      for (auto it = items_.lower_bound(prefix);
           it != items_.end() &&
           it->first.compare(0, prefix.size(), prefix) == 0;
           ++it) {
        if (after != request.query.end() && it->first <= after->second)
          continue;
        if (items.size() == 500) {
          truncated = true;
          break;
        }
        items.push_back(ToJson(it->first, it->second));
      }
      return {
          200,
          {{"items", items}, {"truncated", truncated}, {"asOf", revision_}}};
    }
    if (request.path == "/v1/kv-txn") return Transact(machine, request.body);
    if (request.path == "/v1/kv-lease") {
      const Json body = Json::parse(request.body);
      const Millis ttl =
          std::clamp<Millis>(body.value("ttlMs", int64_t{1000}), 1000, 600000);
      const int64_t id = static_cast<int64_t>(1000 + ++next_lease_);
      leases_[id] = {ttl, loop_.Now() + ttl};
      return {200, {{"lease", id}, {"ttlMs", ttl}}};
    }
    const std::string keep = "/v1/kv-keep/";
    if (request.path.rfind(keep, 0) == 0) {
      const int64_t id = atoll(request.path.substr(keep.size()).c_str());
      const auto it = leases_.find(id);
      if (it == leases_.end()) return {404, Json::object()};
      it->second.ends = loop_.Now() + it->second.ttl;
      return {200, {{"lease", id}, {"ttlMs", it->second.ttl}}};
    }
    const std::string end = "/v1/kv-lease-end/";
    if (request.path.rfind(end, 0) == 0) {
      const int64_t id = atoll(request.path.substr(end.size()).c_str());
      if (leases_.count(id) == 0) return {404, Json::object()};
      EndLease(id);
      return {200, Json::object()};
    }
    return {404, Json::object()};
  }
  std::pair<int, Json> Transact(const std::string& machine,
                                const std::string& text) {
    const Json body = Json::parse(text);
    Json failed = Json::array();
    for (const Json& row : body.value("precondition", Json::array())) {
      const std::string key = row.at("key");
      const auto it = items_.find(key);
      const int64_t revision = it == items_.end() ? 0 : it->second.revision;
      if (revision == row.at("revision").get<int64_t>()) continue;
      failed.push_back(it == items_.end() ? Json{{"key", key}, {"revision", 0}}
                                          : ToJson(key, it->second));
    }
    if (!failed.empty()) return {412, {{"items", failed}}};
    for (const Json& row : body.value("writes", Json::array())) {
      const int64_t lease = row.value("lease", int64_t{0});
      if (lease != 0 && leases_.count(lease) == 0) return {404, Json::object()};
    }
    for (const Json& row : body.value("writes", Json::array())) {
      Write(row.at("key"), row.at("value"), row.value("lease", int64_t{0}));
      keys_of_[machine].insert(row.at("key"));
    }
    for (const Json& key : body.value("remove", Json::array())) Remove(key);
    return {200, {{"revision", revision_}}};
  }
  void WakeWatches() {
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (it->after > revision_) {
        it->responder->Answer(410, "{}");
        it = watches_.erase(it);
        continue;
      }
      Json events = Json::array();
      for (const Event& event : history_) {
        if (event.revision <= it->after ||
            event.key.compare(0, it->prefix.size(), it->prefix) != 0) {
          continue;
        }
        if (event.removed) {
          events.push_back({{"key", event.key},
                            {"revision", event.revision},
                            {"removed", true}});
        } else {
          events.push_back({{"key", event.key},
                            {"value", event.value},
                            {"revision", event.revision},
                            {"createRev", event.created},
                            {"lease", event.lease}});
        }
      }
      if (events.empty() && loop_.Now() < it->until) {
        ++it;
        continue;
      }
      it->responder->Answer(
          200, Json{{"events", events}, {"asOf", revision_}}.dump());
      it = watches_.erase(it);
    }
  }

  Loop& loop_;
  Record& record_;
  std::map<std::string, std::unique_ptr<HttpServer>> servers_;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  std::vector<Event> history_;
  std::vector<Waiting> watches_;
  std::map<std::string, std::set<std::string>> keys_of_;
  int64_t revision_ = 10;
  int64_t next_lease_ = 0;
};

/** Client end and route of a flow. */
struct FlowId {
  Address client;
  Address route;
  std::string ToString() const {
    return client.ToString() + ">" + route.ToString();
  }
  friend bool operator<(const FlowId& a, const FlowId& b) {
    return a.client == b.client ? a.route < b.route : a.client < b.client;
  }
};

struct World;

/** One backend beside its agent; each start is a new incarnation. */
class Backend {
 public:
  Backend(World& world, int index);
  void Start();
  /** Ends without a word, as a machine that loses power. */
  void Crash() {
    alive_ = false;
    ++incarnation_;
    flows_.clear();
    ended_.clear();
  }
  bool alive() const { return alive_; }
  /** Whether the backend has the end of the flow's handshake. */
  bool HoldsOpen(const FlowId& flow) const {
    const auto it = flows_.find(flow);
    return alive_ && it != flows_.end() && it->second.open;
  }
  const std::string& id() const { return id_; }
  int index() const { return index_; }
  /** Says `draining` from now on. */
  void Drain();
  Millis drain_acknowledged() const { return drain_acknowledged_; }
  int64_t born() const { return born_; }

 private:
  struct Flow {
    uint32_t client_seq = 0;  // Of the SYN.
    uint32_t own_seq = 0;     // Of the SYN+ACK.
    bool open = false;
    uint32_t next_in = 0;   // Next byte expected of the client.
    uint32_t next_out = 0;  // Next byte to send.
    uint32_t acknowledged = 0;
    std::string answer;  // The latest one.
    uint32_t answer_seq = 0;
  };
  void OnPacket(const std::string& bytes);
  void Heartbeat();
  void SendAnswer(const FlowId& id, Millis delay, int tries);
  void Send(const FlowId& flow, Packet packet);

  World& world_;
  int index_;
  std::unique_ptr<UdpSocket> socket_;
  bool alive_ = false;
  bool draining_ = false;
  Millis drain_acknowledged_ = -1;
  int incarnation_ = 0;
  std::string id_;
  int64_t born_ = 0;
  int64_t seq_ = 0;
  std::map<FlowId, Flow> flows_;
  std::set<FlowId> ended_;
};

/** A client that keeps one flow open for many requests. */
class Client {
 public:
  Client(World& world, int index, Address route);
  void Start(Millis delay);
  /** Pause between an answer and the next request. */
  Millis pause = 1000;
  bool paused = false;
  /** Opens a flow for each request. */
  bool fresh = false;
  /** Backend that answered last; -1 before. */
  int backend = -1;
  int64_t answered = 0;
  int64_t failed = 0;
  int index() const { return index_; }

 private:
  void Open();
  void SendSyn(int copies, uint64_t attempt);
  void SendRequest(Millis next, uint64_t attempt);
  void OnPacket(const Address& from, const std::string& bytes);
  void NextRequest();
  void EndAttempt(bool success);
  void Send(Packet packet);

  World& world_;
  int index_;
  Address route_;
  std::unique_ptr<UdpSocket> socket_;
  uint16_t port_ = 0;
  bool open_ = false;
  bool opening_ = false;
  bool waiting_ = false;
  uint64_t attempt_ = 0;
  uint32_t seq_ = 0;  // Next byte to send.
  uint32_t syn_seq_ = 0;
  uint32_t peer_ = 0;  // Next byte expected.
  std::string request_;
  int64_t next_request_ = 0;
};

/** A process of the system. */
struct Process {
  std::string name;
  std::string role;
  std::string settings;
  std::string log;
  pid_t pid = 0;
};

struct World {
  World(std::string case_name, std::string root_path, const std::string& path)
      : name(std::move(case_name)),
        root(std::move(root_path)),
        record(loop, path),
        store(loop, record) {
    const char* text = getenv("TROUBLE");
    trouble = text == nullptr || std::string(text) != "0";
  }

  std::string name;
  std::string root;
  Loop loop;
  Record record;
  Store store;
  Layout layout;
  bool trouble = true;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<Client>> clients;
  std::map<std::string, Process> processes;
  std::string work;
  std::vector<int> misses;
  std::unique_ptr<UdpSocket> router;
  std::vector<std::string> violations;
  std::map<std::string, int> runs;
  /** Services to which any configuration ever allowed a route to go. */
  std::map<Address, std::set<std::string>> allowed;
  /** Resets of open flows count from this time on; -1: not yet. */
  Millis judge_from = -1;
  int64_t resets_before = 0;
  /** Leaves single requests out of the record. */
  bool quiet_record = false;
  /** A request takes so long, and up to twice as long. */
  Millis work_ms = 15;
  /** "mod" instead of "steady". */
  bool hash_mod = false;

  void Prepare(int balancers, std::vector<std::string> services);
  void WriteConfig(int64_t version,
                   const std::vector<std::pair<Address, std::string>>& routes);
  void StartProcess(const std::string& process_name);
  void Signal(const std::string& process_name, int signal);
  bool Running(const std::string& process_name);
  void KillAll();
  void Probe(int balancer);
  void RouteToBalancer(const FlowId& flow, const std::string& bytes);
  void AddClients(int count, Address route, Millis pause);
  void Violated(const std::string& text) {
    violations.push_back(text);
    record.Line("RULE BROKEN: " + text);
  }
  /** Called when a client gets a reset that no backend sent. */
  void OnReset(const FlowId& flow, const Address& from, uint32_t seq);
  std::string NameOf(const Address& from) const;
  void Setup(const std::string& process_name, const std::string& role,
             const std::string& ip, const Address& store_address,
             const std::string& extra, const std::string& listen);
  void SetupAgent(int i);
  int Finish(const std::string& rule);
};

std::string CommandOf(const std::string& root, const std::string& role) {
  std::ifstream file(root + "/deploy/system.toml");
  std::string line;
  bool in_role = false;
  while (std::getline(file, line)) {
    if (line.rfind("[", 0) == 0) in_role = line == "[roles." + role + "]";
    if (in_role && line.rfind("run = \"", 0) == 0) {
      return line.substr(7, line.rfind('"') - 7);
    }
  }
  fprintf(stderr, "deploy/system.toml has no role %s\n", role.c_str());
  exit(2);
}

bool PortsAreFree(uint16_t base) {
  for (const int offset : {0, 1, 2, 3, 4, 10, 11, 12, 50}) {
    for (const int type : {SOCK_DGRAM, SOCK_STREAM}) {
      const int fd = socket(AF_INET, type, 0);
      const sockaddr_in address =
          Address{Loopback(0, 0, 1), static_cast<uint16_t>(base + offset)}
              .ToSockaddr();
      const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0;
      close(fd);
      if (!bound) return false;
    }
  }
  return true;
}

void World::Setup(const std::string& process_name, const std::string& role,
                  const std::string& ip, const Address& store_address,
                  const std::string& extra, const std::string& listen) {
  Process& process = processes[process_name];
  process.name = process_name;
  process.role = role;
  process.settings = work + "/" + process_name + ".toml";
  process.log = work + "/" + process_name + ".log";
  std::ofstream file(process.settings);
  std::string seeds;
  for (int i = 0; i < std::min(3, layout.balancers); ++i) {
    seeds +=
        (i > 0 ? ",\"" : "\"") + layout.Balancer(i, kControl).ToString() + "\"";
  }
  file << "nodeName = \"" << process_name << "\"\n"
       << "role = \"" << role << "\"\n"
       << "ip = \"" << ip << "\"\n"
       << "zone = \"z1\"\nregion = \"r1\"\n"
       << "portRange = [" << layout.base + 10 << "," << layout.base + 25
       << "]\n"
       << "seeds = [" << seeds << "]\n"
       << "bootstrap = true\ninTolerance = false\ndiscovery = \"local\"\n"
       << "entry = \"announcement\"\nheartbeatMs = " << kHeartbeatMs << "\n"
       << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
          "\"flows\",\"platform\"]\n"
       << "hashPolicy = \"" << (hash_mod ? "mod" : "steady")
       << "\"\nproxyMode = \"agent\"\n"
       << extra << "[zones]\nz1 = \"r1\"\n"
       << "[listen]\n"
       << listen << "[limits]\ncpuShare = 0.5\ncpus = 1\nmemoryMb = 260\n"
       << "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
       << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = "
       << kStableWindowMs
       << "\nackTimeoutMs = 5000\ncatchUpS = 4\ndrainTimeoutMs = "
       << kDrainTimeoutMs
       << "\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\n"
          "backMs = 250\nmaxSkewMs = 12000\nrecoveryS = 12\n"
          "reorderMs = 2000\nflowTtlS = 60\n"
       << "[platform]\naddress = \"" << store_address.ToString()
       << "\"\nproxyMode = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n"
          "historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
}

void World::SetupAgent(int i) {
  Setup("agent-" + std::to_string(i), "agent", layout.Agent(i, 0).Ip(),
        layout.StoreOfAgent(i),
        "machineClass = \"side\"\nservice = \"" +
            layout.services[static_cast<size_t>(i)] + "\"\napp = \"" +
            layout.Agent(i, kApp).ToString() + "\"\n",
        "datagramAddr = \"" + layout.Agent(i, kDatagram).ToString() +
            "\"\noutbound = \"" + layout.Agent(i, kOutbound).ToString() +
            "\"\nreadiness = \"" + layout.Agent(i, kReadiness).ToString() +
            "\"\ncontrol = \"" + layout.Agent(i, kControl).ToString() + "\"\n");
}

void World::Prepare(int balancers, std::vector<std::string> services) {
  layout.balancers = balancers;
  layout.agents = static_cast<int>(services.size());
  layout.services = std::move(services);
  for (int i = 0; i < 50 && layout.base == 0; ++i) {
    const auto base = static_cast<uint16_t>(20000 + Below(100) * 100);
    if (PortsAreFree(base)) layout.base = base;
  }
  if (layout.base == 0) {
    fprintf(stderr, "no free ports\n");
    exit(2);
  }
  char directory[] = "/tmp/review-XXXXXX";
  if (mkdtemp(directory) == nullptr) exit(2);
  work = directory;
  misses.assign(static_cast<size_t>(balancers), 2);
  router =
      std::make_unique<UdpSocket>(loop, Address{Loopback(16, 0, 1), 0},
                                  [](const Address&, const std::string&) {});
  for (int i = 0; i < balancers; ++i) {
    const std::string machine = "balancer-" + std::to_string(i);
    store.Listen(machine, layout.StoreOfBalancer(i));
    Setup(machine, "balancer", layout.Balancer(i, 0).Ip(),
          layout.StoreOfBalancer(i), "machineClass = \"edge\"\n",
          "datagramAddr = \"" + layout.Balancer(i, kDatagram).ToString() +
              "\"\nreadiness = \"" + layout.Balancer(i, kReadiness).ToString() +
              "\"\ncontrol = \"" + layout.Balancer(i, kControl).ToString() +
              "\"\n");
  }
  for (int i = 0; i < layout.agents; ++i) {
    store.Listen("agent-" + std::to_string(i), layout.StoreOfAgent(i));
    SetupAgent(i);
    backends.push_back(std::make_unique<Backend>(*this, i));
  }
  for (const auto& [process_name, process] : processes) {
    const std::string started = process_name;
    loop.After(Below(300), [this, started] { StartProcess(started); });
  }
  for (auto& backend : backends) {
    loop.After(Below(kHeartbeatMs), [&backend] { backend->Start(); });
  }
  for (int i = 0; i < balancers; ++i) {
    loop.After(Below(500), [this, i] { Probe(i); });
  }
}

void World::WriteConfig(
    int64_t version,
    const std::vector<std::pair<Address, std::string>>& routes) {
  Json list = Json::array();
  std::set<std::string> names;
  for (const auto& [address, service] : routes) {
    names.insert(service);
    allowed[address].insert(service);
    list.push_back({{"name", "route-" + address.ToString()},
                    {"host", address.Ip()},
                    {"prefix", "/" + std::to_string(address.port) + "/"},
                    {"type", "idempotent"},
                    {"timeoutMs", kRequestDeadlineMs},
                    {"targetLatencyMs", 150},
                    {"maxAttempts", 2},
                    {"priority", 1},
                    {"service", service}});
  }
  Json services = Json::array();
  for (const std::string& service : names) {
    services.push_back({{"name", service},
                        {"healthCheck", "/healthz"},
                        {"maxConnections", 2000}});
  }
  store.WriteByOperator("op/config",
                        Json{{"version", version},
                             {"routes", list},
                             {"services", services},
                             {"limits", {{"idleTimeoutMs", kIdleTimeoutMs}}}}
                            .dump());
  record.Line("operator: configuration " + std::to_string(version) + " with " +
              std::to_string(routes.size()) + " routes is acknowledged");
}

void World::StartProcess(const std::string& process_name) {
  Process& process = processes[process_name];
  std::vector<std::string> words;
  std::istringstream command(CommandOf(root, process.role));
  for (std::string word; command >> word;) words.push_back(word);
  const std::string config = "SESAMESADDLE_CONFIG=" + process.settings;
  const char* path = getenv("PATH");
  const std::string path_variable =
      std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    if (chdir(root.c_str()) != 0) _exit(1);
    const int log =
        open(process.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string home = "HOME=/tmp", lang = "LANG=C";
    std::string config_copy = config, path_copy = path_variable;
    char* environment[] = {path_copy.data(), home.data(), lang.data(),
                           config_copy.data(), nullptr};
    execve(arguments[0], arguments.data(), environment);
    _exit(127);
  }
  process.pid = pid;
  record.Line("process: " + process_name + " starts");
}

void World::Signal(const std::string& process_name, int signal) {
  Process& process = processes[process_name];
  if (process.pid == 0) return;
  kill(process.pid, signal);
  record.Line("process: " + process_name + " gets signal " +
              std::string(strsignal(signal)));
}

bool World::Running(const std::string& process_name) {
  Process& process = processes[process_name];
  if (process.pid == 0) return false;
  int status = 0;
  if (waitpid(process.pid, &status, WNOHANG) == 0) return true;
  process.pid = 0;
  record.Line("process: " + process_name + " has ended");
  return false;
}

void World::KillAll() {
  for (auto& [process_name, process] : processes) {
    if (process.pid == 0) continue;
    kill(process.pid, SIGCONT);
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    process.pid = 0;
  }
}

void World::Probe(int balancer) {
  const auto at = static_cast<size_t>(balancer);
  HttpCall(
      loop, layout.Balancer(balancer, kReadiness), "GET", "/v1/ready", "", 450,
      [this, at, balancer](int status, const std::string&) {
        const bool was_in = misses[at] < 2;
        misses[at] = status == 200 ? 0 : misses[at] + 1;
        if (was_in != (misses[at] < 2)) {
          record.Line("router: balancer-" + std::to_string(balancer) +
                      (was_in ? " is out of rotation" : " is in rotation"));
        }
      });
  loop.After(500, [this, balancer] { Probe(balancer); });
}

void World::RouteToBalancer(const FlowId& flow, const std::string& bytes) {
  // "steady": rendezvous hash over the daemons in rotation.
  const auto in =
      std::count_if(misses.begin(), misses.end(), [](int m) { return m < 2; });
  const bool use_all = 2 * in < layout.balancers;
  if (hash_mod) {
    std::vector<int> used;
    for (int i = 0; i < layout.balancers; ++i) {
      if (use_all || misses[static_cast<size_t>(i)] < 2) used.push_back(i);
    }
    const size_t at = std::hash<std::string>{}(flow.ToString()) % used.size();
    router->Send(layout.Balancer(used[at], kDatagram), bytes);
    return;
  }
  int best = -1;
  uint64_t best_weight = 0;
  for (int i = 0; i < layout.balancers; ++i) {
    if (!use_all && misses[static_cast<size_t>(i)] >= 2) continue;
    const uint64_t weight =
        std::hash<std::string>{}(flow.ToString() + "/" + std::to_string(i));
    if (best >= 0 && weight < best_weight) continue;
    best = i;
    best_weight = weight;
  }
  if (best >= 0) router->Send(layout.Balancer(best, kDatagram), bytes);
}

void World::AddClients(int count, Address route, Millis pause) {
  for (int i = 0; i < count; ++i) {
    clients.push_back(std::make_unique<Client>(
        *this, static_cast<int>(clients.size()), route));
    clients.back()->pause = pause;
    Client* client = clients.back().get();
    loop.At(kTrafficBegins + Below(pause), [client] { client->Start(0); });
  }
}

std::string World::NameOf(const Address& from) const {
  for (int i = 0; i < layout.balancers; ++i) {
    if (layout.Balancer(i, 0).ip == from.ip) {
      return "balancer-" + std::to_string(i);
    }
  }
  for (int i = 0; i < layout.agents; ++i) {
    if (layout.Agent(i, 0).ip == from.ip) return "agent-" + std::to_string(i);
  }
  return from.ToString();
}

void World::OnReset(const FlowId& flow, const Address& from, uint32_t seq) {
  for (const auto& backend : backends) {
    if (!backend->HoldsOpen(flow)) continue;
    const std::string text =
        "FLOW: flow " + flow.ToString() + " is open at backend " +
        backend->id() + ", which lives; the client gets a reset from " +
        NameOf(from) + " (seq " + std::to_string(seq) + ")";
    if (judge_from >= 0 && loop.Now() >= judge_from) {
      Violated(text);
    } else {
      ++resets_before;
      record.Line("not counted, the machines are not in touch: " + text);
    }
    return;
  }
  record.Line("client: reset of " + flow.ToString() + " from " + NameOf(from) +
              ", which no backend holds open");
}

int World::Finish(const std::string& rule) {
  KillAll();
  int64_t answered = 0, failed = 0;
  for (const auto& client : clients) {
    answered += client->answered;
    failed += client->failed;
  }
  int64_t twice = 0;
  for (const auto& [id, count] : runs) twice += count > 1 ? 1 : 0;
  std::ostringstream summary;
  summary << name << " trouble=" << (trouble ? 1 : 0)
          << " answered=" << answered << " failed=" << failed
          << " run_twice=" << twice << " resets_not_counted=" << resets_before
          << " broken " << rule << "=" << violations.size();
  record.Line(summary.str());
  printf("%s\n", summary.str().c_str());
  if (getenv("KEEP") == nullptr) {
    for (const auto& [process_name, process] : processes) {
      unlink(process.settings.c_str());
      unlink(process.log.c_str());
    }
    rmdir(work.c_str());
  } else {
    printf("logs: %s\n", work.c_str());
  }
  if (answered == 0) return 2;
  return violations.empty() ? 0 : 1;
}

// --- Backends ---

Backend::Backend(World& world, int index) : world_(world), index_(index) {
  socket_ = std::make_unique<UdpSocket>(
      world.loop, world.layout.Agent(index, kApp),
      [this](const Address&, const std::string& bytes) { OnPacket(bytes); });
}

void Backend::Start() {
  alive_ = true;
  draining_ = false;
  drain_acknowledged_ = -1;
  ++incarnation_;
  flows_.clear();
  ended_.clear();
  seq_ = 0;
  char text[32];
  snprintf(text, sizeof(text), "i-%08x",
           static_cast<unsigned>(Random()() & 0xffffffff));
  id_ = text;
  born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  world_.record.Line("backend: " + id_ + " starts beside agent-" +
                     std::to_string(index_));
  Heartbeat();
}

void Backend::Drain() {
  draining_ = true;
  world_.record.Line("backend: " + id_ + " is draining");
  Heartbeat();
}

void Backend::Heartbeat() {
  if (!alive_) return;
  const Json body = {
      {"service", world_.layout.services[static_cast<size_t>(index_)]},
      {"address", world_.layout.Agent(index_, kApp).ToString()},
      {"zone", "z1"},
      {"version", "v1"},
      {"capacity", 3},
      {"state", draining_ ? "draining" : "ready"},
      {"slowStartMs", 0},
      {"seq", ++seq_},
      {"born", born_}};
  const int incarnation = incarnation_;
  const bool draining = draining_;
  HttpCall(world_.loop, world_.layout.Agent(index_, kControl), "POST",
           "/v1/instances/" + id_ + "/heartbeat", body.dump(), 1000,
           [this, incarnation, draining](int status, const std::string&) {
             if (incarnation != incarnation_ || status / 100 != 2) return;
             if (draining && drain_acknowledged_ < 0) {
               drain_acknowledged_ = world_.loop.Now();
               world_.record.Line("backend: " + id_ +
                                  " has the acknowledgement of draining");
             }
           });
  const int64_t seq = seq_;
  world_.loop.After(kHeartbeatMs, [this, incarnation, seq] {
    if (incarnation == incarnation_ && seq == seq_) Heartbeat();
  });
}

void Backend::Send(const FlowId& flow, Packet packet) {
  packet.source = flow.route;
  packet.destination = flow.client;
  socket_->Send(world_.layout.Agent(index_, kOutbound), Encode(packet));
}

void Backend::OnPacket(const std::string& bytes) {
  Packet packet;
  if (!alive_ || !Decode(bytes, packet)) return;
  if (packet.sum != Sum(bytes)) {
    world_.Violated("UNASKED: a packet was changed on its way to " + id_);
    return;
  }
  const FlowId id{packet.source, packet.destination};
  if (packet.syn) {
    const auto it = flows_.find(id);
    if (it == flows_.end() || it->second.client_seq != packet.seq) {
      Flow flow;
      flow.client_seq = packet.seq;
      flow.own_seq = static_cast<uint32_t>(Random()());
      flow.next_in = packet.seq + 1;
      flow.next_out = flow.own_seq + 1;
      flow.acknowledged = flow.own_seq + 1;
      flows_[id] = flow;
      ended_.erase(id);
      if (drain_acknowledged_ >= 0 &&
          world_.loop.Now() > drain_acknowledged_ + kDrainTimeoutMs) {
        world_.Violated(
            "DRAIN: backend " + id_ + " gets the new flow " + id.ToString() +
            " " + std::to_string(world_.loop.Now() - drain_acknowledged_) +
            " ms after its draining was acknowledged");
      }
    }
    if (flows_[id].open) return;
    Packet answer;
    answer.syn = answer.ack = true;
    answer.seq = flows_[id].own_seq;
    answer.ack_number = packet.seq + 1;
    Send(id, answer);
    return;
  }
  const auto it = flows_.find(id);
  const bool held =
      it != flows_.end() &&
      (it->second.open || packet.ack_number == it->second.own_seq + 1);
  if (!held) {
    if (ended_.count(id) != 0) {
      if (packet.fin || packet.data.empty()) return;
      Packet reset;
      reset.rst = true;
      reset.seq = packet.ack_number;
      Send(id, reset);
      return;
    }
    std::string returned = bytes;
    returned[2] = static_cast<char>(returned[2] | 2);
    returned[3] = returned[4] = returned[5] = 0;
    socket_->Send(world_.layout.Agent(index_, kOutbound), returned);
    return;
  }
  Flow& flow = it->second;
  if (!flow.open) {
    flow.open = true;
    world_.record.Line("backend: " + id_ + " has the open flow " +
                       id.ToString());
  }
  if (packet.ack) {
    if (static_cast<int32_t>(packet.ack_number - flow.acknowledged) > 0) {
      flow.acknowledged = packet.ack_number;
    }
  }
  if (packet.rst || packet.fin) {
    flows_.erase(it);
    ended_.insert(id);
    return;
  }
  if (packet.data.empty()) return;
  if (packet.seq != flow.next_in) {
    // A retransmission; the answer follows, or was lost and is repeated.
    if (!flow.answer.empty()) SendAnswer(id, 0, 0);
    return;
  }
  flow.next_in += static_cast<uint32_t>(packet.data.size());
  flow.answer.clear();
  const std::string request = packet.data.substr(0, packet.data.find(' '));
  ++world_.runs[request];
  const std::string& service =
      world_.layout.services[static_cast<size_t>(index_)];
  if (world_.allowed[id.route].count(service) == 0) {
    world_.Violated("ROUTE: backend " + id_ + " of service " + service +
                    " runs " + request + " of route " + id.route.ToString() +
                    ", which no configuration ever sent there");
  }
  if (!world_.quiet_record) {
    world_.record.Line("backend: " + id_ + " runs " + request);
  }
  const int incarnation = incarnation_;
  const Millis work = world_.work_ms + Below(world_.work_ms);
  world_.loop.After(work, [this, id, request, incarnation] {
    if (incarnation != incarnation_ || !alive_) return;
    const auto found = flows_.find(id);
    if (found == flows_.end()) return;
    found->second.answer = "done " + request + " " + std::to_string(index_);
    found->second.answer_seq = found->second.next_out;
    found->second.next_out +=
        static_cast<uint32_t>(found->second.answer.size());
    SendAnswer(id, 200, 8);
  });
}

void Backend::SendAnswer(const FlowId& id, Millis delay, int tries) {
  const auto it = flows_.find(id);
  if (it == flows_.end() || it->second.answer.empty()) return;
  Flow& flow = it->second;
  const uint32_t end =
      flow.answer_seq + static_cast<uint32_t>(flow.answer.size());
  if (static_cast<int32_t>(flow.acknowledged - end) >= 0) return;
  Packet packet;
  packet.ack = true;
  packet.seq = flow.answer_seq;
  packet.ack_number = flow.next_in;
  packet.data = flow.answer;
  packet.fin = draining_;
  Send(id, packet);
  if (tries == 0) return;
  const int incarnation = incarnation_;
  const uint32_t seq = flow.answer_seq;
  world_.loop.After(delay, [this, id, delay, tries, incarnation, seq] {
    if (incarnation != incarnation_) return;
    const auto found = flows_.find(id);
    if (found == flows_.end() || found->second.answer_seq != seq) return;
    SendAnswer(id, std::min<Millis>(1600, delay * 2), tries - 1);
  });
}

// --- Clients ---

Client::Client(World& world, int index, Address route)
    : world_(world),
      index_(index),
      route_(route),
      port_(static_cast<uint16_t>(1024 + Below(20000))) {
  socket_ = std::make_unique<UdpSocket>(
      world.loop, world.layout.Client(index),
      [this](const Address& from, const std::string& bytes) {
        OnPacket(from, bytes);
      });
}

void Client::Start(Millis delay) {
  world_.loop.After(delay, [this] { NextRequest(); });
}

void Client::NextRequest() {
  if (paused) {
    world_.loop.After(100, [this] { NextRequest(); });
    return;
  }
  request_ =
      "c" + std::to_string(index_) + "-" + std::to_string(++next_request_);
  waiting_ = true;
  const int64_t number = next_request_;
  world_.loop.After(kRequestDeadlineMs, [this, number] {
    if (!waiting_ || number != next_request_) return;
    world_.record.Line("client: " + request_ + " is not answered in time");
    EndAttempt(false);
  });
  if (open_) {
    SendRequest(200, attempt_);
  } else {
    Open();
  }
}

void Client::Open() {
  const uint64_t attempt = ++attempt_;
  ++port_;
  opening_ = true;
  open_ = false;
  syn_seq_ = static_cast<uint32_t>(Random()());
  seq_ = syn_seq_ + 1;
  SendSyn(0, attempt);
  world_.loop.After(200, [this, attempt] { SendSyn(1, attempt); });
  world_.loop.After(600, [this, attempt] { SendSyn(2, attempt); });
  world_.loop.After(1400, [this, attempt] {
    if (attempt != attempt_ || !opening_ || !waiting_) return;
    Open();
  });
}

void Client::Send(Packet packet) {
  packet.source = {world_.layout.Client(index_).ip, port_};
  packet.destination = route_;
  world_.RouteToBalancer({packet.source, route_}, Encode(packet));
}

void Client::SendSyn(int copies, uint64_t attempt) {
  if (attempt != attempt_ || !opening_) return;
  Packet packet;
  packet.syn = true;
  packet.seq = syn_seq_;
  packet.ack_number = static_cast<uint32_t>(copies);
  Send(packet);
}

void Client::SendRequest(Millis next, uint64_t attempt) {
  if (attempt != attempt_ || !open_ || !waiting_) return;
  Packet packet;
  packet.ack = true;
  packet.seq = seq_;
  packet.ack_number = peer_;
  packet.data = request_ + " GET";
  if (next == 200 && !world_.quiet_record) {
    world_.record.Line("client: sends " + request_ + " on port " +
                       std::to_string(port_));
  }
  Send(packet);
  const std::string request = request_;
  world_.loop.After(next, [this, next, attempt, request] {
    if (request == request_)
      SendRequest(std::min<Millis>(1600, next * 2), attempt);
  });
}

void Client::OnPacket(const Address& from, const std::string& bytes) {
  Packet packet;
  if (!Decode(bytes, packet) || packet.destination.port != port_ ||
      !(packet.source == route_)) {
    return;
  }
  const FlowId id{{world_.layout.Client(index_).ip, port_}, route_};
  if (packet.rst && packet.sum == 0) {
    world_.OnReset(id, from, packet.seq);
    open_ = opening_ = false;
    ++attempt_;
    ++port_;
    if (waiting_) {
      world_.loop.After(50, [this, attempt = attempt_] {
        if (attempt == attempt_ && waiting_) Open();
      });
    }
    return;
  }
  if (packet.sum != Sum(bytes)) {
    world_.Violated("MIXED: a client gets a packet that was changed");
    return;
  }
  if (packet.rst) {
    world_.record.Line("client: the backend resets " + id.ToString());
    open_ = opening_ = false;
    ++attempt_;
    ++port_;
    return;
  }
  if (packet.syn) {
    if (!opening_) return;
    opening_ = false;
    open_ = true;
    peer_ = packet.seq + 1;
    if (waiting_) SendRequest(200, attempt_);
    return;
  }
  if (!open_ || packet.data.empty()) return;
  if (packet.seq == peer_) {
    peer_ += static_cast<uint32_t>(packet.data.size());
    const std::string expected = "done " + request_ + " ";
    if (waiting_ && packet.data.rfind(expected, 0) == 0) {
      backend = atoi(packet.data.substr(expected.size()).c_str());
      seq_ += static_cast<uint32_t>(request_.size()) + 4;
      Packet ack;
      ack.ack = true;
      ack.seq = seq_;
      ack.ack_number = peer_;
      Send(ack);
      if (!world_.quiet_record) {
        world_.record.Line("client: " + request_ + " is answered");
      }
      if (packet.fin || fresh) {
        Packet fin;
        fin.ack = fin.fin = true;
        fin.seq = seq_;
        fin.ack_number = peer_;
        Send(fin);
        open_ = false;
        ++attempt_;
      }
      EndAttempt(true);
      return;
    }
    if (!waiting_ || packet.data.rfind("done ", 0) != 0) {
      world_.Violated("MIXED: client " + std::to_string(index_) + " gets \"" +
                      packet.data + "\" while it waits for " + request_);
    }
    return;
  }
  // A repeated answer: its acknowledgement was lost.
  Packet ack;
  ack.ack = true;
  ack.seq = seq_;
  ack.ack_number = peer_;
  Send(ack);
}

void Client::EndAttempt(bool success) {
  waiting_ = false;
  if (success) {
    ++answered;
  } else {
    ++failed;
    open_ = opening_ = false;
    ++attempt_;
    ++port_;
  }
  world_.loop.After(pause, [this] { NextRequest(); });
}

// --- Cases ---

/**
 * The platform's store turns a third of the agents' machines away for half a
 * second and takes their keys; nothing else happens.
 */
int RunRevoked(World& world) {
  world.Prepare(3, std::vector<std::string>(6, "feeds"));
  world.WriteConfig(1, {{world.layout.Route(0), "feeds"}});
  world.AddClients(30, world.layout.Route(0), 1000);
  constexpr Millis kTroubleAt = 16000;
  constexpr Millis kTroubleFor = 500;
  // From here on all machines are in touch again.
  constexpr Millis kInTouch = kTroubleAt + kTroubleFor + kStableWindowMs;
  std::vector<std::string> chosen;
  world.loop.At(kTroubleAt + Below(2000), [&world, &chosen] {
    if (!world.trouble) return;
    std::vector<int> agents = {0, 1, 2, 3, 4, 5};
    std::shuffle(agents.begin(), agents.end(), Random());
    for (int i = 0; i < 2; ++i) {
      chosen.push_back("agent-" +
                       std::to_string(agents[static_cast<size_t>(i)]));
      world.store.Reject(chosen.back(), true);
    }
    world.loop.After(kTroubleFor, [&world, &chosen] {
      for (const std::string& machine : chosen) world.store.Serve(machine);
      world.judge_from = world.loop.Now() + kStableWindowMs;
    });
  });
  if (!world.trouble) world.judge_from = kTrafficBegins;
  // The feeds' clients pause longer between requests, well below idleTimeoutMs.
  world.loop.At(kInTouch + 3000, [&world] {
    for (auto& client : world.clients) client->pause = 4000 + Below(1000);
    world.record.Line("clients: pause 4 to 5 s between requests from now on");
  });
  world.loop.At(45000, [&world] { world.loop.Stop(); });
  world.loop.Run();
  return world.Finish("FLOW");
}

/** The agents are restarted in turn: SIGTERM, and a start 1 s after the end. */
int RunAgentRestarts(World& world) {
  world.Prepare(3, std::vector<std::string>(4, "feeds"));
  world.WriteConfig(1, {{world.layout.Route(0), "feeds"}});
  world.AddClients(40, world.layout.Route(0), 3000);
  world.judge_from = kTrafficBegins;
  constexpr Millis kFirstStop = 16000;
  constexpr Millis kGap = 4000;
  constexpr Millis kRestartDelay = 1000;
  std::function<void(const std::string&)> await_end =
      [&](const std::string& agent) {
        if (world.Running(agent)) {
          world.loop.After(5, [&, agent] { await_end(agent); });
          return;
        }
        world.loop.After(kRestartDelay,
                         [&, agent] { world.StartProcess(agent); });
      };
  if (world.trouble) {
    for (int i = 0; i < 8; ++i) {
      const std::string agent = "agent-" + std::to_string(i % 4);
      world.loop.At(kFirstStop + i * kGap, [&, agent] {
        world.Signal(agent, SIGTERM);
        await_end(agent);
      });
    }
  }
  world.loop.At(kFirstStop + 8 * kGap + 4000, [&world] { world.loop.Stop(); });
  world.loop.Run();
  return world.Finish("FLOW");
}

/**
 * A heartbeat of another writer, with a field of another type, reaches an
 * agent. Later its backend leaves as planned.
 */
int RunForeignHeartbeat(World& world) {
  world.Prepare(3, std::vector<std::string>(4, "feeds"));
  world.WriteConfig(1, {{world.layout.Route(0), "feeds"}});
  world.AddClients(40, world.layout.Route(0), 500);
  for (size_t i = 0; i < world.clients.size(); i += 2) {
    world.clients[i]->fresh = true;
  }
  world.judge_from = kTrafficBegins;
  const auto agent = static_cast<int>(Below(4));
  if (world.trouble) {
    world.loop.At(16000, [&world, agent] {
      const Json body = {
          {"service", "feeds"},
          {"address", world.layout.Agent(agent, kApp).ToString()},
          {"zone", 1},
          {"version", "v1"},
          {"capacity", 3},
          {"state", "ready"},
          {"slowStartMs", 0},
          {"seq", 1},
          {"born", world.backends[static_cast<size_t>(agent)]->born() + 15000}};
      world.record.Line("another writer: heartbeat i-other to agent-" +
                        std::to_string(agent) + ": " + body.dump());
      HttpCall(world.loop, world.layout.Agent(agent, kControl), "POST",
               "/v1/instances/i-other/heartbeat", body.dump(), 1000,
               [&world](int status, const std::string& answer) {
                 world.record.Line("another writer: answer " +
                                   std::to_string(status) + " " + answer);
               });
    });
  }
  world.loop.At(22000, [&world, agent] {
    world.backends[static_cast<size_t>(agent)]->Drain();
  });
  world.loop.At(30000, [&world] { world.loop.Stop(); });
  world.loop.Run();
  return world.Finish("DRAIN");
}

/**
 * Backends end for good together with their machines, and their addresses go to
 * another service on new machines. The 16 bits by which the system's processes
 * tell services apart are equal for the two names.
 */
int RunReusedAddress(World& world) {
  const std::string orders = "orders";
  // OTHER_NAME=reports-1 is a name with other bits; the rule holds with it.
  const char* other = getenv("OTHER_NAME");
  const std::string archive = other == nullptr ? "archive-232" : other;
  constexpr int kOrders = 8;
  constexpr Millis kReuseAfterMs = 2000;
  world.quiet_record = true;
  std::vector<std::string> services(kOrders, orders);
  services.resize(kOrders + 3, archive);
  world.Prepare(6, services);
  world.WriteConfig(
      1, {{world.layout.Route(0), orders}, {world.layout.Route(1), archive}});
  // Nine tenths of the slots that are left are busy.
  world.work_ms = 35;
  world.AddClients(120, world.layout.Route(0), 300);
  world.AddClients(20, world.layout.Route(1), 400);
  for (auto& client : world.clients) client->fresh = true;
  world.judge_from = kTrafficBegins;
  // Twice two of the eight backends: a share of 0.25.
  for (int round = 0; round < 2 && world.trouble; ++round) {
    for (int i = 2 * round; i < 2 * round + 2; ++i) {
      const Millis gone = 16000 + round * 12000;
      const std::string agent = "agent-" + std::to_string(i);
      world.loop.At(gone, [&world, agent, i] {
        world.record.Line("machine: the one of " + agent + " is gone");
        world.Signal(agent, SIGKILL);
        world.backends[static_cast<size_t>(i)]->Crash();
      });
      world.loop.At(gone + kReuseAfterMs, [&world, agent, i, archive] {
        world.Running(agent);
        world.layout.services[static_cast<size_t>(i)] = archive;
        world.record.Line("machine: a new one at that address, service " +
                          archive);
        world.SetupAgent(i);
        world.StartProcess(agent);
      });
      world.loop.At(gone + kReuseAfterMs + 1000 + Below(400), [&world, i] {
        world.backends[static_cast<size_t>(i)]->Start();
      });
    }
  }
  world.loop.At(40000, [&world] { world.loop.Stop(); });
  world.loop.Run();
  return world.Finish("ROUTE");
}

/**
 * Configurations in quick succession add routes, clients open flows on them at
 * once, and balancers are stopped and started in turn.
 */
int RunNewRoutes(World& world) {
  // STEADY=1 plays the other hash policy.
  world.hash_mod = getenv("STEADY") == nullptr;
  world.Prepare(6, std::vector<std::string>(4, "feeds"));
  std::vector<std::pair<Address, std::string>> routes = {
      {world.layout.Route(0), "feeds"}};
  world.WriteConfig(1, routes);
  world.AddClients(10, world.layout.Route(0), 500);
  world.judge_from = kTrafficBegins;
  world.quiet_record = true;
  // Three storms of configurations, 4 s each, a change each 0.33 s.
  int64_t version = 1;
  for (int storm = 0; storm < 3; ++storm) {
    for (int i = 0; i < 12; ++i) {
      world.loop.At(14000 + storm * 9000 + i * 330, [&] {
        version += 1 + Below(3);
        const Address route =
            world.layout.Route(static_cast<int>(routes.size()));
        routes.push_back({route, "feeds"});
        world.WriteConfig(version, routes);
        for (int c = 0; c < 12; ++c) {
          world.clients.push_back(std::make_unique<Client>(
              world, static_cast<int>(world.clients.size()), route));
          world.clients.back()->pause = 150;
          world.clients.back()->Start(Below(200));
          Client* client = world.clients.back().get();
          world.loop.After(3000, [client] { client->paused = true; });
        }
      });
    }
  }
  std::function<void(const std::string&)> await_end =
      [&](const std::string& process) {
        if (world.Running(process)) {
          world.loop.After(5, [&, process] { await_end(process); });
          return;
        }
        world.loop.After(500, [&, process] { world.StartProcess(process); });
      };
  if (world.trouble) {
    for (int i = 0; i < 6; ++i) {
      const std::string process = "balancer-" + std::to_string(i);
      world.loop.At(12500 + i * 4500, [&, process] {
        world.Signal(process, SIGTERM);
        await_end(process);
      });
    }
  }
  world.loop.At(42000, [&world] { world.loop.Stop(); });
  world.loop.Run();
  return world.Finish("FLOW");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    fprintf(stderr, "usage: world CASE ROOT RECORD\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  static World world(argv[1], argv[2], argv[3]);
  const auto stop = [](int) {
    world.KillAll();
    _exit(2);
  };
  signal(SIGTERM, stop);
  signal(SIGINT, stop);
  const std::map<std::string, int (*)(World&)> cases = {
      {"revoked-entries", RunRevoked},
      {"agent-restarts", RunAgentRestarts},
      {"foreign-heartbeat", RunForeignHeartbeat},
      {"new-routes", RunNewRoutes},
      {"reused-address", RunReusedAddress},
  };
  const auto it = cases.find(argv[1]);
  if (it == cases.end()) {
    fprintf(stderr, "unknown case %s\n", argv[1]);
    return 2;
  }
  return it->second(world);
}
