// Simulates clients, routers and targets of packet flows on loopback and checks
// the system's guarantees. run.sh starts the system and injects the faults.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "packet_world.h"

int main(int argc, char** argv) {
  sesamesaddle::SoakOptions options;
  bool planned = false;
  CLI::App app("Clients, routers and targets of packet flows on loopback.");
  app.add_option("--balancers", options.balancers);
  app.add_option("--targets", options.targets);
  app.add_option("--clients", options.clients);
  app.add_option("--seconds", options.seconds);
  app.add_option("--calm-seconds", options.calm_seconds);
  app.add_option("--seed", options.seed);
  app.add_option("--base-port", options.base_port);
  app.add_option("--store", options.store);
  app.add_option("--lost-packets", options.lost_packets, "Of a thousand");
  app.add_flag("--crashes,!--no-crashes", options.crashes);
  app.add_flag("--drains,!--no-drains", options.drains);
  app.add_flag("--changes,!--no-changes", options.changes,
               "Change the configuration again and again");
  app.add_option("--slow-start-ms", options.slow_start_ms);
  app.add_option("--warmup-per-s", options.warmup_per_s,
                 "Limit of new flows to a target in slow start; 0: none");
  app.add_flag("--open-flows", options.open_flows,
               "Clients keep flows open, and none may break while its target "
               "lives");
  app.add_flag("--planned", planned, "Faults are planned: no flow may break");
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  const sesamesaddle::SteadyClock clock;
  sesamesaddle::EventLoop loop(clock);
  sesamesaddle::PacketWorld world(loop, options);
  const sesamesaddle::SoakVerdict seen = world.Run();
  const bool passed =
      seen.duplicate_runs == 0 && seen.wrong_service == 0 &&
      seen.wrong_answers == 0 && seen.changed_packets == 0 &&
      seen.calm_requests > 0 && seen.calm_failed == 0 &&
      seen.flows_after_drain == 0 && seen.versions_late == 0 &&
      sesamesaddle::KeptSlowStart(options, seen) &&
      (!options.open_flows ||
       (seen.open_resets == 0 && seen.misled_flows == 0)) &&
      (!planned || seen.resets == 0) &&
      (!(planned || options.open_flows) || seen.versions_back == 0);
  printf(
      "soak: requests=%ld answered=%ld calm_requests=%ld calm_answered=%ld "
      "calm_failed=%ld "
      "resets=%ld open_resets=%ld misled_flows=%ld duplicate_runs=%ld "
      "wrong_service=%ld wrong_answers=%ld "
      "changed_packets=%ld shed=%ld flows_after_drain=%ld crashes=%ld "
      "drains=%ld versions=%ld versions_late=%ld versions_back=%ld "
      "most_cold_flows=%ld "
      "verdict=%s\n",
      seen.requests, seen.answered, seen.calm_requests, seen.calm_answered,
      seen.calm_failed, seen.resets, seen.open_resets, seen.misled_flows,
      seen.duplicate_runs, seen.wrong_service, seen.wrong_answers,
      seen.changed_packets, seen.shed, seen.flows_after_drain, seen.crashes,
      seen.drains, seen.versions, seen.versions_late, seen.versions_back,
      seen.most_cold_flows, passed ? "held" : "BROKEN");
  return passed ? 0 : 1;
}
