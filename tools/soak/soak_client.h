#ifndef SESAMESADDLE_TOOLS_SOAK_SOAK_CLIENT_H_
#define SESAMESADDLE_TOOLS_SOAK_SOAK_CLIENT_H_

#include <memory>
#include <string>

#include "flow_model/packet.h"
#include "net/packet_socket.h"

namespace sesamesaddle {

class PacketWorld;

/** A client that keeps one flow open or opens a flow for each request. */
class SoakClient {
 public:
  SoakClient(PacketWorld& world, int index, Endpoint route, bool keeps_flow);
  void Start();

 private:
  /** The flow that is open, or that was opened last. */
  Flow flow() const;
  void StartRequest();
  void StartAttempt();
  void SendSyn(int64_t attempt);
  void SendRequest(int64_t attempt, Duration next);
  void Send(const PacketHeader& head, const std::string& payload);
  void OnPacket(char* bytes, size_t size);
  void Finish(bool answered);
  /** Schedules a retry, or fails the request after the last attempt. */
  void ScheduleRetry();
  void OnReset();
  /** Returns the time until the next request. */
  Duration Pause() const;
  /** Returns whether the flow stays open after an answer. */
  bool KeepsFlow() const;
  /** Closes the open flow with a FIN. */
  void Close();

  PacketWorld& world_;
  int index_;
  /** The route of the first configuration to the same service. */
  Endpoint first_route_;
  Endpoint route_;
  bool keeps_flow_;
  /** Requests answered on the open flow. */
  int answered_on_flow_ = 0;
  std::unique_ptr<PacketSocket> socket_;
  bool busy_ = false;
  bool open_ = false;
  bool started_in_calm_ = false;
  uint16_t port_;
  int64_t attempt_ = 0;
  int64_t next_id_ = 0;
  int tries_used_ = 0;
  uint32_t sequence_ = 1;
  uint32_t server_sequence_ = 0;
  std::string id_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_SOAK_SOAK_CLIENT_H_
