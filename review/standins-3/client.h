#ifndef REVIEW_STANDINS_3_CLIENT_H_
#define REVIEW_STANDINS_3_CLIENT_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>

#include "layout.h"
#include "loop.h"
#include "packet.h"
#include "record.h"

namespace review {

/** Sends a client's packet to the balancer that the routers choose. */
using Route = std::function<void(int fd, const FlowKey&, std::string_view)>;
/** Called for a reset of a flow that the client has open. */
using OnReset = std::function<void(const FlowKey&, const Packet&)>;

/** Whether a client keeps its flow or opens one for each request. */
enum class Habit { kKeepsFlow, kFlowEach };

/** A client that pauses after each answer. */
class Client {
 public:
  Client(Loop& loop, Record& record, const Layout& layout, int index,
         Habit habit, Millis pause, Route route, OnReset on_reset);

  void Start();
  bool open() const { return open_; }
  FlowKey key() const;
  int sent() const { return sent_; }
  int answered() const { return answered_; }

 private:
  void OpenFlow();
  /** Waits for the next request after an answer. */
  void AfterAnswer();
  void SendSyn(int64_t attempt, uint32_t copy);
  void StartRequest();
  void SendRequest(int64_t attempt, uint32_t sequence, Millis next);
  void OnPacket(std::string_view bytes);
  void Send(uint8_t flags, uint32_t sequence, uint32_t acknowledged,
            const std::string& data);

  Loop& loop_;
  Record& record_;
  const int index_;
  const Habit habit_;
  const Millis pause_;
  const std::string ip_;
  int socket_ = -1;
  Route route_;
  OnReset on_reset_;
  std::mt19937 random_;
  int64_t attempt_ = 0;
  uint16_t port_ = 0;
  bool open_ = false;
  uint32_t next_ = 0;
  uint32_t acknowledged_ = 0;
  std::string request_;
  int sent_ = 0;
  int answered_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_CLIENT_H_
