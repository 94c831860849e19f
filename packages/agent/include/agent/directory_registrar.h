#ifndef SESAMESADDLE_AGENT_DIRECTORY_REGISTRAR_H_
#define SESAMESADDLE_AGENT_DIRECTORY_REGISTRAR_H_

#include <map>
#include <vector>

#include "core/time.h"
#include "node/control_plane.h"
#include "node/outbox.h"

namespace sesamesaddle {

/**
 * Registers owned flows with their home agents, and removes those given up, in
 * bounded batches that are retransmitted until they are acknowledged.
 */
class DirectoryRegistrar {
 public:
  static constexpr size_t kEntriesPerBatch = 24;
  /**
   * Unacknowledged batches per home agent. Limits the rate at which all flows
   * are registered again.
   */
  static constexpr size_t kBatchesInFlight = 4;
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(150);

  explicit DirectoryRegistrar(ControlPlane& control) : control_(control) {}

  void Register(MemberId home, const schema::DirectoryEntry& entry);
  void Remove(MemberId home, const schema::DirectoryEntry& entry);
  void OnAck(const schema::DirectoryAck& ack);
  void OnTick(TimePoint now, Outbox& out);
  void ForgetHomeAgent(MemberId home);
  bool idle() const { return queued_changes_.empty() && in_flight_.empty(); }

 private:
  struct QueuedChanges {
    std::vector<schema::DirectoryEntry> entries;
    std::vector<schema::DirectoryEntry> removed;
  };
  struct InFlight {
    MemberId home;
    schema::DirectoryUpdate update;
    TimePoint next_send;
  };

  void Send(TimePoint now, InFlight& batch, Outbox& out);
  void StartBatches(TimePoint now, MemberId home, QueuedChanges& queued,
                    Outbox& out);

  ControlPlane& control_;
  std::map<MemberId, QueuedChanges> queued_changes_;
  std::map<int64_t, InFlight> in_flight_;
  std::map<MemberId, size_t> in_flight_count_;
  int64_t next_batch_ = 1;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_AGENT_DIRECTORY_REGISTRAR_H_
