#ifndef SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_FLOW_CLIENT_H_
#define SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_FLOW_CLIENT_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/endpoint.h"
#include "core/time.h"
#include "flow_model/packet.h"
#include "test_packet_codec.h"

namespace sesamesaddle {

class SteeringWorld;

/** Result of one request. */
struct ClientResult {
  bool answered = false;
  Duration took{};
  int tries = 0;
  int resets = 0;
};

/**
 * A simulated client that keeps one flow open, or opens one for each request.
 */
class VirtualFlowClient {
 public:
  VirtualFlowClient(SteeringWorld& world, uint32_t address, Endpoint route,
                    bool keeps_flow)
      : world_(world),
        address_(address),
        route_(route),
        keeps_flow_(keeps_flow) {}

  /** Sends a request, on the open flow if there is one. */
  void Request(const std::string& id);
  void OnPacket(const PacketHeader& header, const std::string& payload);

  Duration deadline = std::chrono::milliseconds(2000);
  int retries = 2;
  bool repeatable = true;
  std::map<std::string, ClientResult> results;
  bool busy() const { return busy_; }
  bool has_flow() const { return open_; }
  /** Whether the flow from that port is open for the client. */
  bool HasFlow(uint16_t port) const { return open_ && port == port_; }
  /** Returns the current flow, also if it is not open. */
  Flow flow() const { return {Endpoint(address_, port_), route_}; }
  /** Returns when the current or latest request began. */
  TimePoint request_began() const { return began_; }
  /** Returns when the latest attempt sent its first packet. */
  TimePoint attempt_began() const { return attempt_began_; }
  /** Whether a reset with that sequence number ends the current flow. */
  bool AcceptsReset(uint32_t sequence) const;
  /** Closes the open flow, if any. */
  void Close();
  /** Closes the open flow, if any, and opens the next one from its port. */
  void CloseAndReusePort();
  /** Sends a late retransmission of the open flow's SYN. */
  void RetransmitSyn();

 private:
  void StartAttempt();
  void SendSyn(int64_t attempt, uint32_t retransmissions);
  void SendRequest(int64_t attempt, Duration next);
  void Fail(bool reset);
  void Send(PacketHeader header, const std::string& payload = "");

  SteeringWorld& world_;
  uint32_t address_;
  Endpoint route_;
  bool keeps_flow_;
  bool busy_ = false;
  bool open_ = false;
  uint16_t port_ = 1000;
  uint32_t server_sequence_ = 0;
  /** Bytes received on the open flow. */
  uint32_t received_ = 0;
  uint32_t syn_sequence_ = 1;
  uint32_t sequence_ = 1;
  int64_t attempt_ = 0;
  std::string id_;
  TimePoint began_{};
  TimePoint attempt_began_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_FLOW_CLIENT_H_
