// Stand-in for the fabric: binds the service addresses and forwards each
// datagram to a random balancer that is ready. POST /control injects faults:
//   cut=INDEX&direction=to|from|both   drops the datagrams of one balancer
//   loss=PERCENT                       drops datagrams at random, both ways
//   mute=PORT&direction=to|from|both   drops those of callers with that port
//   heal=1                             ends all faults

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

constexpr Duration kReadinessProbePeriod = std::chrono::milliseconds(100);
constexpr int kPercent = 100;

/** The directions of a path in which datagrams are dropped. */
struct DroppedDirections {
  bool to = false;
  bool from = false;
};

struct BalancerBackend {
  Endpoint data_endpoint;
  std::unique_ptr<HttpClient> admin_client;
  std::unique_ptr<HttpCall> readiness_call;
  bool probe_in_flight = false;
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
            OnCallerDatagram(from, service, payload);
          });
      if (!socket) return PrintError(socket.error());
      services_[service] = std::move(*socket);
    }
    auto balancer_socket = UdpSocket::Open(
        loop_, listen, [this](const Endpoint& from, std::string_view payload) {
          OnBalancerDatagram(from, payload);
        });
    if (!balancer_socket) return PrintError(balancer_socket.error());
    balancer_socket_ = std::move(*balancer_socket);
    for (const auto& [data_endpoint, admin] : balancers) {
      BalancerBackend backend;
      backend.data_endpoint = data_endpoint;
      backend.admin_client = std::make_unique<HttpClient>(loop_, admin);
      balancers_.push_back(std::move(backend));
    }
    auto server = HttpServer::Open(
        loop_, control,
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder) {
          OnControl(request);
          responder->Send({});
        });
    if (!server) return PrintError(server.error());
    control_ = std::move(*server);
    timer_ = loop_.Every(kReadinessProbePeriod, [this] { ProbeReadiness(); });
    return true;
  }

 private:
  static bool PrintError(const NetError& error) {
    fprintf(stderr, "fabric: %s\n", error.message.c_str());
    return false;
  }

  void ProbeReadiness() {
    for (size_t i = 0; i < balancers_.size(); ++i) {
      BalancerBackend& backend = balancers_[i];
      if (backend.probe_in_flight) continue;
      backend.probe_in_flight = true;
      HttpRequest request;
      request.method = "GET";
      request.path = "/readyz";
      backend.readiness_call = backend.admin_client->Call(
          request, ConnectionUse::kFresh, [this, i](HttpResult result) {
            loop_.Post([this, i, result] {
              balancers_[i].ready =
                  result.complete && result.response.status == 200;
              balancers_[i].probe_in_flight = false;
            });
          });
    }
  }

  void OnCallerDatagram(const Endpoint& from, const Endpoint& service,
                        std::string_view payload) {
    std::vector<size_t> ready;
    for (size_t i = 0; i < balancers_.size(); ++i) {
      if (balancers_[i].ready) ready.push_back(i);
    }
    if (ready.empty()) return;
    const size_t chosen = ready[random_.Below(ready.size())];
    if (DrawLoss() || balancer_drops_[chosen].to ||
        caller_drops_[from.port()].to) {
      return;
    }
    balancer_socket_->Send(balancers_[chosen].data_endpoint,
                           EncodeProxiedDatagram({from, service, payload}));
  }

  void OnBalancerDatagram(const Endpoint& /*from*/, std::string_view bytes) {
    const auto datagram = ParseProxiedDatagram(bytes);
    if (!datagram) return;
    const auto socket = services_.find(datagram->source);
    if (socket == services_.end()) return;
    if (DrawLoss() || caller_drops_[datagram->destination.port()].from) return;
    socket->second->Send(datagram->destination, datagram->payload);
  }

  bool DrawLoss() { return random_.Below(kPercent) < loss_percent_; }

  void OnControl(const HttpRequest& request) {
    const std::string direction = QueryValue(request.query, "direction");
    const DroppedDirections dropped{direction != "from", direction != "to"};
    const std::string index = QueryValue(request.query, "cut");
    const std::string port = QueryValue(request.query, "mute");
    const std::string loss = QueryValue(request.query, "loss");
    if (!index.empty()) balancer_drops_[std::stoul(index)] = dropped;
    if (!port.empty()) {
      caller_drops_[static_cast<uint16_t>(std::stoul(port))] = dropped;
    }
    if (!loss.empty()) loss_percent_ = std::stoul(loss);
    if (QueryValue(request.query, "heal").empty()) return;
    balancer_drops_.clear();
    caller_drops_.clear();
    loss_percent_ = 0;
  }

  EventLoop& loop_;
  SeededRandom random_;
  std::map<Endpoint, std::unique_ptr<UdpSocket>> services_;
  std::unique_ptr<UdpSocket> balancer_socket_;
  std::vector<BalancerBackend> balancers_;
  std::unique_ptr<HttpServer> control_;
  EventLoop::Timer timer_;
  std::map<size_t, DroppedDirections> balancer_drops_;
  std::map<uint16_t, DroppedDirections> caller_drops_;
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
  std::vector<std::pair<Endpoint, Endpoint>> balancer_endpoints;
  for (const std::string& balancer : balancers) {
    const size_t comma = balancer.find(',');
    balancer_endpoints.emplace_back(
        Endpoint::Parse(balancer.substr(0, comma)).value(),
        Endpoint::Parse(balancer.substr(comma + 1)).value());
  }
  const sesamesaddle::SteadyClock clock;
  sesamesaddle::EventLoop loop(clock);
  sesamesaddle::FabricStandIn fabric(loop, seed);
  if (!fabric.Open(Endpoint::Parse(listen).value(),
                   Endpoint::Parse(control).value(), service_endpoints,
                   balancer_endpoints)) {
    return 1;
  }
  loop.Run();
  return 0;
}
