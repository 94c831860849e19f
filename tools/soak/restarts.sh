# shellcheck shell=bash
# Part of run.sh: planned restarts of agents and balancers in overlapping series.
# Each process ends by SIGTERM and starts again 0.2 to 1.5 s after its end. The
# seed determines the order and the times between the steps.

declare -A STATE DUE  # stopping or down; when a process that is down starts, in ms
now_ms() { NOW=$((${EPOCHREALTIME/[.,]/} / 1000)); }
count_out() {  # ROLE -> OUT: its processes that stop or are down
  local name
  OUT=0
  for name in "${!STATE[@]}"; do [ "${name%-*}" = "$1" ] && OUT=$((OUT + 1)); done
}
# Starts what is due, and plans the start of what has ended.
advance_restarts() {
  local name
  now_ms
  for name in "${!STATE[@]}"; do
    if [ "${STATE[$name]}" = stopping ]; then
      kill -0 "${PIDS[$name]}" 2>/dev/null && continue
      echo "soak: $name ended at $NOW" >>"$WORK/plan.log"
      STATE[$name]=down DUE[$name]=$((NOW + 200 + RANDOM % 1300))
    elif [ $NOW -ge "${DUE[$name]}" ]; then
      echo "soak: $name starts at $NOW" >>"$WORK/plan.log"
      unset "STATE[$name]"
      start "${name%-*}" "${name#*-}"
    fi
  done
}
# A step of a role's series: the next process in turn, if few enough are out.
declare -A TURN=([agent]=0 [balancer]=0) STEP=([agent]=0 [balancer]=0)
step_series() {  # ROLE SIZE MOST_OUT
  local name="$1-$((TURN[$1] % $2))"
  [ $NOW -ge "${STEP[$1]}" ] || return
  STEP[$1]=$((NOW + 100 + RANDOM % 500))
  count_out "$1"
  [ $OUT -lt "$3" ] && [ -z "${STATE[$name]:-}" ] || return
  TURN[$1]=$((TURN[$1] + 1 + RANDOM % 2))
  echo "soak: $name TERM at $NOW" >>"$WORK/plan.log"
  kill -TERM "${PIDS[$name]}"
  STATE[$name]=stopping
}
# On a busy machine the start of a `sleep` takes too long.
exec {SILENCE}<> <(:)
# Restarts until `end`, and then waits until all processes run.
restart_series() {
  while [ $SECONDS -lt $end ] || [ ${#STATE[@]} -gt 0 ]; do
    advance_restarts
    if [ $SECONDS -lt $end ]; then
      step_series agent "$TARGETS" $(((TARGETS + 2) / 3))
      step_series balancer "$BALANCERS" $((BALANCERS / 2))
    fi
    read -rt 0.05 -u "$SILENCE"
  done
}
