#!/usr/bin/env bash
# A zone with two backends and their agents loses power and is back 3.5 s later; its
# backends are cold then. With TROUBLE=0 the zone keeps its power.
. "$(dirname "$0")/../standins-3/run-case.sh"
AGENTS=4 SOUTHERN_AGENTS=2
if [ "${TROUBLE:-1}" = 0 ]; then
  run_world 30 zone-loss-none
  finish
fi
run_world 30 zone-loss
wait_for zone-off
kill -KILL "${PIDS[agent-2]}" "${PIDS[agent-3]}"
wait "${PIDS[agent-2]}" "${PIDS[agent-3]}" 2>/dev/null
wait_for on-2
start agent 2
wait_for on-3
start agent 3
finish
