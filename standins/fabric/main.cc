// Stand-in for the fabric: owns the service addresses and hands each datagram
// to a random balancer that is ready. Failures on demand, by POST /control?
//   cut=INDEX&direction=to|from|both   datagrams of one balancer are lost
//   loss=PERCENT                       of all datagrams, both ways
//   mute=PORT&direction=to|from|both   datagrams of callers with that port
//   heal=1                             ends all of these

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/proxy_header.h"
#include "net/query.h"
#include "net/udp_socket.h"

namespace sesamesaddle {
namespace {

constexpr Duration kHealthPeriod = std::chrono::milliseconds(100);
constexpr int kPercent = 100;

/** Which directions of a path are cut. */
struct Cut {
  bool to = false;
  bool from = false;
};

struct BalancerPort {
  Endpoint data;
  std::unique_ptr<HttpClient> health;
  std::unique_ptr<HttpCall> probe;
  bool probing = false;
  bool ready = false;
};

class FabricStandIn {
 public:
  FabricStandIn(EventLoop& loop, uint64_t seed) : loop_(loop), random_(seed) {}

  bool Open(const Endpoint& listen, const Endpoint& control,
            const std::vector<Endpoint>& services,
            const std::vector<std::pair<Endpoint, Endpoint>>& balancers) {
    for (const Endpoint& service : services) {
      auto socket = UdpSocket::Open(
          loop_, service,
          [this, service](const Endpoint& from, std::string_view payload) {
            OnCaller(from, service, payload);
          });
      if (!socket) return Report(socket.error());
      services_[service] = std::move(*socket);
    }
    auto peers = UdpSocket::Open(
        loop_, listen, [this](const Endpoint& from, std::string_view payload) {
          OnBalancer(from, payload);
        });
    if (!peers) return Report(peers.error());
    peers_ = std::move(*peers);
    for (const auto& [data, admin] : balancers) {
      BalancerPort port;
      port.data = data;
      port.health = std::make_unique<HttpClient>(loop_, admin);
      balancers_.push_back(std::move(port));
    }
    auto server = HttpServer::Open(
        loop_, control,
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder) {
          Control(request);
          responder->Send({});
        });
    if (!server) return Report(server.error());
    control_ = std::move(*server);
    timer_ = loop_.Every(kHealthPeriod, [this] { CheckHealth(); });
    return true;
  }

 private:
  static bool Report(const NetError& error) {
    fprintf(stderr, "fabric: %s\n", error.message.c_str());
    return false;
  }

  void CheckHealth() {
    for (size_t i = 0; i < balancers_.size(); ++i) {
      BalancerPort& port = balancers_[i];
      if (port.probing) continue;
      port.probing = true;
      HttpRequest request;
      request.method = "GET";
      request.path = "/readyz";
      port.probe = port.health->Call(
          request, ConnectionUse::kFresh, [this, i](HttpResult result) {
            loop_.Post([this, i, result] {
              balancers_[i].ready =
                  result.complete && result.response.status == 200;
              balancers_[i].probing = false;
            });
          });
    }
  }

  void OnCaller(const Endpoint& from, const Endpoint& service,
                std::string_view payload) {
    std::vector<size_t> ready;
    for (size_t i = 0; i < balancers_.size(); ++i) {
      if (balancers_[i].ready) ready.push_back(i);
    }
    if (ready.empty()) return;
    const size_t chosen = ready[random_.Below(ready.size())];
    if (Lost() || balancer_cuts_[chosen].to || caller_cuts_[from.port()].to) {
      return;
    }
    peers_->Send(balancers_[chosen].data,
                 EncodeProxiedDatagram({from, service, payload}));
  }

  void OnBalancer(const Endpoint& /*from*/, std::string_view bytes) {
    const auto datagram = ParseProxiedDatagram(bytes);
    if (!datagram) return;
    const auto socket = services_.find(datagram->source);
    if (socket == services_.end()) return;
    if (Lost() || caller_cuts_[datagram->destination.port()].from) return;
    socket->second->Send(datagram->destination, datagram->payload);
  }

  bool Lost() { return random_.Below(kPercent) < loss_percent_; }

  void Control(const HttpRequest& request) {
    const std::string direction = QueryValue(request.query, "direction");
    const Cut cut{direction != "from", direction != "to"};
    const std::string index = QueryValue(request.query, "cut");
    const std::string port = QueryValue(request.query, "mute");
    const std::string loss = QueryValue(request.query, "loss");
    if (!index.empty()) balancer_cuts_[std::stoul(index)] = cut;
    if (!port.empty()) {
      caller_cuts_[static_cast<uint16_t>(std::stoul(port))] = cut;
    }
    if (!loss.empty()) loss_percent_ = std::stoul(loss);
    if (QueryValue(request.query, "heal").empty()) return;
    balancer_cuts_.clear();
    caller_cuts_.clear();
    loss_percent_ = 0;
  }

  EventLoop& loop_;
  SeededRandom random_;
  std::map<Endpoint, std::unique_ptr<UdpSocket>> services_;
  std::unique_ptr<UdpSocket> peers_;
  std::vector<BalancerPort> balancers_;
  std::unique_ptr<HttpServer> control_;
  EventLoop::Timer timer_;
  std::map<size_t, Cut> balancer_cuts_;
  std::map<uint16_t, Cut> caller_cuts_;
  uint64_t loss_percent_ = 0;
};

}  // namespace
}  // namespace sesamesaddle

int main(int argc, char** argv) {
  using sesamesaddle::Endpoint;
  std::string listen = "127.0.0.1:7200";
  std::string control = "127.0.0.1:7201";
  std::vector<std::string> services;
  std::vector<std::string> balancers;
  uint64_t seed = 1;
  CLI::App app("Stand-in for the fabric before the balancers.");
  app.add_option("--listen", listen, "ADDRESS:PORT (UDP) for the balancers");
  app.add_option("--control", control, "ADDRESS:PORT (HTTP) for failures");
  app.add_option("--service", services, "ADDRESS:PORT (UDP) of a service");
  app.add_option(
      "--balancer", balancers,
      "ADDRESS:PORT,ADDRESS:PORT: fabric port and API of a balancer");
  app.add_option("--seed", seed, "Seed of the choice of balancers");
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  std::vector<Endpoint> service_endpoints;
  for (const std::string& service : services) {
    service_endpoints.push_back(Endpoint::Parse(service).value());
  }
  std::vector<std::pair<Endpoint, Endpoint>> ports;
  for (const std::string& balancer : balancers) {
    const size_t comma = balancer.find(',');
    ports.emplace_back(Endpoint::Parse(balancer.substr(0, comma)).value(),
                       Endpoint::Parse(balancer.substr(comma + 1)).value());
  }
  const sesamesaddle::SteadyClock clock;
  sesamesaddle::EventLoop loop(clock);
  sesamesaddle::FabricStandIn fabric(loop, seed);
  if (!fabric.Open(Endpoint::Parse(listen).value(),
                   Endpoint::Parse(control).value(), service_endpoints,
                   ports)) {
    return 1;
  }
  loop.Run();
  return 0;
}
