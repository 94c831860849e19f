#ifndef REVIEW_STANDINS_3_LAYOUT_H_
#define REVIEW_STANDINS_3_LAYOUT_H_

#include <cstdint>
#include <string>

namespace review {

/** Addresses and ports of the small deployment; all are on loopback. */
struct Layout {
  uint16_t base = 21000;
  int balancers = 3;
  int agents = 3;
  int southern_agents = 0;
  int clients = 12;

  static std::string Balancer(int i) { return "127.41.0." + Number(i); }
  static std::string Agent(int i) { return "127.42.0." + Number(i); }
  static std::string StoreIp() { return "127.43.0.1"; }
  /** The store's address in the settings of agent 0. */
  static std::string StoreIpOfAgent() { return "127.43.0.2"; }
  static std::string Client(int i) { return "127.64.0." + Number(i); }
  /** The address of the route, in packets only. */
  static std::string RouteIp() { return "127.90.0.1"; }
  static constexpr uint16_t kRoutePort = 8443;

  /** The last agents are in the other zone, where no balancer is. */
  std::string ZoneOfAgent(int i) const {
    return i < agents - southern_agents ? "north" : "south";
  }

  uint16_t Packets() const { return base; }
  uint16_t Readiness() const { return Port(1); }
  uint16_t Control() const { return Port(2); }
  uint16_t Outbound() const { return Port(3); }
  uint16_t App() const { return Port(4); }
  uint16_t StorePort() const { return Port(5); }

 private:
  static std::string Number(int i) { return std::to_string(i + 1); }
  uint16_t Port(int offset) const {
    return static_cast<uint16_t>(base + offset);
  }
};

constexpr char kService[] = "orders";
constexpr int kHeartbeatMs = 1200;

}  // namespace review

#endif  // REVIEW_STANDINS_3_LAYOUT_H_
