#ifndef SESAMESADDLE_TESTS_SUPPORT_STEERING_WORLD_H_
#define SESAMESADDLE_TESTS_SUPPORT_STEERING_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "silent_log.h"
#include "steering/flow_agent.h"
#include "steering/flow_balancer.h"
#include "test_packet_codec.h"
#include "virtual_flow_client.h"
#include "virtual_process.h"
#include "virtual_scheduler.h"
#include "virtual_target.h"

namespace sesamesaddle {

/** A reset by the system of a flow that a living target held open. */
struct WrongReset {
  Flow flow;
  /** Target that holds the flow. */
  size_t target = 0;
  /** "balancer" or "agent", and its index. */
  std::string sender;
  /** The sender's log line, with the reason. */
  std::string log_line;
  TimePoint at{};
};

/** Packets of an open flow that went to other targets, and none to its own. */
struct MisdirectedFlow {
  Flow flow;
  /** Target that holds the flow. */
  size_t target = 0;
  int packets = 0;
  TimePoint since{};
};

/** Faults of the network between the machines of balancers and agents. */
struct LinkFaults {
  /** Share of messages that are lost. */
  double loss = 0;
  /** Share of messages that arrive twice. */
  double duplication = 0;
  /** Maximum additional delay; messages overtake each other. */
  Duration max_delay{};
};

/** What an attempt to connect to a TCP port of an agent's machine shows. */
enum class MachineState {
  kAccepts,   // The agent's process runs.
  kRefuses,   // The machine runs, but the agent's process does not.
  kNoAnswer,  // It has no power, or the network does not reach it.
};

/** The store's contents at one time, as a peer knows them. */
struct StoreCopy {
  TimePoint at{};
  /** Store revisions of the listed entries. */
  std::map<size_t, int64_t> listed;
  int64_t revision = 0;
  RouteTable routes;
};

/**
 * Simulates balancers, agents, targets and clients on a virtual clock, with the
 * delays of the users' network. Directory entries reach balancers when the test
 * says so.
 */
class SteeringWorld {
 public:
  SteeringWorld(size_t balancers, size_t targets, uint64_t seed,
                PlacementKind placement = PlacementKind::kLeastWait,
                const AdmissionOptions& admission = AdmissionOptions());

  /** Runs the simulation for a time. */
  void RunFor(Duration duration) { scheduler.RunFor(duration); }

  void KillBalancer(size_t i);
  void StartBalancer(size_t i);
  void KillAgent(size_t i);
  void StartAgent(size_t i);
  /** Begins a planned stop of the agent, which writes its entry. */
  void StopAgent(size_t i);
  /**
   * Delivers the target's announcement to its agent and its entry to the
   * balancers.
   */
  void Announce(size_t i, bool draining = false);
  /** Like Announce, as the first announcement after a start of the target. */
  void AnnounceStart(size_t i);
  void RemoveEntry(size_t i);
  /**
   * Lets another service use the address of a target that is gone: an agent of
   * that service starts there.
   */
  void UseForService(size_t i, const std::string& service);
  /** Restarts the target as one of another service. */
  void SetService(size_t i, const std::string& service);
  /**
   * Writes the target's entry to the store; balancers get it unless they are
   * stale.
   */
  void List(size_t i, bool draining = false);
  /** Moves the target and its agent, which restarts, to another zone. */
  void SetZone(size_t i, const std::string& zone);
  /**
   * Sets or removes an evacuation in the store; balancers get it within
   * max_watch_delay unless they are stale.
   */
  void Evacuate(const std::string& zone);
  void Restore(const std::string& zone);
  /** The store comes back from a copy: later revisions are of the next era. */
  void BeginEra() {
    ++era_;
    revision_ = 1;
  }
  /** Copies what one balancer knows of the zones to another one. */
  void CopyZones(size_t from, size_t to);
  VirtualFlowClient& AddClient(bool keeps_flow,
                               const Endpoint& route = RouteAddress());
  /** Sets the configuration of all balancers, also of later ones. */
  void Configure(RouteTable table);

  /** Gives a running balancer a configuration, which may be an older one. */
  void ConfigureBalancer(size_t i, const RouteTable& table);
  /**
   * Restarts the agent as planned, beside its target: it stops when no request
   * is in flight or after 1 s at most, stays away for `gap`, and gets its
   * target's next announcement after a further time.
   */
  void RestartAgent(size_t i, Duration gap, Duration announcement);
  /** Kills the agent beside its target and starts it again after `gap`. */
  void CrashAgent(size_t i, Duration gap, Duration announcement);
  /**
   * Restarts the balancer as planned: the routers stop using it before its
   * process ends, and use the new one.
   */
  void RestartBalancer(size_t i, Duration gap);
  /**
   * Takes the entry of a living agent out of the store. The agent writes it
   * again when it verifies its entry, after kVerifyPeriod, kSilentVerifyPeriod
   * or once told.
   */
  void TakeEntryAway(size_t i);
  /** Lets the agent verify its entry if no balancer sends it anything. */
  void VerifyAtSilence(size_t i);
  /** Tells the agent, if it runs, that the store lacks its entry. */
  void TellOfMissingEntry(size_t i);
  /**
   * Cuts the power of the target's machine; its entry lapses with its lease.
   */
  void PowerOff(size_t i);
  /** Returns the power to a machine, on which nothing runs yet. */
  void PowerOn(size_t i) { machines_[i].powered = true; }
  /**
   * Writes the entry of the target that the agent takes for the one that runs,
   * as its process does after an announcement that changes it.
   */
  void PublishTarget(size_t i);
  /**
   * Has another writer overwrite the entry under a living agent's key.
   * @param record  what balancers read; nothing if they can use none
   */
  void OverwriteEntry(size_t i,
                      const std::optional<schema::TargetRecord>& record);
  /** Returns the key of the entry of the target's agent. */
  static std::string KeyOf(size_t i) { return std::to_string(i); }
  /** Returns the entry of the target as its agent writes it. */
  schema::TargetRecord EntryOf(size_t i) const {
    return Record(i, draining_.count(i) != 0);
  }
  /** Whether the network reaches the agent's machine; it does at first. */
  void SetReachable(size_t i, bool reachable) {
    machines_[i].reachable = reachable;
  }
  MachineState StateOfMachine(size_t agent) const;
  size_t balancer_count() const { return balancers_.size(); }
  VirtualProcess& balancer_process(size_t i);
  VirtualProcess& agent_process(size_t i);
  std::string ServiceOf(size_t i) const;
  bool listed(size_t i) const { return listed_.count(i) != 0; }
  /** Returns the store's contents as they are now. */
  StoreCopy CopyStore() const {
    return {scheduler.Now(), listed_, revision_, NewestRoutes()};
  }
  /** Lets a balancer read all contents of the store. */
  void Synchronize(size_t i);

  void FromClient(std::string packet);
  void FromTarget(size_t i, std::string packet);
  void ToClient(std::string packet);
  /** Returns the client of that address, or null. */
  VirtualFlowClient* FindClient(const Endpoint& caller) const;
  /** Returns when the flow's client sent its first SYN; zero if unknown. */
  TimePoint FirstSynOf(const Flow& flow) const;
  /** Called when a target takes or returns a packet of a flow. */
  void OnPacketAtTarget(size_t target, const Flow& flow, bool held);

  /** Time to live of an entry whose lease is not renewed. */
  static constexpr Duration kEntryLease = std::chrono::seconds(6);
  /** Period in which an agent verifies its entry unasked. */
  static constexpr Duration kVerifyPeriod = std::chrono::seconds(30);
  /** Period while no balancer sends its agent anything. */
  static constexpr Duration kSilentVerifyPeriod = std::chrono::seconds(4);
  /** Packets and time that make a flow misdirected. */
  static constexpr int kMisdirectedPackets = 3;
  static constexpr Duration kMisdirectedTime = std::chrono::seconds(2);

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
  /** Of balancers that start from now on. */
  SplitMode split = SplitMode::kStrict;
  /**
   * Time for which a target works on a request; VirtualTarget::work if not set.
   */
  std::function<Duration(size_t target, const std::string& request)>
      service_time;
  /** Of balancers and agents that start from now on. */
  AdmissionOptions admission;
  /** Maximum delay of an entry on its way to a balancer. */
  Duration max_list_delay{};
  /** Whether agents learn that the port of a target that ended is closed. */
  bool closed_ports_show = false;
  /** Whether a target announces itself once its agent has restarted. */
  bool announces_to_restarted_agents = true;
  /** Called when a target begins to work on a request of the flow. */
  std::function<void(size_t target, const Flow& flow)> on_request_run;
  /** While set, all agents' reports are lost. */
  bool lose_reports = false;
  /** Ends of the targets' slow starts, as they announce them. */
  std::map<size_t, TimePoint> cold_until;
  /** Called when the agent of a target is notified that its entry is missing.
   */
  std::function<void(size_t target)> on_entry_missing;
  /** While set, all notices are lost. */
  bool lose_notices = false;
  /** Maximum delay of a change of a zone on its way to a balancer. */
  Duration max_watch_delay{};
  /** While set, all balancers' queries are lost. */
  bool lose_queries = false;
  /** Additional delay of reports, as on a full link. */
  Duration report_delay{};
  /** Agents of a version that ignores queries for digests. */
  std::set<size_t> agents_without_digests;
  /**
   * Agents of the version without the wide check: their entries and reports do
   * not name it, and packets with it are malformed for them.
   */
  std::set<size_t> agents_without_wide_check;
  /**
   * Balancers of the version without the wide check, which ignore its fields in
   * entries and reports.
   */
  std::set<size_t> balancers_without_wide_check;
  /** While set, the bytes of queries and reports are counted. */
  bool count_bytes = false;
  /**
   * Balancers whose watch of the store does not deliver changes, and that read
   * no evacuations from it at their start.
   */
  std::set<size_t> stale_balancers;
  /** Balancers that the routers do not use. */
  std::set<size_t> out_of_rotation;
  /** If set, stale balancers read the store from this copy of a peer. */
  std::optional<StoreCopy> peer_copy;
  /** Configurations that balancers start with, if not the newest. */
  std::map<size_t, RouteTable> routes_at_start;
  LinkFaults links;
  /** Datagrams that a process reads from each socket in one poll. */
  size_t datagrams_per_poll = VirtualProcess::kMaxDatagramsPerPoll;
  /** Number of times a balancer read the directory from the store. */
  int directory_reads = 0;
  RouteTable routes;
  std::vector<std::unique_ptr<VirtualTarget>> targets;
  std::vector<std::unique_ptr<VirtualFlowClient>> clients;
  /** Packets that reached a target that does not hold their flow. */
  int returned = 0;
  /** Packets to agents whose version does not read them. */
  int unreadable_packets = 0;
  int resets = 0;
  /**
   * Resets of flows that a living target and its client held open; the test
   * decides whether its faults excuse them.
   */
  std::vector<WrongReset> wrong_resets;
  /** Flows of living targets that were misdirected. */
  std::vector<MisdirectedFlow> misdirected;
  /** Flow queries from balancers to agents. */
  int queries = 0;
  /** Notices of the operators' settings from balancers to agents. */
  int notices = 0;
  /** Reports that contain the state of a zone. */
  int reports_with_zone = 0;
  /** Reports from agents, including lost ones. */
  int reports = 0;
  /** Payloads of these messages while they are counted. */
  size_t query_bytes = 0;
  size_t report_bytes = 0;

  struct Balancer;
  struct Agent;
  FlowBalancer* balancer(size_t i);
  FlowAgent* agent(size_t i);
  TargetDirectory& directory(size_t i);
  ZoneEvacuations& zones(size_t i);

  ~SteeringWorld();

 private:
  friend struct Balancer;
  friend struct Agent;

  /** The latest configuration that a single balancer got. */
  RouteTable newest_routes_;

  /** Entries that another writer has overwritten, as balancers read them. */
  std::map<size_t, schema::TargetRecord> overwritten_entries_;
  /** Keys of agents under which an entry stands that no balancer can use. */
  std::set<size_t> unusable_entries_;
  /** What agents have published, if PublishTarget was called for them. */
  std::map<size_t, TargetAnnouncement> published_;

  /** Targets whose entry the store lost while its lease lived. */
  std::set<size_t> taken_away_;

  struct Machine {
    bool powered = true;
    bool reachable = true;
  };
  /** Packets of a flow that reached other targets since its own got one. */
  struct Detour {
    int packets = 0;
    TimePoint since{};
    bool recorded = false;
  };

  /** Handles a notice to an agent that the store lacks its entry. */
  void OnEntryMissing(size_t i) {
    if (on_entry_missing) on_entry_missing(i);
    if (taken_away_.count(i) != 0) TellOfMissingEntry(i);
  }
  void Deliver(Duration delay, std::function<void()> action);
  void DeliverEntry(size_t i, Balancer& balancer,
                    const schema::TargetRecord& record);
  /** Delivers a message between a balancer and the agent's machine. */
  void Transmit(size_t agent, Duration delay,
                const std::function<void()>& action);
  bool FaultOccurs(double share);
  bool Connected(size_t agent) const {
    return machines_[agent].powered && machines_[agent].reachable;
  }
  const RouteTable& RoutesAtStart(size_t balancer) const;
  /** Returns the configuration in the store. */
  const RouteTable& NewestRoutes() const {
    return newest_routes_.version > routes.version ? newest_routes_ : routes;
  }
  /** Ends a stopping agent as soon as it may, then starts the next one. */
  void AdvanceAgentStop(size_t i, const Agent* stopping, TimePoint began,
                        Duration gap, Duration announcement);
  /** Returns the store's revision of the target's entry, if it is listed. */
  std::optional<int64_t> EntryRevision(size_t i) const {
    const auto it = listed_.find(i);
    return it == listed_.end() ? std::nullopt : std::make_optional(it->second);
  }
  /** @param record  left by the agent's process that ended as planned */
  void StartAgentBesideTarget(
      size_t i, Duration announcement,
      const std::optional<schema::FlowRecord>& record = std::nullopt);
  /** Returns the simulated time as Unix time in milliseconds. */
  int64_t WallClockMs() const {
    return scheduler.Now().time_since_epoch() / std::chrono::milliseconds(1);
  }
  void Tick();
  /** Counts a reset, and records it if its flow is open at both ends. */
  void OnReset(std::string_view packet, const std::string& sender);
  /** Tells the running balancers which ones the store lists. */
  void ListBalancers();
  void SendZone(const std::string& zone, bool evacuated);
  /** Applies the evacuations in the store, as after a complete read. */
  void ReadZones(FlowBalancer& balancer);
  schema::TargetRecord Record(size_t i, bool draining) const;
  /** Returns the target's entry as that balancer reads it. */
  schema::TargetRecord RecordFor(size_t balancer, size_t i,
                                 bool draining) const;

  TestPacketCodec codec_;
  LastLineLog log_{EventKind::kFlowReset};
  PlacementKind placement_;
  std::vector<std::unique_ptr<Balancer>> balancers_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<std::unique_ptr<Balancer>> stopped_balancers_;
  std::vector<std::unique_ptr<Agent>> stopped_agents_;
  int64_t revision_ = 1;
  int64_t era_ = 0;
  std::string ZoneOf(size_t i) const;

  /** Services of targets that differ from kService. */
  std::map<size_t, std::string> services_;
  /** Zones of targets that differ from "zone". */
  std::map<size_t, std::string> zones_;
  /** Evacuations in the store. */
  std::map<std::string, StoreRevision> evacuations_;
  /** Balancers that the store lists; a killed one stays for a while. */
  std::set<size_t> listed_balancers_;
  std::map<size_t, int64_t> sequences_;
  std::set<size_t> draining_;
  /** Remaining slow start in the listed entries, in milliseconds. */
  std::map<size_t, int> listed_slow_start_ms_;
  int SlowStartMs(size_t i) const;
  std::set<size_t> stopping_agents_;
  /** Targets whose listed entries say that their agents are stopping. */
  std::set<size_t> listed_stopping_;
  /** Store revisions of the listed entries. */
  std::map<size_t, int64_t> listed_;
  SeededRandom fault_random_;
  std::vector<Machine> machines_;
  std::map<Flow, Detour> detours_;
};

/**
 * Lets each idle client send a request, `rounds` times, then waits for them to
 * finish.
 * @return the number of answered requests
 */
int RunRounds(SteeringWorld& world, int rounds, Duration period);

/** Returns the number of resets that clients got during requests. */
int Resets(const SteeringWorld& world);

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_STEERING_WORLD_H_
