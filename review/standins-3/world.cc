// The stand-ins of a case: the platform's store and routers, three backends,
// twelve clients, and another writer. The daemons are started by the script.

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "client.h"
#include "layout.h"
#include "loop.h"
#include "packet.h"
#include "record.h"
#include "store.h"
#include "target.h"

namespace review {
namespace {

constexpr Millis kClientsStart = Millis(8000);
constexpr Millis kTroubleStart = Millis(14000);
// In the case of a lost entry: the clients' first requests are answered, and
// the next ones come 12 s later.
constexpr Millis kAgentKill = Millis(9000);
constexpr Millis kBeforeLoss = Millis(2500);
constexpr Millis kTurnedAway = Millis(1000);
constexpr Millis kStableWindow = Millis(4000);
constexpr Millis kProbePeriod = Millis(500);
// Period of the other writer's heartbeats, about that of a backend.
constexpr Millis kOtherWriterPeriod = Millis(1100);

// The zone loses power for kZoneLoss; the pages allow up to 5.5 s.
constexpr Millis kZoneLoss = Millis(3500);
// Machines start within 0.3 s of each other.
constexpr Millis kBetweenStarts = Millis(150);
// A backend starts after the agent beside it.
constexpr Millis kBackendStart = Millis(200);
constexpr Millis kSlowStart = Millis(2000);
constexpr int kWarmupPerS = 4;
// slowStartOver and slowStartSlack of the deployment that has them.
constexpr double kSlowStartOver = 1.5;
constexpr double kSlowStartSlack = 5;

bool IsSlowStartCase(const std::string& trouble) {
  return trouble.compare(0, 9, "zone-loss") == 0;
}

Habit HabitOf(const std::string& trouble) {
  return IsSlowStartCase(trouble) ? Habit::kFlowEach : Habit::kKeepsFlow;
}

constexpr Millis kUsualPause = Millis(300);
constexpr Millis kShortPause = Millis(60);
// Below idleTimeoutMs.
constexpr Millis kLongPause = Millis(12000);

bool IsLostEntryCase(const std::string& trouble) {
  return trouble.compare(0, 10, "lost-entry") == 0;
}

Millis PauseOf(const std::string& trouble) {
  if (IsLostEntryCase(trouble)) return kLongPause;
  return IsSlowStartCase(trouble) ? kShortPause : kUsualPause;
}

Layout LayoutOf(uint16_t base, const std::string& trouble) {
  Layout layout;
  layout.base = base;
  if (IsSlowStartCase(trouble)) {
    layout.agents = 5;
    layout.southern_agents = 3;
    layout.clients = 24;
  }
  if (IsLostEntryCase(trouble)) {
    layout.agents = 8;
    layout.clients = 60;
  }
  return layout;
}

std::string Configuration() {
  const nlohmann::json document = {
      {"version", 3},
      {"routes",
       {{{"name", "orders"},
         {"host", Layout::RouteIp()},
         {"prefix", "/" + std::to_string(Layout::kRoutePort) + "/"},
         {"service", kService},
         {"type", "idempotent"},
         {"timeoutMs", 2000},
         {"targetLatencyMs", 200},
         {"priority", 0}}}},
      {"services",
       {{{"name", kService},
         {"healthCheck", "/health"},
         {"slowStartS", kSlowStart.count() / 1000.0},
         {"warmupPerS", kWarmupPerS}}}},
      {"limits", {{"idleTimeoutMs", 15000}}}};
  return document.dump();
}

/** Probes the readiness of each balancer as the routers do. */
class Routers {
 public:
  explicit Routers(const Layout& layout)
      : layout_(layout), misses_(kMaxBalancers) {}

  void Start() {
    for (int i = 0; i < layout_.balancers; ++i) {
      std::thread([this, i] { Probe(i); }).detach();
    }
  }

  void Send(int fd, const FlowKey& flow, std::string_view bytes) const {
    std::vector<int> rotation;
    for (int i = 0; i < layout_.balancers; ++i) {
      if (misses_[static_cast<size_t>(i)] < 2) rotation.push_back(i);
    }
    if (rotation.empty()) {
      for (int i = 0; i < layout_.balancers; ++i) rotation.push_back(i);
    }
    int best = 0;
    uint64_t best_weight = 0;
    for (const int i : rotation) {
      const uint64_t weight = Weight(flow, i);
      if (weight < best_weight) continue;
      best = i;
      best_weight = weight;
    }
    SendUdp(fd, Layout::Balancer(best), layout_.Packets(), bytes);
  }

 private:
  static constexpr size_t kMaxBalancers = 8;

  static uint64_t Weight(const FlowKey& flow, int balancer) {
    uint64_t weight = 0xcbf29ce484222325;
    const auto mix = [&weight](uint64_t value) {
      weight = (weight ^ value) * 0x9e3779b97f4a7c15;
      weight ^= weight >> 29;
    };
    mix(std::get<0>(flow));
    mix(std::get<1>(flow));
    mix(std::get<2>(flow));
    mix(std::get<3>(flow));
    mix(static_cast<uint64_t>(balancer));
    return weight;
  }

  void Probe(int i) {
    std::atomic<int>& misses = misses_[static_cast<size_t>(i)];
    while (true) {
      const int status = CallHttp(Layout::Balancer(i), layout_.Readiness(),
                                  "GET", "/v1/ready", "");
      misses = status == 200 ? 0 : misses + 1;
      std::this_thread::sleep_for(kProbePeriod);
    }
  }

  const Layout layout_;
  std::vector<std::atomic<int>> misses_;
};

class World {
 public:
  World(const Layout& layout, const std::string& record, std::string trouble)
      : layout_(layout),
        record_(record),
        trouble_(std::move(trouble)),
        store_(loop_, Layout::StoreIp(), Layout::StoreIpOfAgent(),
               layout.StorePort()),
        routers_(layout) {
    store_.Put("op/config", Configuration());
    for (int i = 0; i < layout_.agents; ++i) {
      targets_.push_back(std::make_unique<Target>(loop_, record_, layout_, i));
    }
    for (int i = 0; i < layout_.clients; ++i) {
      clients_.push_back(std::make_unique<Client>(
          loop_, record_, layout_, i, HabitOf(trouble_), PauseOf(trouble_),
          [this](int fd, const FlowKey& flow, std::string_view bytes) {
            routers_.Send(fd, flow, bytes);
          },
          [this](const FlowKey& flow, const Packet& packet) {
            OnReset(flow, packet);
          }));
    }
  }

  int Run(int seconds) {
    for (const auto& target : targets_) {
      std::thread([&target = *target] { target.SendHeartbeats(); }).detach();
    }
    routers_.Start();
    loop_.After(kClientsStart, [this] {
      for (const auto& client : clients_) client->Start();
    });
    loop_.After(IsLostEntryCase(trouble_) ? kAgentKill : kTroubleStart,
                [this] { BeginTrouble(); });
    loop_.RunUntil(Clock::now() + std::chrono::seconds(seconds));
    return Verdict();
  }

 private:
  void BeginTrouble() {
    int open = 0;
    for (const auto& client : clients_) open += client->open() ? 1 : 0;
    open_before_ = open;
    record_.Line("open flows before the trouble: " + std::to_string(open));
    if (trouble_ == "odd-heartbeat") {
      std::thread([this] { SendOddHeartbeats(); }).detach();
    } else if (trouble_ == "odd-entry") {
      WriteOddEntry();
    } else if (trouble_ == "lost-entry") {
      Tell("kill-agent");
      loop_.After(kBeforeLoss,
                  [this] { store_.OnRenewalOfOne([this] { LoseEntry(); }); });
    } else if (trouble_ == "zone-loss") {
      LoseZone();
    } else {
      delivered_ = 1;
    }
  }

  /** The script kills the agents of the zone and starts them again. */
  void LoseZone() {
    const int first = layout_.agents - layout_.southern_agents;
    for (int i = first; i < layout_.agents; ++i) {
      targets_[static_cast<size_t>(i)]->PowerOff();
      const Millis back = kZoneLoss + (i - first) * kBetweenStarts;
      loop_.After(back, [i] { Tell("on-" + std::to_string(i)); });
      loop_.After(back + kBackendStart, [this, i] {
        ++delivered_;
        targets_[static_cast<size_t>(i)]->PowerOn(kSlowStart);
      });
    }
    Tell("zone-off");
  }

  /** The agent has just renewed its lease, and makes no call for a while. */
  void LoseEntry() {
    store_.OnRenewalOfOne(nullptr);
    record_.Line("the store turns agent 0 away for 1 s and takes its keys");
    store_.TurnAway(kTurnedAway, "online/target/" + Layout::Agent(0) + ":");
    calm_from_ = Clock::now() + kTurnedAway + kStableWindow;
    ++delivered_;
    Tell("kill-balancers");
  }

  /** Tells the script that it is its turn. */
  static void Tell(const std::string& line) {
    printf("%s\n", line.c_str());
    fflush(stdout);
  }

  /** Another writer's heartbeats, without the field `born`. */
  void SendOddHeartbeats() {
    const std::string ip = Layout::Agent(0);
    for (int64_t sequence = 1;; ++sequence) {
      const nlohmann::json body = {
          {"service", kService},
          {"address", ip + ":" + std::to_string(layout_.App())},
          {"zone", "north"},
          {"version", "v1"},
          {"capacity", 3},
          {"state", "ready"},
          {"slowStartMs", 0},
          {"seq", sequence}};
      const int status =
          CallHttp(ip, layout_.Control(), "POST",
                   "/v1/instances/other-writer/heartbeat", body.dump());
      record_.Line("other writer's heartbeat without `born` at " + ip +
                   " got status " + std::to_string(status));
      if (status != 0) ++delivered_;
      std::this_thread::sleep_for(kOtherWriterPeriod);
    }
  }

  /** Another writer's entry, which names a service that is not configured. */
  void WriteOddEntry() {
    const std::string agent = Layout::Agent(0) + ":";
    for (const auto& [key, value] : store_.Values("")) {
      const size_t name = value.find(kService);
      if (key.find(agent) == std::string::npos) continue;
      if (key.compare(0, 3, "op/") == 0 || name == std::string::npos) continue;
      std::string odd = value;
      odd.replace(name, strlen(kService), "nobody");
      store_.Put(key, odd);
      record_.Line("other writer's entry with service \"nobody\" at " + key);
      ++delivered_;
    }
  }

  void OnReset(const FlowKey& flow, const Packet& packet) {
    const std::string client =
        IpText(std::get<0>(flow)) + ":" + std::to_string(std::get<1>(flow));
    if (packet.sum != 0) {
      record_.Line("reset by a backend " + client);
      return;
    }
    for (const auto& target : targets_) {
      if (!target->HoldsOpen(flow)) continue;
      if (Clock::now() < calm_from_) {
        record_.Line("reset of the open flow " + client +
                     " before the machines are in touch");
        return;
      }
      ++broken_;
      record_.Line("BROKEN: the system reset the open flow " + client +
                   ", which target " + std::to_string(target->index()) +
                   " holds");
      return;
    }
    record_.Line("reset of a flow that no target holds " + client);
  }

  int Verdict() {
    int sent = 0;
    int answered = 0;
    int runs = 0;
    for (const auto& client : clients_) {
      sent += client->sent();
      answered += client->answered();
    }
    for (const auto& target : targets_) runs += target->runs();
    int most_opened = 0;
    for (const auto& target : targets_) {
      most_opened = std::max(most_opened, target->most_opened_while_cold());
    }
    const double bound = kWarmupPerS * kSlowStartOver + kSlowStartSlack;
    const std::string summary =
        "requests=" + std::to_string(sent) +
        " answered=" + std::to_string(answered) +
        " runs=" + std::to_string(runs) +
        " open_before=" + std::to_string(open_before_) +
        " trouble=" + trouble_ + " delivered=" + std::to_string(delivered_) +
        " calls_turned_away=" + std::to_string(store_.turned_away()) +
        " broken_flows=" + std::to_string(broken_) +
        " most_opened_while_cold=" + std::to_string(most_opened) +
        " bound=" + std::to_string(bound);
    record_.Line(summary);
    printf("%s\n", summary.c_str());
    if (IsSlowStartCase(trouble_)) {
      if (answered == 0 || delivered_ == 0) return 2;
      return most_opened > bound ? 1 : 0;
    }
    if (open_before_ < layout_.clients || delivered_ == 0) return 2;
    return broken_ > 0 ? 1 : 0;
  }

  const Layout layout_;
  Loop loop_;
  Record record_;
  const std::string trouble_;
  Store store_;
  Routers routers_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Client>> clients_;
  int open_before_ = 0;
  std::atomic<int> delivered_{0};
  int broken_ = 0;
  /** Resets before it are excused. */
  Clock::time_point calm_from_{};
};

}  // namespace
}  // namespace review

/** world BASE_PORT SECONDS RECORD TROUBLE */
int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const auto base = static_cast<uint16_t>(atoi(argv[1]));
  review::World world(review::LayoutOf(base, argv[4]), argv[3], argv[4]);
  const int status = world.Run(atoi(argv[2]));
  fflush(stdout);
  _exit(status);
}
