#include "steering_daemon/steering_process.h"

#include <algorithm>
#include <utility>

namespace sesamesaddle {

std::string DirectoryKeys::OfTarget(const Endpoint& agent) {
  return kTargetPrefix + agent.ToString();
}

std::string DirectoryKeys::OfBalancer(const Endpoint& control) {
  return kBalancerPrefix + control.ToString();
}

std::string DirectoryKeys::OfFlowRecord(const Endpoint& agent) {
  return kFlowRecordPrefix + agent.ToString();
}

tl::expected<void, NetError> OpenSocket(EventLoop& loop, const Endpoint& local,
                                        PacketSocket::Handlers handlers,
                                        std::unique_ptr<PacketSocket>& socket) {
  auto opened = PacketSocket::Open(loop, local, std::move(handlers));
  if (!opened) return tl::unexpected(opened.error());
  socket = std::move(*opened);
  return {};
}

RegistrationOptions MakeRegistrationOptions(const SteeringSettings& settings) {
  RegistrationOptions options;
  options.lease_ttl = std::max(options.lease_ttl, settings.min_lease);
  return options;
}

}  // namespace sesamesaddle
