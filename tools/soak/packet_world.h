#ifndef SESAMESADDLE_TOOLS_SOAK_PACKET_WORLD_H_
#define SESAMESADDLE_TOOLS_SOAK_PACKET_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/packet_socket.h"
#include "platform/packet_codec.h"

namespace sesamesaddle {

/** Sizes and addresses of a soak; every instance has its own loopback address.
 */
struct SoakOptions {
  int balancers = 3;
  int targets = 5;
  int clients = 40;
  int seconds = 20;
  /** Without faults from outside, at the end: everything must be answered. */
  int calm_seconds = 6;
  uint64_t seed = 1;
  uint16_t base_port = 25000;
  std::string store = "127.0.0.1:25100";
  /** Of a thousand packets of clients, and of those that reach them. */
  int lost_packets = 5;
  /** Targets crash, lose their flows and start anew. */
  bool crashes = true;
  /** Targets drain and are replaced. */
  bool drains = true;

  Endpoint Balancer(int i, int port) const { return Address(1, i, port); }
  Endpoint Target(int i, int port) const { return Address(2, i, port); }
  Endpoint Client(int i, int port) const { return Address(3, i, port); }

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

/** What callers and targets saw. */
struct SoakVerdict {
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t calm_requests = 0;
  int64_t calm_answered = 0;
  /** Asked in the calm time and given up. */
  int64_t calm_failed = 0;
  int64_t duplicate_runs = 0;
  int64_t wrong_service = 0;
  int64_t wrong_answers = 0;
  int64_t changed_packets = 0;
  int64_t resets = 0;
  /** Rejected by targets whose queues were full. */
  int64_t shed = 0;
  /** New flows delivered to a target long after its drain was acknowledged. */
  int64_t flows_after_drain = 0;
  int64_t crashes = 0;
  int64_t drains = 0;
};

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
  void OnSyn(const Flow& flow, const PacketHead& head);
  void OnRequest(const Flow& flow, Held& entry, const PacketHead& head,
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

/** A client that keeps one flow open, or opens one for each request. */
class SoakClient {
 public:
  SoakClient(PacketWorld& world, int index, Endpoint route, bool keeps_flow);
  void Start();

 private:
  void Request();
  void Try();
  void SendSyn(int64_t attempt);
  void SendRequest(int64_t attempt, Duration next);
  void Send(const PacketHead& head, const std::string& payload);
  void OnPacket(char* bytes, size_t size);
  void Finish(bool answered);
  /** Tries the request again on another flow, if there are tries left. */
  void Again();
  /** Ends the open flow. */
  void Close();

  PacketWorld& world_;
  int index_;
  Endpoint route_;
  bool keeps_flow_;
  std::unique_ptr<PacketSocket> socket_;
  bool busy_ = false;
  bool open_ = false;
  bool calm_ = false;
  uint16_t port_;
  int64_t attempt_ = 0;
  int64_t next_id_ = 0;
  int tries_ = 0;
  uint32_t sequence_ = 1;
  uint32_t server_sequence_ = 0;
  std::string id_;
};

/** Routers, targets and clients in one process, on loopback. */
class PacketWorld {
 public:
  PacketWorld(EventLoop& loop, SoakOptions options);

  /** Writes the configuration and plays. @return what was seen */
  SoakVerdict Run();

  void ToBalancer(const Flow& flow, std::string_view packet);
  /** A target runs a request. */
  void OnRun(const std::string& service, const std::string& id);
  bool calm() const;
  /** Whether the packet at hand is to be lost. */
  bool Lose();

  static std::string MakePacket(const PacketHead& head,
                                const std::string& payload);
  /** @return a check value over what the system must not change. */
  static uint32_t Checksum(std::string_view packet);

  EventLoop& loop;
  SoakOptions options;
  SeededRandom random;
  PlatformPacketCodec codec;
  SoakVerdict verdict;

 private:
  void WriteConfiguration();
  void ProbeReadiness(int balancer);
  /** Has a target crash or drain, now and then until the calm time. */
  void DisturbTargets();

  std::vector<std::unique_ptr<SoakTarget>> targets_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
  std::vector<std::unique_ptr<HttpClient>> readiness_;
  std::map<int, std::unique_ptr<HttpCall>> probes_;
  std::vector<int> misses_;
  std::vector<EventLoop::Timer> timers_;
  std::unique_ptr<HttpClient> store_;
  std::unique_ptr<HttpCall> store_call_;
  std::unique_ptr<PacketSocket> router_;
  std::map<std::string, int> runs_;
  TimePoint calm_from_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TOOLS_SOAK_PACKET_WORLD_H_
