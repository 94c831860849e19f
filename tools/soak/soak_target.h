#ifndef SESAMESADDLE_TOOLS_SOAK_SOAK_TARGET_H_
#define SESAMESADDLE_TOOLS_SOAK_SOAK_TARGET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "flow_model/packet.h"
#include "net/http_client.h"
#include "net/packet_socket.h"

namespace sesamesaddle {

class PacketWorld;

/**
 * A target: holds flows, runs requests in slots behind a short queue, responds
 * slowly at first after a start, announces itself and drains.
 */
class SoakTarget {
 public:
  SoakTarget(PacketWorld& world, int index, std::string service);
  void Announce();
  /** Loses all flows and restarts as a new incarnation. */
  void Crash();
  /** Announces a drain, deregisters later and restarts as a new target. */
  void Drain();
  /** Whether it lives and holds the flow, with the end of its handshake. */
  bool Holds(const Flow& flow) const;
  bool draining() const { return draining_; }
  const std::string& service() const { return service_; }

 private:
  struct FlowState {
    uint32_t sequence = 0;
    uint32_t client_sequence = 0;
    bool open = false;
    /** Id of the request answered last. */
    std::string answered;
  };
  struct QueuedRequest {
    Flow flow;
    std::string id;
  };

  void Call(const std::string& path, const std::string& body,
            std::function<void()> acknowledged);
  std::string InstanceId() const;
  void OnPacket(char* bytes, size_t size);
  void OnSyn(const Flow& flow, const PacketHeader& head);
  /** Counts a new flow if the target is in slow start. */
  void RecordColdFlow();
  /** Returns how much longer the slow start takes; zero after it. */
  Duration SlowStartLeft() const;
  void OnRequest(const Flow& flow, FlowState& entry, const PacketHeader& head,
                 const std::string& id);
  void StartQueuedRequests();
  void SendResponse(const Flow& flow, const std::string& text);
  void Send(const std::string& packet);

  PacketWorld& world_;
  int index_;
  std::string service_;
  std::unique_ptr<PacketSocket> socket_;
  HttpClient agent_;
  std::unique_ptr<HttpCall> call_;
  std::map<Flow, FlowState> flows_;
  std::deque<QueuedRequest> queue_;
  int running_ = 0;
  int64_t sequence_ = 0;
  int64_t born_ms_ = 0;
  int incarnation_ = 0;
  TimePoint started_{};
  /** Times of the new flows of the last second of the slow start. */
  std::deque<TimePoint> cold_flows_;
  bool draining_ = false;
  bool deregistered_ = false;
  /** Time at which the agent acknowledged the drain. */
  TimePoint drain_acknowledged_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_SOAK_SOAK_TARGET_H_
