#ifndef SESAMESADDLE_STEERING_DAEMON_STARTUP_READINESS_H_
#define SESAMESADDLE_STEERING_DAEMON_STARTUP_READINESS_H_

#include <map>
#include <optional>
#include <string>

#include "core/event_log.h"
#include "core/time.h"
#include "steering_daemon/steering_settings.h"

namespace sesamesaddle {

/** What a balancer's entry in the directory states about its instance. */
struct ListedBalancer {
  std::string zone;
  InstanceCapacity capacity;
};

/** Whether an entry shows that the process that wrote it runs now. */
enum class EntryAge {
  /** From the first read of the directory or of a later era of the store. */
  kMayBeEarlier,
  /** Written after that read. */
  kWrittenSince,
};

/**
 * Decides when a balancer that has just started may report itself ready. After
 * a power loss all balancers start within a second, and the routers send the
 * traffic of all zones to the first ones that are ready. A balancer on a small
 * instance (less than half of the largest listed capacity) therefore waits
 * until balancers with half of its zone's capacity run, at most kMaxWait.
 *
 * The capacity of a balancer is the smaller of two ratios: its cores and its
 * bandwidth, each to the largest listed value. Unknown capacity counts nowhere;
 * a value of 0 is unknown.
 */
class StartupReadiness {
 public:
  /** Longest wait, counted from the start of the process. */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(1000);
  /** Balancers below this share of the largest listed capacity wait. */
  static constexpr double kSmallShare = 0.5;
  /** Share of the zone's capacity that must run before the wait ends. */
  static constexpr double kRunningShare = 0.5;

  StartupReadiness(EventLog& log, ListedBalancer own);

  /** Starts the clock of the longest wait. */
  void Start(TimePoint now) { started_ = now; }
  /**
   * Records that the first read contains an entry under this balancer's name:
   * its earlier process ended without withdrawing it, as in a power loss, and
   * the other entries may be just as old. Without this call, the balancer was
   * stopped as planned, is new, or was down for longer than a lease; listed
   * balancers then run.
   */
  void OnEarlierEntry() { earlier_entry_ = true; }
  /** Records an entry of another balancer. */
  void OnPeerListed(const std::string& key, const ListedBalancer& peer,
                    EntryAge age);
  void OnPeerRemoved(const std::string& key) { peers_.erase(key); }
  /** Records a version message, which only a running balancer sends. */
  void OnPeerVersion(const std::string& key);

  /**
   * Returns whether this process may report itself ready; once it may, it
   * always may. To be called after the first read, when nothing else prevents
   * readiness.
   */
  bool Allows(TimePoint now);
  /** Returns for how long Allows() has delayed readiness. */
  Duration waited(TimePoint now) const;

 private:
  struct Peer {
    ListedBalancer listed;
    /** Has written its entry or sent a version since the first read. */
    bool shown_running = false;
  };
  /** Capacities as shares of the largest listed value of each resource. */
  struct Capacities {
    std::optional<double> own;
    double largest = 0;
    double zone = 0;
    double zone_running = 0;
  };

  Capacities Compare() const;
  void BeginWait(TimePoint now, const Capacities& capacities);
  void EndWait(TimePoint now, const char* reason, const Capacities& capacities);

  EventLog& log_;
  ListedBalancer own_;
  TimePoint started_{};
  bool earlier_entry_ = false;
  bool allowed_ = false;
  std::optional<TimePoint> wait_began_;
  Duration waited_{};
  std::map<std::string, Peer> peers_;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_DAEMON_STARTUP_READINESS_H_
