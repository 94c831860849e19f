// world CASE BASE-PORT RECORD TROUBLE: the platform, servers and clients of a
// case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not
// run. "world base" prints a base port that is free.

#include <csignal>

#include "world.hpp"

namespace {

constexpr int kBalancers = 2;
constexpr int kAgents = 3;

int find_base() {
  srand(static_cast<unsigned>(getpid()) ^ static_cast<unsigned>(unix_ms()));
  for (int tries = 0; tries < 200; ++tries) {
    const int base = 12000 + rand() % 180 * 100;
    bool free = true;
    std::vector<int> fds;
    for (const std::string& ip :
         {balancer_ip(0), balancer_ip(1), agent_ip(0), agent_ip(1), agent_ip(2),
          std::string(kClientIp), std::string(kStoreIp)}) {
      for (const int port : {0, 1, 2, 3, 4, 6, 10, 11, 12, 50, 51, 52, 60, 61}) {
        fds.push_back(listen_tcp(ip, base + port));
        free = free && fds.back() >= 0;
        fds.push_back(bind_udp(ip, base + port));
        free = free && fds.back() >= 0;
      }
    }
    for (const int fd : fds) {
      if (fd >= 0) close(fd);
    }
    if (free) return base;
  }
  cannot_run("no free ports");
}

Server::Options options(const std::string& id, Seconds cold = 0) {
  Server::Options o;
  o.id = id;
  o.cold = cold;
  return o;
}

// Calls `f` with the server's first acknowledged heartbeat after `since`.
void after_beat(World& w, const std::shared_ptr<Server>& server, Seconds since,
                std::function<void()> f) {
  if (server->acknowledged() > since) return f();
  w.loop.after(0.005, [&w, server, since, f] {
    after_beat(w, server, since, f);
  });
}

// A server is cut from control, crashes behind the cut and starts again; the
// heartbeat that it sent before the crash arrives once the path is whole.
void reborn(World& w, bool trouble, std::function<void(int)> end) {
  const auto first = w.start_server(0, options("a1"));
  w.start_server(1, options("b1"));
  w.start_server(2, options("c1"));
  for (int i = 0; i < 12; ++i) w.open_flow(40);
  // Four more flows each second.
  for (int i = 0; i < 60; ++i) {
    w.loop.after(i * 0.25, [&w] { w.open_flow(40); });
  }
  const Seconds begin = now();
  w.loop.after(4.0, [&w, first, trouble] {
    const Seconds since = now();
    after_beat(w, first, since, [&w, first, trouble] {
      if (trouble) {
        w.loop.after(0.2, [&w] { w.cut(0); });
        w.loop.after(7.3, [&w] { w.heal(0); });
      }
      w.loop.after(1.6, [&w, first] {
        first->crash();
        w.disrupted();
      });
      w.loop.after(2.1, [&w] { w.start_server(0, options("a2")); });
    });
  });
  w.loop.after(begin + 32 - now(), [&w, end] {
    end(w.broken() > 0 || w.changed() > 0 ? 1 : 0);
  });
}

// The limit is warmupPerS x slowStartOver + slowStartSlack.
void judge_cold(World& w, const std::shared_ptr<Server>& server,
                const std::function<void(int)>& end) {
  constexpr double kLimit = 4 * 1.5 + 5;
  if (!server) return end(2);
  const size_t most = server->most_cold();
  w.note("most new flows of the cold server within a second: %zu; allowed: "
         "%.0f%s",
         most, kLimit, most > kLimit ? " -- FAILBACK is broken" : "");
  end(most > kLimit ? 1 : 0);
}

// A server crashes and starts again, cold; the heartbeat that it sent just
// before the crash was held up and arrives after the new one has registered.
void cold(World& w, bool trouble, std::function<void(int)> end) {
  constexpr Seconds kCold = 4;
  const auto first = w.start_server(0, options("a1"));
  w.start_server(1, options("b1"));
  w.start_server(2, options("c1"));
  for (int i = 0; i < 15 * 75; ++i) {
    w.loop.after(i / 75.0, [&w] { w.open_flow(0); });
  }
  const auto second = std::make_shared<std::shared_ptr<Server>>();
  w.loop.after(5.0, [&w, first, second, trouble] {
    const Seconds since = now();
    after_beat(w, first, since, [&w, first, second, trouble] {
      if (trouble) {
        w.loop.after(1.1, [&w] { w.cut(0); });
        w.loop.after(1.5, [&w] { w.heal(0); });
      }
      w.loop.after(1.3, [&w, first] {
        first->crash();
        w.disrupted();
      });
      w.loop.after(1.55, [&w, second] {
        *second = w.start_server(0, options("a2", kCold));
      });
    });
  });
  w.loop.after(15, [&w, second, end] { judge_cold(w, *second, end); });
}

// A server is cut from control, crashes behind the cut and starts again, cold:
// its agent does not get its heartbeats.
void cold_behind_cut(World& w, bool trouble, std::function<void(int)> end) {
  constexpr Seconds kCold = 4;
  const auto first = w.start_server(0, options("a1"));
  w.start_server(1, options("b1"));
  w.start_server(2, options("c1"));
  // The packets of these flows come back from the next server.
  for (int i = 0; i < 30; ++i) {
    w.loop.after(i * 0.1, [&w] { w.open_flow(40); });
  }
  for (int i = 0; i < 16 * 75; ++i) {
    w.loop.after(i / 75.0, [&w] { w.open_flow(0); });
  }
  const auto second = std::make_shared<std::shared_ptr<Server>>();
  w.loop.after(4.0, [&w, first, second, trouble] {
    const Seconds since = now();
    after_beat(w, first, since, [&w, first, second, trouble] {
      if (trouble) {
        w.loop.after(0.5, [&w] { w.cut(0); });
        w.loop.after(6.0, [&w] { w.heal(0); });
      }
      w.loop.after(1.0, [&w, first] {
        first->crash();
        w.disrupted();
      });
      w.loop.after(1.5, [&w, second] {
        *second = w.start_server(0, options("a2", kCold));
      });
    });
  });
  w.loop.after(16, [&w, second, end] { judge_cold(w, *second, end); });
}

// The store turns one agent's machine away for a second and takes its keys
// away; all balancers are killed meanwhile. The clients pause.
void revoked(World& w, bool trouble, std::function<void(int)> end) {
  w.start_server(0, options("a1"));
  w.start_server(1, options("b1"));
  w.start_server(2, options("c1"));
  w.set_pause(8.5);
  for (int i = 0; i < 24; ++i) {
    w.loop.after(2.0 + i * 0.02, [&w] { w.open_flow(60); });
  }
  w.loop.after(11.6, [&w, trouble] {
    const auto once = std::make_shared<bool>(false);
    w.store.on_renewal(0, [&w, trouble, once] {
      if (*once || !trouble) return;
      *once = true;
      w.note("the store turns agent 0 away and takes its keys away");
      w.store.reject(0, true);
      w.store.revoke(0);
      for (int i = 0; i < kBalancers; ++i) {
        w.order("kill", "balancer", i);
        w.loop.after(0.3, [&w, i] { w.order("start", "balancer", i); });
      }
      w.loop.after(1.0, [&w] {
        w.store.reject(0, false);
        w.note("the store serves agent 0 again");
        w.disrupted();
      });
    });
  });
  w.loop.after(34, [&w, end] {
    end(w.broken() > 0 || w.changed() > 0 ? 1 : 0);
  });
}

// Another writer leaves one entry that can't be read under the key of agent 0; a
// balancer is restarted as planned.
void odd_entry(World& w, bool trouble, std::function<void(int)> end) {
  w.start_server(0, options("a1"));
  w.start_server(1, options("b1"));
  w.start_server(2, options("c1"));
  for (int i = 0; i < 24; ++i) {
    w.loop.after(i * 0.05, [&w] { w.open_flow(60); });
  }
  if (trouble) {
    w.loop.after(4.0, [&w] {
      w.note("another writer writes under the key of agent 0");
      w.store.spoil(0);
      w.disrupted();
    });
  }
  w.loop.after(9.0, [&w] { w.order("term", "balancer", 0); });
  w.loop.after(15.5, [&w] { w.order("start", "balancer", 0); });
  w.loop.after(30, [&w, end] {
    end(w.broken() > 0 || w.changed() > 0 ? 1 : 0);
  });
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 2 && strcmp(argv[1], "base") == 0) {
    printf("%d\n", find_base());
    return 0;
  }
  if (argc != 5) cannot_run("usage: world CASE BASE-PORT RECORD TROUBLE");
  signal(SIGPIPE, SIG_IGN);
  const std::string name = argv[1];
  const bool trouble = strcmp(argv[4], "0") != 0;
  World w(atoi(argv[2]), argv[3], kBalancers, kAgents);
  const bool is_cold = name == "cold" || name == "cold-behind-cut";
  w.put_config(is_cold ? 4.0 : 0.0, is_cold ? 4.0 : 0.0);
  int verdict = 2;
  const auto end = [&](int result) {
    w.summary();
    verdict = w.answered() < 20 ? 2 : result;
    w.note("verdict: %d", verdict);
    w.loop.stop();
  };
  w.when_ready([&] {
    if (name == "reborn") return reborn(w, trouble, end);
    if (name == "cold") return cold(w, trouble, end);
    if (name == "cold-behind-cut") return cold_behind_cut(w, trouble, end);
    if (name == "odd-entry") return odd_entry(w, trouble, end);
    if (name == "revoked") return revoked(w, trouble, end);
    cannot_run("there is no case " + name);
  });
  w.loop.run();
  fflush(nullptr);
  _exit(verdict);
}
