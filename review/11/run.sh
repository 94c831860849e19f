#!/usr/bin/env bash
# An agent is killed and starts again while all flows of its backend pause. Then the
# store turns its machine away for 1 s and takes its keys, and the balancers are killed
# at that moment. With TROUBLE=0 none of it happens.
. "$(dirname "$0")/../standins-3/run-case.sh"
AGENTS=8
if [ "${TROUBLE:-1}" = 0 ]; then
  run_world 30 lost-entry-none
  finish
fi
run_world 30 lost-entry
wait_for kill-agent
kill -KILL "${PIDS[agent-0]}"
wait "${PIDS[agent-0]}" 2>/dev/null
sleep 0.5
start agent 0
wait_for kill-balancers
kill -KILL "${PIDS[balancer-0]}" "${PIDS[balancer-1]}" "${PIDS[balancer-2]}"
wait "${PIDS[balancer-0]}" "${PIDS[balancer-1]}" "${PIDS[balancer-2]}" 2>/dev/null
sleep 0.3
for i in 0 1 2; do start balancer $i; done
finish
