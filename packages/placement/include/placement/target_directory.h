#ifndef SESAMESADDLE_PLACEMENT_TARGET_DIRECTORY_H_
#define SESAMESADDLE_PLACEMENT_TARGET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/store_revision.h"
#include "core/time.h"
#include "evidence/agent_contact.h"
#include "evidence/attentive_clock.h"
#include "evidence/reset_evidence.h"
#include "flow_model/agent_hop.h"
#include "placement/zone_evacuations.h"
#include "steering_types.h"

namespace sesamesaddle {

/** A balancer's view of one target and its agent. */
struct AgentView {
  schema::TargetRecord record;
  Endpoint agent;
  /** The service of the record, and the check that its agent reads. */
  AddressedService service;
  /** Store revision at which the record was written. */
  StoreRevision revision;
  /** Whether the store lists the record now. */
  bool listed = true;
  TimePoint unlisted_since{};
  TimePoint listed_since{};
  /** Time at which the record's `slow_start_ms` was learned. */
  TimePoint slow_start_since{};
  /**
   * New flows that the target accepts within a second, as last reported;
   * nothing if its agent does not limit it.
   */
  std::optional<int> slow_start_room;
  /**
   * No notice has told the agent yet whether its service has a limit, as last
   * reported.
   */
  bool lacks_limit = false;
  /** Version of the configuration whose limit this balancer last sent. */
  int64_t limit_sent = 0;
  /** Notices of the limit since it or the record's slow start changed. */
  int limit_notices = 0;
  TimePoint last_limit_notice{};
  /** Time at which its zone was restored after an evacuation, if ever. */
  TimePoint zone_restored{};

  int in_flight = 0;
  int opening = 0;
  int flows = 0;
  Duration response_time{};
  /** Flows that this balancer placed since the last report. */
  int placed_since_report = 0;
  /** SYNs queued at the agent. */
  int queued = 0;
  TimePoint last_report{};
  bool reported = false;
  /** The agent is stopping for a restart, by its last report or entry. */
  bool restarting = false;
  /** Time of that report or entry. */
  TimePoint restarting_since{};
  /** The target has not announced itself since its agent started. */
  bool target_unknown = false;
  /** The target fails requests, as detected by its agent. */
  bool failing = false;
  /** A failing target may get one flow as a trial after this time. */
  TimePoint next_trial{};
  /**
   * No flows are placed here until this time, after a refusal or a report that
   * the target is silent.
   */
  TimePoint backoff_until{};
  /** Requests for reports, and whether they were answered. */
  AgentContact contact;
  /** Time when a packet of any flow was last forwarded. */
  TimePoint last_packet{};
};

/** Returns the requests per slot: those reported and those placed since. */
double WorkPerSlot(TimePoint now, const AgentView& view);

/** Whether the target is in slow start, by its record or its agent's report. */
bool InSlowStart(TimePoint now, const AgentView& view);
/**
 * Whether a target in slow start accepts one more flow, by the last report and
 * the flows placed since; true for any other target.
 */
bool HasSlowStartRoom(TimePoint now, const AgentView& view);

/** A target that was dropped from the directory. */
struct DroppedTarget {
  Endpoint agent;
  TargetEnd end = TargetEnd::kReported;
  /** Time since the store stopped listing it. */
  Duration unlisted{};

  friend bool operator==(const DroppedTarget& a, const DroppedTarget& b) {
    return a.agent == b.agent && a.end == b.end && a.unlisted == b.unlisted;
  }
};

/** The targets known to a balancer, from the store and from reports. */
class TargetDirectory {
 public:
  /**
   * Time after which an entry that the store no longer lists is dropped; a
   * lease may be lost while its holder is alive (a property of the platform).
   */
  static constexpr Duration kUnlistedGracePeriod =
      std::chrono::milliseconds(2500);
  static constexpr Duration kReplyTimeout = AgentContact::kReplyTimeout;
  static constexpr Duration kSilenceTimeout = AgentContact::kSilenceTimeout;
  static constexpr Duration kSilentAgentRetryDelay = AgentContact::kRetryDelay;
  static constexpr Duration kDefaultStopGrace = std::chrono::seconds(6);
  /** Time between queries to an unlisted agent that answers. */
  static constexpr Duration kUnlistedQueryPeriod =
      std::chrono::milliseconds(1000);
  /** Time between trial flows to a failing target. */
  static constexpr Duration kTrialPeriod = std::chrono::milliseconds(1000);
  /** New flows are placed at a restarting agent again after this time. */
  static constexpr Duration kRestartTimeout = std::chrono::milliseconds(3000);
  /**
   * Time from the end of an agent's process to the first report or entry of the
   * next one: the platform's delay, the start and the target's announcement.
   */
  static constexpr Duration kMaxRestartDelay = std::chrono::milliseconds(3000);
  /** A target that is reported silent is tried again after this time. */
  static constexpr Duration kSilentTargetBackoff =
      std::chrono::milliseconds(300);

  /**
   * @param zones       must outlive the directory
   * @param stop_grace  longest time that a stopping process runs on
   */
  explicit TargetDirectory(const ZoneEvacuations& zones,
                           Duration stop_grace = kDefaultStopGrace)
      : zones_(zones), longest_restart_(stop_grace + kMaxRestartDelay) {}

  /**
   * Called when every report that arrived before `as_of` has been handled.
   * Agents are judged silent only by time that passed in this way.
   */
  void OnAllRead(TimePoint as_of) { attention_.OnAllRead(as_of); }
  /** Returns the time up to which everything that arrived has been handled. */
  TimePoint all_read_as_of() const { return attention_.as_of(); }

  /** Adds or updates a record of the store; older revisions are ignored. */
  void Put(TimePoint now, const std::string& key,
           const schema::TargetRecord& record, StoreRevision revision);
  /**
   * Marks the record as no longer listed by the store.
   * @return its agent, or nothing if it was not listed at that revision
   */
  std::optional<Endpoint> Remove(TimePoint now, const std::string& key,
                                 StoreRevision revision);

  /** Returns the view of that agent, or null. */
  AgentView* Find(const Endpoint& agent);
  /** Returns the agents of a service; valid until the next change. */
  const std::vector<AgentView*>& OfService(const std::string& service);
  std::vector<AgentView*> All();
  std::vector<const AgentView*> All() const;
  /**
   * Returns the next agent by address, cyclically, or null if there are none.
   */
  AgentView* NextAfter(const Endpoint& agent);
  size_t size() const { return agents_.size(); }

  /** Applies an agent's report, also if its entry is unlisted or older. */
  void OnReport(TimePoint now, const schema::AgentReport& report);
  /** Records a packet that an agent returned, a sign that it runs. */
  void OnPacket(AgentView& view);
  /**
   * Records that the agent was sent a packet or query that it answers by a
   * report.
   */
  void RecordReportRequest(TimePoint now, AgentView& view);
  /** Whether the agent was not asked for a report within kReplyTimeout. */
  bool RequestDue(const AgentView& view) const {
    return view.contact.RequestDue(attention_.elapsed());
  }
  /**
   * Returns the agents that owe a report and whose instances are to be probed
   * by a connection attempt now.
   */
  std::vector<Endpoint> DueInstanceProbes(TimePoint now);
  /** Records that a connection attempt to the agent's instance was made. */
  void OnInstanceProbe(const Endpoint& agent);
  /** Records the result of a connection attempt to the agent's instance. */
  void OnInstanceAnswer(const Endpoint& agent, InstanceAnswer answer);
  /**
   * Returns the agents that the store does not list, that may run and that are
   * to be asked for a report now: while they owe one each kReplyTimeout, else
   * once per kUnlistedQueryPeriod.
   */
  std::vector<AgentView*> UnlistedToAsk(TimePoint now);
  /** Returns the agents that the store does not list and that may live. */
  std::vector<Endpoint> UnlistedAgents() const;
  /** Whether the store has stopped listing any agent that may run. */
  bool has_unlisted() const { return !unlisted_.empty(); }

  /**
   * Whether requests to the agent have stayed unanswered for kSilenceTimeout
   * while another agent sent a report. Without any report this process itself
   * may be disconnected.
   */
  bool Silent(TimePoint now, const AgentView& view) const;
  /**
   * Whether the agent is silent and has missed enough replies, and its instance
   * does not answer either, so that the flows that it holds may be reset.
   */
  bool Unreachable(TimePoint now, const AgentView& view) const;
  /**
   * Whether the agent has announced a restart, and the longest time that it can
   * take is not over. Its target runs on, unless the agent never got to know
   * it: the instance may be about to be removed.
   */
  bool Restarting(TimePoint now, const AgentView& view) const;
  /**
   * Returns why the target holds no flows any more, or nothing if it may hold
   * some: the store does not list it, and its agent reported its end, or
   * neither the agent nor its instance answers, or the instance has run without
   * an agent for longer than a restart takes. An agent whose lease was lost
   * while it runs answers.
   * @param store_answers  the store answers this process, which is therefore
   *        not cut off itself even if no agent answers
   */
  std::optional<TargetEnd> EndOf(TimePoint now, const AgentView& view,
                                 bool store_answers = false) const;
  bool Ended(TimePoint now, const AgentView& view) const {
    return EndOf(now, view).has_value();
  }
  /** Whether new flows may be placed on the target. */
  bool Usable(TimePoint now, const AgentView& view) const;

  /** Whether the target is in an evacuated zone. */
  bool InEvacuatedZone(const AgentView& view) const {
    return zones_.Evacuated(view.record.zone);
  }
  /** Applies the time at which the zone was restored to its targets. */
  void OnZoneRestored(const std::string& zone);

  /**
   * Drops targets that have ended and have been unlisted for
   * kUnlistedGracePeriod. A missing entry alone drops nothing, as the store may
   * have lost it.
   * @param store_current  whether the store's entries are current; if not, a
   *                       missing entry may only be unknown here
   */
  std::vector<DroppedTarget> Expire(TimePoint now, bool store_current);

 private:
  void RebuildServiceIndex();
  void RecordAnswerDelay(Duration delay);
  /** Returns when the zone was restored; zero if it is evacuated or never was.
   */
  TimePoint RestoredAt(const std::string& zone) const;

  /**
   * Applies whether the agent that wrote the view's record is stopping.
   * @param target_ended  the end of that target was reported before
   */
  static void ApplyStop(TimePoint now, AgentView& view, bool target_ended);

  const ZoneEvacuations& zones_;
  Duration longest_restart_;
  std::map<Endpoint, AgentView> agents_;
  AttentiveClock attention_;
  /** Reading of the clock at the latest report of any agent. */
  Duration last_report_from_any_{};
  /** Moving average of the time from a request to the agent's next report. */
  Duration answer_delay_{};
  /** Agents that owe a report. */
  std::set<Endpoint> awaited_;
  /** Agents that the store has stopped listing. */
  std::set<Endpoint> unlisted_;
  std::map<std::string, Endpoint> by_key_;
  std::map<std::string, std::vector<AgentView*>> by_service_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_PLACEMENT_TARGET_DIRECTORY_H_
