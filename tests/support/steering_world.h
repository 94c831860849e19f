#ifndef SESAMESADDLE_TESTS_SUPPORT_STEERING_WORLD_H_
#define SESAMESADDLE_TESTS_SUPPORT_STEERING_WORLD_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "silent_log.h"
#include "steering/flow_agent.h"
#include "steering/flow_balancer.h"
#include "test_packet_codec.h"
#include "virtual_scheduler.h"

namespace sesamesaddle {

class SteeringWorld;

/** A target that holds flows, works in slots and returns what it lacks. */
class VirtualTarget {
 public:
  VirtualTarget(SteeringWorld& world, size_t index)
      : world_(world), index_(index) {}

  void OnPacket(std::string packet);
  void Crash();
  void Start();

  int slots = 2;
  size_t queue_limit = 12;
  Duration work = std::chrono::milliseconds(20);
  bool alive = true;
  /** Each start is another incarnation. */
  int starts = 1;
  int shed = 0;
  /** Answers errors at once, and announces itself as before. */
  bool failing = false;
  int errors = 0;
  std::set<std::string> ran;
  std::set<std::string> done;
  int accepted_flows = 0;

 private:
  struct Held {
    uint32_t sequence = 0;
    bool open = false;
    uint32_t client_sequence = 0;
  };
  struct Request {
    Flow flow;
    std::string id;
    uint32_t acknowledged = 0;
  };

  void Serve();
  void Answer(const Request& request, const std::string& result);
  void Return(std::string packet);

  SteeringWorld& world_;
  size_t index_;
  std::map<Flow, Held> flows_;
  std::deque<Request> queue_;
  int working_ = 0;
};

/** What a client got for one request. */
struct ClientResult {
  bool answered = false;
  Duration took{};
  int tries = 0;
  int resets = 0;
};

/** A client that keeps a flow open, or opens one for each request. */
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
  /** Closes the open flow, if there is one. */
  void Close();
  /** A copy of the open flow's SYN arrives late. */
  void RepeatSyn();

 private:
  void Try();
  void SendSyn(int64_t attempt, uint32_t copy);
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
};

/**
 * Balancers, agents, targets and clients on a virtual clock, with the delays of
 * the users' network. Directory entries reach balancers as the test says.
 */
class SteeringWorld {
 public:
  SteeringWorld(size_t balancers, size_t targets, uint64_t seed,
                PlacementKind placement = PlacementKind::kLeastWait);

  /** Runs and ticks everything. */
  void RunFor(Duration duration) { scheduler.RunFor(duration); }

  void KillBalancer(size_t i);
  void StartBalancer(size_t i);
  void KillAgent(size_t i);
  void StartAgent(size_t i);
  /** The target's announcement at its agent, and the entry at balancers. */
  void Announce(size_t i, bool draining = false);
  /** The same as the first announcement of a target that has just started. */
  void AnnounceStart(size_t i);
  void RemoveEntry(size_t i);
  /** The target starts anew, of another service. */
  void SetService(size_t i, const std::string& service);
  /** The store lists the target; balancers see it as their watches tell. */
  void List(size_t i, bool draining = false);
  VirtualFlowClient& AddClient(bool keeps_flow);

  void FromClient(std::string packet);
  void FromTarget(size_t i, std::string packet);
  void ToClient(std::string packet);

  static constexpr char kService[] = "orders";
  static Endpoint RouteAddress() { return Endpoint(0xc6120001, 443); }
  static Endpoint AgentAddress(size_t i) {
    return Endpoint(0x0a010000 + static_cast<uint32_t>(i), 8172);
  }
  static Endpoint BalancerAddress(size_t i) {
    return Endpoint(0x0a020000 + static_cast<uint32_t>(i), 7722);
  }

  VirtualScheduler scheduler;
  SeededRandom random;
  double loss = 0;
  /** Agents' reports are lost meanwhile. */
  bool lose_reports = false;
  /** Balancers whose watch has not told them of changes yet. */
  std::set<size_t> behind;
  /** Times at which a balancer read the directory anew. */
  int directory_reads = 0;
  RouteTable routes;
  std::vector<std::unique_ptr<VirtualTarget>> targets;
  std::vector<std::unique_ptr<VirtualFlowClient>> clients;
  /** Packets that reached a target that does not hold their flow. */
  int returned = 0;
  int resets = 0;
  /** Messages in which balancers asked agents for flows. */
  int queries = 0;
  /** Reports of agents, lost ones too. */
  int reports = 0;

  struct Balancer;
  struct Agent;
  FlowBalancer* balancer(size_t i);
  FlowAgent* agent(size_t i);
  TargetDirectory& directory(size_t i);

  ~SteeringWorld();

 private:
  friend struct Balancer;
  friend struct Agent;

  void Deliver(Duration delay, std::function<void()> action);
  void Tick();
  schema::TargetRecord Record(size_t i, bool draining) const;

  TestPacketCodec codec_;
  SilentLog log_;
  PlacementKind placement_;
  std::vector<std::unique_ptr<Balancer>> balancers_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<std::unique_ptr<Balancer>> stopped_balancers_;
  std::vector<std::unique_ptr<Agent>> stopped_agents_;
  int64_t revision_ = 1;
  std::string ServiceOf(size_t i) const;

  /** Services of targets other than kService. */
  std::map<size_t, std::string> services_;
  std::map<size_t, int64_t> sequences_;
  std::set<size_t> draining_;
  /** Revisions of the entries that the store lists. */
  std::map<size_t, int64_t> listed_;
};

/**
 * Every client that is not busy sends a request, `rounds` times; then all may
 * end.
 * @return how many were answered
 */
int RunRounds(SteeringWorld& world, int rounds, Duration period);

/** @return resets that clients got for their requests. */
int Resets(const SteeringWorld& world);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_STEERING_WORLD_H_
