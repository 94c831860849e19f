#ifndef SESAMESADDLE_FLOW_LOCATION_FLOW_RECORD_POLICY_H_
#define SESAMESADDLE_FLOW_LOCATION_FLOW_RECORD_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/endpoint.h"
#include "core/time.h"
#include "steering_types.h"

namespace sesamesaddle {

/**
 * A complete record counts for this time after it was made. It bounds the time
 * in which a process whose writes do not reach the store may open flows that
 * the record lacks, and end before it can replace it.
 */
constexpr Duration kCompleteRecordValidity = std::chrono::seconds(3);

/**
 * Whether the record has all flows that its target held when the process that
 * wrote it ended.
 * @param now_ms  Unix time in milliseconds at the start of the next process
 * @param entry_revision  store revision of the agent's entry then, if there is
 *        one
 */
bool HasAllFlows(const schema::FlowRecord& record, int64_t now_ms,
                 std::optional<int64_t> entry_revision);

/**
 * Decides when an agent writes the record of its target's open flows to the
 * store. The record only matters after a power loss, so it may lag behind: the
 * policy trades flows that it misses for writes, whose rate must not grow with
 * the fleet. Only flows whose requests must run at most once make a record due:
 * a request that is sent into such a flow after the loss is lost, where others
 * are sent again. It answers for the write load of the store.
 */
class FlowRecordPolicy {
 public:
  /** Share of the store's write rate for the records of all agents. */
  static constexpr double kWriteShare = 0.25;
  /** Minimum time between two records. */
  static constexpr Duration kMinInterval = std::chrono::seconds(1);
  /** A record that misses any such flow is replaced after this time. */
  static constexpr Duration kMaxLag = std::chrono::seconds(3);
  /** A record that misses more than this share of them is replaced. */
  static constexpr double kMaxMissingShare = 0.25;
  /**
   * Clients accept the reset of an open flow within 76,800 of their latest
   * acknowledgement number (from the users' protocol); half of that is left for
   * what the client receives until the record is used.
   */
  static constexpr uint32_t kMaxSequenceLag = 38400;

  /** @param writes_per_second  write limit of the store for the whole system */
  explicit FlowRecordPolicy(double writes_per_second)
      : writes_per_second_(writes_per_second) {}

  /** Returns the minimum time between two records of one of `agents` agents. */
  Duration Interval(size_t agents) const;
  /** Whether `current` should replace the record written last. */
  bool IsDue(TimePoint now, size_t agents,
             const schema::FlowRecord& current) const;
  /** Called when a record is sent to the store. */
  void OnSent(TimePoint now) { last_sent_ = now; }
  /** Called when the store has acknowledged the record. */
  void OnWritten(const schema::FlowRecord& record);
  /** Called when the store may have no record or an older one. */
  void OnFailed() { written_.clear(); }

 private:
  bool IsRecorded(const schema::RecordedFlow& flow) const;

  double writes_per_second_;
  /** Acknowledgement numbers in the record of the store. */
  std::unordered_map<Flow, uint32_t> written_;
  TimePoint last_sent_{};
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_FLOW_LOCATION_FLOW_RECORD_POLICY_H_
