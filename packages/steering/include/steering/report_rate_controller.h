#ifndef SESAMESADDLE_STEERING_REPORT_RATE_CONTROLLER_H_
#define SESAMESADDLE_STEERING_REPORT_RATE_CONTROLLER_H_

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace sesamesaddle {

/**
 * How often a balancer wants to hear of each agent's load. Reports that answer
 * a new flow or a query come in any case; the others share what these leave of
 * a budget, so that what a balancer receives stays the same while the fleet
 * grows.
 */
class ReportRateController {
 public:
  /**
   * Reports a second that a balancer takes. A report has about 73 bytes with
   * its headers, and the users' limit for control is 12 KB a second; a tenth of
   * it is left for queries and versions.
   */
  static constexpr int64_t kMaxReportsPerSecond = 150;
  /** What reports that answer nothing get at the least. */
  static constexpr int64_t kMinPeriodicReportsPerSecond = 15;
  /** Shortest time between two reports of an agent to a balancer. */
  static constexpr Duration kMinPeriod = std::chrono::milliseconds(50);

  /**
   * @param agents  that were sent packets in the last second
   * @param asked   new flows and queries of the last second; an agent that
   *                answers many of them reports often enough anyway
   */
  void Update(size_t agents, int64_t solicited);

  /** @return the wanted time between reports of one agent. */
  Duration period() const { return period_; }

  /** The period as it travels with packets to agents. */
  uint32_t Pack() const;
  /** @return the period; the shortest if the packet carries none. */
  static Duration Unpack(uint32_t packed);

 private:
  Duration period_ = kMinPeriod;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_REPORT_RATE_CONTROLLER_H_
