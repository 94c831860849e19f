#include "steering_daemon/settings_watcher.h"

namespace sesamesaddle {
namespace {

constexpr char kLogComponent[] = "settings";

bool SameAddresses(const SteeringSettings& a, const SteeringSettings& b) {
  return a.ip == b.ip && a.packet_address == b.packet_address &&
         a.outbound == b.outbound && a.readiness == b.readiness &&
         a.control == b.control && a.target == b.target && a.store == b.store &&
         a.first_port == b.first_port;
}

bool SameReloadableSettings(const SteeringSettings& a,
                            const SteeringSettings& b) {
  return a.service == b.service && a.seeds == b.seeds &&
         a.flow_lifetime == b.flow_lifetime && a.stop_grace == b.stop_grace;
}

/**
 * Returns the settings that differ and need a restart, by the names of
 * SteeringSettings.
 */
std::string FindIgnored(const SteeringSettings& a, const SteeringSettings& b) {
  std::string names;
  const auto add = [&names](bool same, const char* name) {
    if (!same) names += (names.empty() ? "" : ",") + std::string(name);
  };
  add(a.name == b.name, "name");
  add(a.zone == b.zone, "zone");
  add(a.regions == b.regions, "regions");
  add(a.capacity.cpu_cores == b.capacity.cpu_cores, "cpu_cores");
  add(a.capacity.link_mbps == b.capacity.link_mbps, "link_mbps");
  add(a.min_lease == b.min_lease, "min_lease");
  add(a.store_reads_per_second == b.store_reads_per_second,
      "store_reads_per_second");
  add(a.store_writes_per_second == b.store_writes_per_second,
      "store_writes_per_second");
  add(SameAddresses(a, b), "addresses");
  return names;
}

}  // namespace

std::optional<SteeringSettings> SettingsWatcher::Check(
    TimePoint now, bool requested, const SteeringSettings& current) {
  if (!requested && now < next_check_) return std::nullopt;
  next_check_ = now + kPeriod;
  const auto read = source_.Read();
  if (!read) {
    if (requested || read.error() != last_error_) {
      LogLine(log_, EventKind::kProcess, kLogComponent, "reload-refused")
          .Add("reason", read.error());
    }
    last_error_ = read.error();
    return std::nullopt;
  }
  last_error_.clear();
  const bool same_addresses = SameAddresses(*read, current);
  const bool changed = !SameReloadableSettings(*read, current);
  if (requested || changed) {
    LogLine(log_, EventKind::kProcess, kLogComponent, "reload")
        .Add("requested", requested)
        .Add("changed", changed)
        .Add("restart_needed_for_addresses", !same_addresses);
  }
  LogIgnored(FindIgnored(*read, current));
  if (!changed) return std::nullopt;
  SteeringSettings next = current;
  next.service = read->service;
  next.seeds = read->seeds;
  next.flow_lifetime = read->flow_lifetime;
  next.stop_grace = read->stop_grace;
  return next;
}

void SettingsWatcher::LogIgnored(const std::string& names) {
  if (names == last_ignored_) return;
  last_ignored_ = names;
  if (names.empty()) return;
  LogLine(log_, EventKind::kProcess, kLogComponent, "settings-ignored")
      .Add("until_restart", names);
}

}  // namespace sesamesaddle
