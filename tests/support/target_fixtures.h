#ifndef SESAMESADDLE_TESTS_SUPPORT_TARGET_FIXTURES_H_
#define SESAMESADDLE_TESTS_SUPPORT_TARGET_FIXTURES_H_

#include <string>

#include "core/endpoint.h"
#include "steering_types.h"

namespace sesamesaddle {

inline schema::TargetRecord MakeRecord(uint32_t agent,
                                       const std::string& zone = "z",
                                       const std::string& id = "t") {
  schema::TargetRecord record;
  record.id = id;
  record.born_ms = 1;
  record.service_name = "orders";
  record.agent = Endpoint(agent, 8172).Pack();
  record.zone = zone;
  record.slots = 2;
  record.state = schema::TargetState::kReady;
  record.slow_start_ms = 0;
  return record;
}

inline schema::AgentReport MakeReport(uint32_t agent) {
  schema::AgentReport report;
  report.agent = Endpoint(agent, 8172).Pack();
  report.service_name = "orders";
  report.state = schema::TargetState::kReady;
  report.slots = 2;
  return report;
}

inline Flow MakeFlow(uint32_t i) {
  return {Endpoint(i, 40000), Endpoint(9, 443)};
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_TESTS_SUPPORT_TARGET_FIXTURES_H_
