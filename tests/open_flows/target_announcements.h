#ifndef SESAMESADDLE_TESTS_OPEN_FLOWS_TARGET_ANNOUNCEMENTS_H_
#define SESAMESADDLE_TESTS_OPEN_FLOWS_TARGET_ANNOUNCEMENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "steering_world.h"

namespace sesamesaddle {

/** How a target differs from the one that ran on its machine before. */
enum class NextTarget : uint8_t {
  kNewId,
  /** It starts again under the same id. */
  kSameId,
  /** Like kNewId, and its clock was set back. */
  kClockSetBack,
};

/**
 * Announces the targets of a world to their agents once a second, as text that
 * the platform's reader parses, and lets these calls arrive late, twice, out of
 * order, or from another writer. A call that an agent's process does not get
 * before it ends is lost, like its connection.
 */
class TargetAnnouncements {
 public:
  /** Both must outlive it. */
  TargetAnnouncements(SteeringWorld& world, RandomSource& random);

  /** Starts the announcements of all targets. */
  void Begin();
  /**
   * Called when the next target has started on a machine; it announces itself
   * after `delay`.
   */
  void OnStart(size_t i, NextTarget next, Duration slow_start, Duration delay);
  /** Holds up all calls of the target until `duration` has passed. */
  void CutOff(size_t i, Duration duration);
  /** Sends an announcement that arrives after `delay`. */
  void SendLate(size_t i, Duration delay);
  /** Delivers the latest announcement again after `delay`. */
  void Repeat(size_t i, Duration delay);
  /** Sends a deregistration of the target that arrives after `delay`. */
  void Deregister(size_t i, Duration delay);
  /**
   * Sends `calls` announcements of another writer, all with the same odd field,
   * under the id of the running target, of the one before it, or of none.
   */
  void SendOdd(size_t i, int calls);

 private:
  /** One incarnation of a target. */
  struct Sender {
    std::string id;
    int64_t born_ms = 0;
    int64_t sequence = 0;
    TimePoint cold_until{};
  };
  /** What an agent's HTTP server knows of a connection. */
  struct Connection {
    int64_t number = 0;
    const FlowAgent* agent = nullptr;
    /** Later one of its start and its last response. */
    TimePoint sent_after{};
    /** A call has got no response yet. */
    bool waiting = false;
  };
  struct Call {
    std::string id;
    /** Empty for a deregistration. */
    std::string body;
    TimePoint sent_after{};
    /** Number of the target's connection; 0 for another writer's. */
    int64_t connection = 0;
  };

  void AnnouncePeriodically(size_t i);
  /** Returns a call of the target on its connection, without a body. */
  Call MakeCall(size_t i);
  /** Returns the next announcement of the target, on its connection. */
  Call MakeAnnouncement(size_t i);
  /** Returns the time for which calls of the target are held up now. */
  Duration HeldUp(size_t i) const;
  void Send(size_t i, const Call& call, Duration delay);
  /** Hands the call to the agent's process, as AgentProcess does. */
  void Handle(size_t i, FlowAgent& agent, const Call& call);
  std::string BodyOf(size_t i, const Sender& sender) const;
  /** How the announcements of another writer differ from the target's. */
  struct Oddity {
    std::string id;
    /** Number of the field. */
    size_t field = 0;
    /** Missing, of another type, out of range, or the text ends early. */
    uint64_t kind = 0;
  };
  void SendOddCalls(size_t i, const Oddity& oddity, int calls);
  static std::string MakeOdd(const std::string& body, const Oddity& oddity);

  SteeringWorld& world_;
  RandomSource& random_;
  std::vector<Sender> senders_;
  std::vector<Sender> former_;
  std::vector<Connection> connections_;
  std::vector<TimePoint> cut_until_;
  std::vector<Call> latest_;
  int incarnations_ = 0;
  int64_t odd_sequence_ = 1000;
  int64_t last_connection_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_OPEN_FLOWS_TARGET_ANNOUNCEMENTS_H_
