#include "steering_daemon/startup_readiness.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "balancer";
// Sums of shares that are equal in decimal notation may differ by rounding.
constexpr double kRounding = 1e-9;

/** Returns a value that can be compared; records may contain any number. */
std::optional<double> Known(const std::optional<double>& value) {
  if (!value || !std::isfinite(*value) || *value <= 0) return std::nullopt;
  return value;
}

void RaiseTo(double& largest, const std::optional<double>& value) {
  largest = std::max(largest, Known(value).value_or(0));
}

/** Returns the smaller ratio of the known values to the largest ones. */
std::optional<double> Share(const InstanceCapacity& capacity,
                            double largest_cpu_cores,
                            double largest_link_mbps) {
  std::optional<double> share;
  if (const auto cores = Known(capacity.cpu_cores)) {
    share = *cores / largest_cpu_cores;
  }
  if (const auto mbps = Known(capacity.link_mbps)) {
    share = std::min(share.value_or(1), *mbps / largest_link_mbps);
  }
  return share;
}

}  // namespace

StartupReadiness::StartupReadiness(EventLog& log, ListedBalancer own)
    : log_(log), own_(std::move(own)) {}

void StartupReadiness::OnPeerListed(const std::string& key,
                                    const ListedBalancer& peer, EntryAge age) {
  if (allowed_) return;
  Peer& known = peers_[key];
  known.listed = peer;
  if (age == EntryAge::kWrittenSince) known.shown_running = true;
}

void StartupReadiness::OnPeerVersion(const std::string& key) {
  const auto it = peers_.find(key);
  if (it != peers_.end()) it->second.shown_running = true;
}

StartupReadiness::Capacities StartupReadiness::Compare() const {
  double cpu_cores = 0;
  double link_mbps = 0;
  RaiseTo(cpu_cores, own_.capacity.cpu_cores);
  RaiseTo(link_mbps, own_.capacity.link_mbps);
  for (const auto& [key, peer] : peers_) {
    RaiseTo(cpu_cores, peer.listed.capacity.cpu_cores);
    RaiseTo(link_mbps, peer.listed.capacity.link_mbps);
  }
  Capacities capacities;
  capacities.own = Share(own_.capacity, cpu_cores, link_mbps);
  capacities.largest = capacities.own.value_or(0);
  capacities.zone = capacities.largest;
  capacities.zone_running = capacities.largest;
  for (const auto& [key, peer] : peers_) {
    const double share =
        Share(peer.listed.capacity, cpu_cores, link_mbps).value_or(0);
    capacities.largest = std::max(capacities.largest, share);
    if (peer.listed.zone != own_.zone) continue;
    capacities.zone += share;
    const bool runs = peer.shown_running || !earlier_entry_;
    if (runs) capacities.zone_running += share;
  }
  return capacities;
}

bool StartupReadiness::Allows(TimePoint now) {
  if (allowed_) return true;
  const Capacities capacities = Compare();
  if (!capacities.own ||
      *capacities.own + kRounding >= kSmallShare * capacities.largest) {
    EndWait(now, "no-larger-balancer", capacities);
  } else if (capacities.zone_running + kRounding >=
             kRunningShare * capacities.zone) {
    EndWait(now, "zone-runs", capacities);
  } else if (now - started_ >= kMaxWait) {
    EndWait(now, "time-limit", capacities);
  } else {
    BeginWait(now, capacities);
  }
  return allowed_;
}

void StartupReadiness::BeginWait(TimePoint now, const Capacities& capacities) {
  if (wait_began_) return;
  wait_began_ = now;
  LogLine(log_, EventKind::kProcess, kLogComponent, "startup-wait-begins")
      .Add("capacity", *capacities.own)
      .Add("largest", capacities.largest)
      .Add("zone_capacity", capacities.zone)
      .Add("running", capacities.zone_running)
      .Add("balancers", peers_.size() + 1);
}

void StartupReadiness::EndWait(TimePoint now, const char* reason,
                               const Capacities& capacities) {
  waited_ = waited(now);
  allowed_ = true;
  if (wait_began_) {
    LogLine(log_, EventKind::kProcess, kLogComponent, "startup-wait-ends")
        .Add("waited", waited_)
        .Add("reason", reason)
        .Add("zone_capacity", capacities.zone)
        .Add("running", capacities.zone_running)
        .Add("balancers", peers_.size() + 1);
  }
  peers_.clear();
}

Duration StartupReadiness::waited(TimePoint now) const {
  if (allowed_ || !wait_began_) return waited_;
  // The next call after the longest wait may come later than its end.
  return std::min(now, started_ + kMaxWait) - *wait_began_;
}

}  // namespace sesamesaddle
