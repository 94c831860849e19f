#include "flow_location/route_history.h"

#include <algorithm>

namespace sesamesaddle {
namespace {

bool LeadsTo(const Route* route, const std::string& service) {
  return route != nullptr &&
         std::any_of(route->services.begin(), route->services.end(),
                     [&service](const WeightedService& share) {
                       return share.service == service;
                     });
}

}  // namespace

void RouteHistory::Record(TimePoint now, const RouteTable& before,
                          const RouteTable& after,
                          UpdateContinuity continuity) {
  if (!started_ || continuity == UpdateContinuity::kAfterGap) {
    continuous_since_ = now;
  }
  started_ = true;
  Expire(now);
  for (const auto& [address, route] : before.routes) {
    const Route* next = after.Find(address);
    for (const WeightedService& share : route.services) {
      if (!LeadsTo(next, share.service)) {
        former_services_[address][share.service] = now;
      }
    }
  }
}

std::vector<std::string> RouteHistory::ServicesOf(TimePoint now,
                                                  const Endpoint& address,
                                                  const Route& route) const {
  std::vector<std::string> services;
  for (const WeightedService& share : route.services) {
    services.push_back(share.service);
  }
  const auto former_services = former_services_.find(address);
  if (former_services == former_services_.end()) return services;
  for (const auto& [service, until] : former_services->second) {
    if (now - until <= lifetime_ && !LeadsTo(&route, service)) {
      services.push_back(service);
    }
  }
  return services;
}

bool RouteHistory::CoversFlowLifetime(TimePoint now) const {
  return started_ && now - continuous_since_ > lifetime_;
}

void RouteHistory::Expire(TimePoint now) {
  for (auto it = former_services_.begin(); it != former_services_.end();) {
    auto& services = it->second;
    for (auto service = services.begin(); service != services.end();) {
      service = now - service->second > lifetime_ ? services.erase(service)
                                                  : std::next(service);
    }
    it = services.empty() ? former_services_.erase(it) : std::next(it);
  }
}

}  // namespace sesamesaddle
