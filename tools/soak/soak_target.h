#ifndef SESAMESADDLE_TOOLS_SOAK_SOAK_TARGET_H_
#define SESAMESADDLE_TOOLS_SOAK_SOAK_TARGET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/http_client.h"
#include "net/packet_socket.h"
#include "steering/packet.h"

namespace sesamesaddle {

class PacketWorld;

/**
 * A target: holds flows, works in slots with a short queue, is slow for a while
 * after its start, announces itself, drains.
 */
class SoakTarget {
 public:
  SoakTarget(PacketWorld& world, int index, std::string service);
  void Announce();
  /** Loses all flows and starts anew. */
  void Crash();
  /** Says that it leaves, leaves after a while, and another takes its place. */
  void Drain();
  bool draining() const { return draining_; }
  const std::string& service() const { return service_; }

 private:
  struct Held {
    uint32_t sequence = 0;
    uint32_t client_sequence = 0;
    bool open = false;
    /** The request answered last. */
    std::string answered;
  };
  struct Waiting {
    Flow flow;
    std::string id;
  };

  void Call(const std::string& path, const std::string& body,
            std::function<void()> acknowledged);
  std::string Id() const;
  void OnPacket(char* bytes, size_t size);
  void OnSyn(const Flow& flow, const PacketHeader& head);
  void OnRequest(const Flow& flow, Held& entry, const PacketHeader& head,
                 const std::string& id);
  void Serve();
  void Answer(const Flow& flow, const std::string& text);
  void Send(const std::string& packet);

  PacketWorld& world_;
  int index_;
  std::string service_;
  std::unique_ptr<PacketSocket> socket_;
  HttpClient agent_;
  std::unique_ptr<HttpCall> call_;
  std::map<Flow, Held> flows_;
  std::deque<Waiting> queue_;
  int working_ = 0;
  int64_t sequence_ = 0;
  int64_t born_ms_ = 0;
  int incarnation_ = 0;
  TimePoint started_{};
  bool draining_ = false;
  /** When the agent had acknowledged the drain. */
  TimePoint drain_acknowledged_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_SOAK_SOAK_TARGET_H_
