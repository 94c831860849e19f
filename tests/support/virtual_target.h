#ifndef SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_TARGET_H_
#define SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_TARGET_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "test_packet_codec.h"

namespace sesamesaddle {

class SteeringWorld;

/**
 * A simulated target with slots and a request queue; it returns packets of
 * flows that it does not hold.
 */
class VirtualTarget {
 public:
  VirtualTarget(SteeringWorld& world, size_t index)
      : world_(world), index_(index) {}

  void OnPacket(std::string packet);
  void Crash();
  void Start();
  /** Whether the target has the end of the flow's handshake. */
  bool HoldsOpen(const Flow& flow) const;

  int slots = 2;
  size_t queue_limit = 12;
  Duration work = std::chrono::milliseconds(20);
  bool alive = true;
  /** Number of starts; each is a new incarnation. */
  int starts = 1;
  int shed = 0;
  /**
   * Answers each request with an error at once, but announces itself as ready.
   */
  bool failing = false;
  int errors = 0;
  std::set<std::string> started_requests;
  std::set<std::string> completed_requests;
  int accepted_flows = 0;
  /** Times at which it accepted flows. */
  std::vector<TimePoint> accepted_at;
  /** Times at which the clients of these flows sent the first SYN. */
  std::vector<TimePoint> accepted_sent_at;

 private:
  struct HeldFlow {
    uint32_t sequence = 0;
    bool open = false;
    uint32_t client_sequence = 0;
  };
  struct Request {
    Flow flow;
    std::string id;
    uint32_t acknowledged = 0;
  };

  /** Accepts a new flow, or answers a copy of its SYN. */
  void OnSyn(const Flow& flow, uint32_t sequence);
  void Serve();
  /** Answers the end of a flow that its client has closed. */
  void Close(const Flow& flow);
  void Answer(const Request& request, const std::string& result);
  void Return(std::string packet);

  SteeringWorld& world_;
  size_t index_;
  std::map<Flow, HeldFlow> flows_;
  std::deque<Request> queue_;
  int working_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_TARGET_H_
