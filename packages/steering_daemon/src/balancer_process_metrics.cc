// The metrics of BalancerProcess.

#include "steering_daemon/balancer_process.h"

namespace sesamesaddle {

MetricValues BalancerProcess::CollectMetrics() const {
  const FlowBalancerCounters& c = balancer_.counters();
  MetricValues values = {
      {"client_packets_total", c.packets},
      {"syns_total", c.syns},
      {"flows_placed_total", c.placed},
      {"flows_placed_again_total", c.placed_again},
      {"flows_placed_by_overflow_total", c.placed_by_overflow},
      {"syns_refused_by_agents_total", c.refused_by_agents},
      {"syns_yielded_by_agents_total", c.yielded_by_agents},
      {"packets_offered_total", c.offers},
      {"flow_queries_total", c.queries},
      {"agent_probes_total", c.probes},
      {"reports_received_total", c.reports},
      {"report_period_ms",
       balancer_.report_period() / std::chrono::milliseconds(1)},
      {"flow_searches_total", c.searches},
      {"digest_rounds_total", balancer_.digest_counters().rounds},
      {"digest_queries_total", balancer_.digest_counters().queries},
      {"digests_received_total", balancer_.digest_counters().digests},
      {"digests_refused_total", balancer_.digest_counters().without_digest},
      {"digests_unmatched_total", balancer_.digest_counters().unmatched},
      {"flows_resolved_by_digest_total", balancer_.flows_resolved_by_digest()},
      {"resets_no_route_total", c.resets_no_route},
      {"resets_no_target_total", c.resets_no_target},
      {"resets_overload_total", c.resets_overload},
      {"attempts_over_total", c.attempts_over},
      {"resets_zones_evacuated_total", c.resets_zones_evacuated},
      {"zones_evacuated", zones_.EvacuatedCount()},
      {"notices_sent_total", c.notices},
      {"missing_entries_reported_total", c.missing_entries_reported},
      {"flows_waited_for_room_total", c.waited_for_room},
      {"resets_nobody_holds_total", c.resets_nobody_holds},
      {"resets_target_gone_total", c.resets_target_gone},
      {"resets_target_silent_total", c.resets_target_silent},
      {"unrouted_packets_total", c.unrouted_packets},
      {"unrouted_flows_routed_total", c.unrouted_found},
      {"instance_probes_total", c.instance_probes},
      {"instance_answers_total", c.instance_answers},
      {"malformed_packets_total", c.malformed},
      {"malformed_control_total", malformed_control_},
      {"entries_refused_total", refused_entries_},
      {"flows", static_cast<int64_t>(balancer_.flow_count())},
      {"targets", static_cast<int64_t>(directory_.size())},
      {"peers", static_cast<int64_t>(exchange_.peer_count())},
      {"configuration_version", balancer_.routes().version},
      {"configuration_revision", follower_.configuration_revision().number},
      {"directory_revision", follower_.directory_revision().number},
      {"store_era", follower_.directory_revision().era.value()},
      {"store_era_changes_total", follower_.counters().era_changes},
      {"restored_entries_held_total",
       follower_.counters().restored_entries_held},
      {"restored_entries_lost_total", follower_.counters().entries_lost},
      {"store_current", follower_.current() ? 1 : 0},
      {"watches_store", follower_.role() == WatchRole::kFollower ? 0 : 1},
      {"store_followers", static_cast<int64_t>(exchange_.follower_count())},
      {"changes_from_watchers_total", follower_.counters().batches_from_peers},
      {"watches_without_watcher_total",
       follower_.counters().watches_without_peer},
      {"startup_wait_ms",
       startup_.waited(deps_.loop.Now()) / std::chrono::milliseconds(1)},
      {"send_failures_total",
       client_socket_->send_failures() + agent_socket_->send_failures()},
  };
  AddStoreMetrics(deps_.store.counts(), values);
  AddLogMetrics(deps_.log.counts(), values);
  loop_lag_.AddMetrics(values);
  return values;
}

}  // namespace sesamesaddle
