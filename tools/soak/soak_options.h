#ifndef SESAMESADDLE_TOOLS_SOAK_SOAK_OPTIONS_H_
#define SESAMESADDLE_TOOLS_SOAK_SOAK_OPTIONS_H_

#include <cstdint>
#include <string>

#include "core/endpoint.h"

namespace sesamesaddle {

/** Sizes and addresses of a soak. Every instance has its own address. */
struct SoakOptions {
  int balancers = 3;
  int targets = 5;
  int clients = 40;
  int seconds = 20;
  /** Final period without injected faults: every request must be answered. */
  int calm_seconds = 6;
  uint64_t seed = 1;
  uint16_t base_port = 25000;
  std::string store = "127.0.0.1:25100";
  /** Packets dropped per thousand, in each direction at the clients. */
  int lost_packets = 5;
  /** Targets crash, lose their flows and restart. */
  bool crashes = true;
  /** Targets drain and are replaced. */
  bool drains = true;
  /** The configuration changes periodically. */
  bool changes = true;
  /**
   * Clients keep flows open until their target is gone, pause long between
   * requests and open flows on the newest route, which each configuration adds.
   * Configurations change often, and the routers move most flows when the
   * rotation changes.
   */
  bool open_flows = false;
  /** Duration of the targets' slow start. */
  int slow_start_ms = 1500;
  /** Limit of new flows per second to a target in slow start; 0: none. */
  int warmup_per_s = 0;

  Endpoint Balancer(int i, int port) const { return Address(1, i, port); }
  Endpoint Target(int i, int port) const { return Address(2, i, port); }
  Endpoint Client(int i, int port) const { return Address(3, i, port); }

  /** Addresses and ports of the routes to the two services. */
  static Endpoint OrdersRoute() { return {0xc6120001, 8443}; }
  static Endpoint ReportsRoute() { return {0xc6120002, 8080}; }

  // Ports, relative to base_port.
  static constexpr int kPackets = 0;
  static constexpr int kReadiness = 1;
  static constexpr int kControl = 2;
  static constexpr int kOutbound = 3;
  static constexpr int kApp = 4;

 private:
  Endpoint Address(uint32_t kind, int i, int port) const {
    return {(127U << 24) | (kind << 16) | static_cast<uint32_t>(i + 1),
            static_cast<uint16_t>(base_port + port)};
  }
};

/** Results of a soak, as counted by clients and targets. */
struct SoakVerdict {
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t calm_requests = 0;
  int64_t calm_answered = 0;
  /** Started in the calm period and failed. */
  int64_t calm_failed = 0;
  int64_t duplicate_runs = 0;
  int64_t wrong_service = 0;
  int64_t wrong_answers = 0;
  int64_t changed_packets = 0;
  int64_t resets = 0;
  /** Resets of open flows that a living target held. */
  int64_t open_resets = 0;
  /** Open flows whose packets reached only other targets for 2 s. */
  int64_t misled_flows = 0;
  /** Rejected by targets whose queues were full. */
  int64_t shed = 0;
  /** New flows delivered to a target long after its drain was acknowledged. */
  int64_t flows_after_drain = 0;
  int64_t crashes = 0;
  int64_t drains = 0;
  /** Configuration versions that the store acknowledged. */
  int64_t versions = 0;
  /** Balancers without the newest version 3 s into the calm period. */
  int64_t versions_late = 0;
  /** Responses from an older version than the balancer had served before. */
  int64_t versions_back = 0;
  /** Most new flows of a target in slow start in any sliding second. */
  int64_t most_cold_flows = 0;
};

/**
 * Returns whether targets in slow start got no more new flows than the users'
 * sites allow, which is more than the limit: `bounds.slowStartOver` times the
 * limit plus `bounds.slowStartSlack`.
 */
inline bool KeptSlowStart(const SoakOptions& options,
                          const SoakVerdict& verdict) {
  constexpr double kOver = 1.5;
  constexpr double kSlack = 5;
  return options.warmup_per_s == 0 ||
         static_cast<double>(verdict.most_cold_flows) <=
             options.warmup_per_s * kOver + kSlack;
}

/** Returns whether the request must run at most once, from its id. */
inline bool IsNonIdempotent(const std::string& id) { return id[0] == 'w'; }

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_SOAK_SOAK_OPTIONS_H_
