#!/usr/bin/env bash
# A zone with three backends and their agents loses power and is back 3.5 s later; its
# backends are cold then. With TROUBLE=0 the zone keeps its power.
. "$(dirname "$0")/../standins-3/run-case.sh"
AGENTS=5 SOUTHERN_AGENTS=3
if [ "${TROUBLE:-1}" = 0 ]; then
  run_world 30 zone-loss-none
  finish
fi
run_world 30 zone-loss
wait_for zone-off
kill -KILL "${PIDS[agent-2]}" "${PIDS[agent-3]}" "${PIDS[agent-4]}"
wait "${PIDS[agent-2]}" "${PIDS[agent-3]}" "${PIDS[agent-4]}" 2>/dev/null
for i in 2 3 4; do
  wait_for on-$i
  start agent $i
done
finish
