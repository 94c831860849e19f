#ifndef REVIEW_STANDINS_3_TARGET_H_
#define REVIEW_STANDINS_3_TARGET_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "layout.h"
#include "loop.h"
#include "packet.h"
#include "record.h"

namespace review {

/** A backend beside an agent. It runs for the whole case. */
class Target {
 public:
  Target(Loop& loop, Record& record, const Layout& layout, int index);

  /** Sends heartbeats every kHeartbeatMs; runs in a thread of its own. */
  void SendHeartbeats();
  /** Ends the backend: it forgets all, and nothing answers at its address. */
  void PowerOff();
  /** Starts a new incarnation, which is cold for that time. */
  void PowerOn(Millis cold);
  /**
   * Returns the most flows that were opened within a second while the backend
   * was cold.
   */
  int most_opened_while_cold() const { return most_opened_; }
  bool HoldsOpen(const FlowKey& flow) const;
  int index() const { return index_; }
  int runs() const { return runs_; }

 private:
  struct Flow {
    uint32_t client_first = 0;
    uint32_t client_next = 0;
    uint32_t own_first = 0;
    uint32_t own_next = 0;
    bool open = false;
    bool closed = false;
    /** The latest answer and how often it was sent, until it is acknowledged.
     */
    std::string answer;
    int answer_sent = 0;
  };

  void WaitForNextHeartbeat(int incarnation, bool acknowledged) const;
  void OnPacket(std::string_view bytes);
  void OnSyn(const FlowKey& key, const Packet& packet, std::string_view bytes);
  void OnData(const FlowKey& key, const Packet& packet, Flow& flow);
  void Run(const FlowKey& key, const Packet& packet, Flow& flow);
  void SendAnswer(const FlowKey& key, uint32_t sequence, Millis next);
  void Send(const FlowKey& key, uint8_t flags, uint32_t sequence,
            uint32_t acknowledged, const std::string& data);
  void SendBytes(std::string_view bytes) const;

  Loop& loop_;
  Record& record_;
  const Layout layout_;
  /** Counts a flow that opens while the backend is cold. */
  void CountOpened();

  const int index_;
  const std::string ip_;
  int socket_ = -1;
  std::map<FlowKey, Flow> flows_;
  std::mt19937 random_;
  int runs_ = 0;
  std::atomic<bool> running_{true};
  std::atomic<int> incarnation_{0};
  std::atomic<int64_t> cold_until_ms_{0};
  std::deque<Clock::time_point> opened_while_cold_;
  int most_opened_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_TARGET_H_
