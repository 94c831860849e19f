#ifndef SESAMESADDLE_STEERING_REPORT_RATE_CONTROLLER_H_
#define SESAMESADDLE_STEERING_REPORT_RATE_CONTROLLER_H_

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace sesamesaddle {

/**
 * Computes the period of agents' load reports to a balancer. Reports that
 * answer a new flow or a query are sent in any case; periodic reports share the
 * rest of a fixed budget, so that the rate a balancer receives doesn't grow
 * with the number of agents.
 */
class ReportRateController {
 public:
  /**
   * Maximum rate of reports to a balancer. A report has about 73 bytes with its
   * headers, and the users' limit for control traffic is 12 KB/s; a tenth of it
   * is left for queries and versions.
   */
  static constexpr int64_t kMaxReportsPerSecond = 150;
  /** Minimum share of the budget for periodic reports. */
  static constexpr int64_t kMinPeriodicReportsPerSecond = 15;
  /** Minimum time between two reports of an agent to a balancer. */
  static constexpr Duration kMinPeriod = std::chrono::milliseconds(50);

  /**
   * Updates the period.
   * @param agents     agents that were sent packets in the last second
   * @param solicited  new flows and queries in the last second; an agent that
   *                 answers many of them reports often enough anyway
   */
  void Update(size_t agents, int64_t solicited);

  /** Returns the report period to ask of each agent. */
  Duration period() const { return period_; }

  /** Encodes the period in milliseconds for the echo field of packets. */
  uint32_t Pack() const;
  /** Decodes the period; kMinPeriod if the packet carries none. */
  static Duration Unpack(uint32_t packed);

  /**
   * Encodes the period in kMaxReportStep steps of a quarter of an octave, from
   * kMinPeriod to 2,751 s; rounds up, by 19% at most, to keep to the budget.
   */
  uint8_t PackStep() const { return step_; }
  /** Decodes the period from a step. */
  static Duration UnpackStep(uint8_t step);

 private:
  Duration period_ = kMinPeriod;
  uint8_t step_ = 0;
};

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_STEERING_REPORT_RATE_CONTROLLER_H_
