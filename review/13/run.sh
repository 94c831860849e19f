#!/usr/bin/env bash
# Another writer's heartbeats, which lack `born`, reach an agent. With TROUBLE=0
# they are not sent.
. "$(dirname "$0")/../standins-3/run-case.sh"
trouble=odd-heartbeat
[ "${TROUBLE:-1}" = 0 ] && trouble=none
run_world 45 $trouble
finish
