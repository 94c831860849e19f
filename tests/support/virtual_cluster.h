#ifndef SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_CLUSTER_H_
#define SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_CLUSTER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/agent.h"
#include "balancer/balancer.h"
#include "core/random.h"
#include "virtual_caller.h"

namespace sesamesaddle {

/** How a fake target handles requests. */
enum class TargetMode { kOk, kDown, kSilent, kTruncated, kShed, kFail };

struct FakeTarget {
  TargetMode mode = TargetMode::kOk;
  Duration work = std::chrono::milliseconds(20);
  std::map<std::string, int> runs;  // Number of runs by order id.
  int64_t completed = 0;
  int in_flight = 0;
  int most_in_flight = 0;
  std::vector<TimePoint> starts;
};

struct ClusterOptions {
  uint64_t seed = 1;
  uint64_t loss_percent = 0;
  uint64_t duplicate_percent = 0;
  Duration shortest_delay = std::chrono::microseconds(300);
  Duration longest_delay = std::chrono::microseconds(1500);
  /** Availability zones; agents and balancers are spread over them in turn. */
  std::vector<std::string> zones = {"zone"};
  BalancerOptions balancer;
  AgentOptions agent;
};

/**
 * Simulates a cluster: real Balancer and Agent objects on a virtual clock and
 * an in-memory network that loses, reorders and duplicates datagrams, with fake
 * targets and callers.
 */
class VirtualCluster {
 public:
  explicit VirtualCluster(const ClusterOptions& options);
  ~VirtualCluster();

  size_t AddBalancer();
  /** Adds an agent; `name` also names its target. @return its index. */
  size_t AddAgent(const std::string& name, size_t slots);
  VirtualCaller& AddCaller(const Endpoint& service);

  /** Gives one balancer the next revision; gossip spreads it further. */
  void Configure(const schema::Change& change);
  /** Creates a service served by targets whose name matches `pattern`. */
  void AddService(const std::string& name, const Endpoint& address,
                  const std::string& pattern,
                  schema::Priority::type priority = schema::Priority::kNormal,
                  int deadline_ms = 10000);
  void SetMode(const std::string& instance, schema::InstanceMode::type mode);
  void SetZoneMode(const std::string& zone, bool evacuated);

  // Failures.
  void KillAgent(size_t i);
  void KillBalancer(size_t i);
  void PauseAgent(size_t i, bool paused);
  void PauseBalancer(size_t i, bool paused);
  /** Begins a graceful stop; the agent leaves the cluster when it is done. */
  void StopAgent(size_t i);
  void StopBalancer(size_t i);
  /** Drops datagrams to or from a balancer on its link to the fabric. */
  void CutFabric(size_t balancer, bool to, bool from);

  void RunFor(Duration duration);
  /** Runs until no caller has an open request, at most `limit`. */
  void RunUntilIdle(Duration limit);

  TimePoint now() const { return now_; }
  Agent& agent(size_t i) { return *nodes_[agents_[i]]->agent; }
  Balancer& balancer(size_t i) { return *nodes_[balancers_[i]]->balancer; }
  FakeTarget& target(size_t i) { return nodes_[agents_[i]]->target; }
  bool running_agent(size_t i) const { return nodes_[agents_[i]]->running; }
  const std::string& zone_of_agent(size_t i) const {
    return nodes_[agents_[i]]->zone;
  }
  size_t agent_count() const { return agents_.size(); }
  size_t balancer_count() const { return balancers_.size(); }
  std::vector<std::unique_ptr<VirtualCaller>>& callers() { return callers_; }
  SeededRandom& random() { return random_; }
  ClusterOptions& options() { return options_; }

  /** Returns the runs of each order on all targets, killed ones included. */
  std::map<std::string, int> Runs() const;
  /** Returns the running agents that own `flow` and aren't handing it over. */
  std::vector<size_t> OwnersOf(const Flow& flow) const;
  /** Returns the current version of every feed. */
  int64_t FeedVersion() const;

 private:
  struct Node {
    std::string name;
    std::string zone;
    Endpoint endpoint;
    std::unique_ptr<Agent> agent;
    std::unique_ptr<Balancer> balancer;
    FakeTarget target;
    bool running = true;
    bool paused = false;
    bool stopping = false;
    TimePoint stop_began;
    bool cut_to = false;    // Fabric to balancer.
    bool cut_from = false;  // Balancer to fabric.
    TimePoint next_tick;
    std::deque<std::function<void()>> deferred;  // Received while paused.
    std::map<CallId, bool> calls;                // Open calls to the target.
  };

  schema::MemberRecord MakeRecord(const Node& node, schema::Role::type role,
                                  size_t slots);
  /** Adds a process; `rank` is its number among those of its role. */
  size_t AddNode(const std::string& name, size_t rank);
  void PauseNode(size_t index, bool paused);
  void AddSeedsTo(ControlPlane& control);
  ControlPlane& ControlOf(Node& node);
  void After(Duration delay, std::function<void()> event);
  Duration RandomDelay();
  /** Calls `deliver` once, twice or never, after random delays. */
  void Transmit(const std::function<void()>& deliver);
  void DeliverTo(size_t node, std::function<void()> deliver);
  void ExecuteActions(size_t node, Outbox& out);
  void SendPeerMessage(size_t from, const SendToPeer& send);
  void SendToCallerFlow(size_t node, const SendToCaller& send);
  void SendFromCaller(const Flow& flow, const std::string& datagram);
  void StartTargetCall(size_t node, const StartCall& start);
  void FinishCall(size_t node, CallId id, TargetResponse response);
  void PollFeed(size_t node, const StartCall& start);
  void Tick(size_t node);
  void AdvanceStop(size_t node);

  ClusterOptions options_;
  SeededRandom random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<size_t> agents_;
  std::vector<size_t> balancers_;
  std::map<Endpoint, size_t> by_endpoint_;
  std::vector<std::unique_ptr<VirtualCaller>> callers_;
  std::map<Flow, VirtualCaller*> by_flow_;
  std::multimap<TimePoint, std::function<void()>> events_;
  int64_t revision_ = 0;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  TimePoint next_caller_tick_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_VIRTUAL_CLUSTER_H_
