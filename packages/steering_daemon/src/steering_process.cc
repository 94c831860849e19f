#include "steering_daemon/steering_process.h"

#include <algorithm>

namespace sesamesaddle {

std::string DirectoryKeys::OfTarget(const Endpoint& agent) {
  return kTargetPrefix + agent.ToString();
}

std::string DirectoryKeys::OfBalancer(const Endpoint& control) {
  return kBalancerPrefix + control.ToString();
}

RegistrationTimes TimesOfEntry(const SteeringSettings& settings) {
  RegistrationTimes times;
  times.lease = std::max(times.lease, settings.shortest_lease);
  return times;
}

}  // namespace sesamesaddle
