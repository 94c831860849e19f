# shellcheck shell=bash
# Part of run.sh: evacuates and restores the availability zone z0 while requests
# run. Prints what does not hold and returns 1 then.

# One of the metrics of a process, nothing if it does not answer.
metric() {  # ROLE INDEX NAME
  local kind=1
  [ "$1" = agent ] && kind=2
  curl -s -m 1 "http://127.$kind.0.$(($2 + 1)):$((PORT + 11))/metrics" |
    sed -n "s/^sesamesaddle_$3 //p"
}
# Whether each balancer and each agent of z0 (the even ones) has that state.
all_show() {  # 0|1
  local i
  for ((i = 0; i < BALANCERS; ++i)); do
    [ "$(metric balancer $i zones_evacuated)" = "$1" ] || return 1
  done
  for ((i = 0; i < TARGETS; i += 2)); do
    [ "$(metric agent $i zones_evacuated)" = "$1" ] || return 1
  done
}
wait_for() {  # TENTHS COMMAND...
  local tenths=$1 i
  shift
  for ((i = 0; i < tenths; ++i)); do
    "$@" && return
    sleep 0.1
  done
  echo "soak: not within $((tenths / 10)) s: $*"
  return 1
}
new_flows() {  # Flows that the targets of z0 have accepted.
  local sum=0 i
  for ((i = 0; i < TARGETS; i += 2)); do
    sum=$((sum + $(metric agent $i flows_accepted_total)))
  done
  echo $sum
}
store_write() { curl -s -m 1 -X POST "http://$STORE/v1/kv-txn" -d "$1" >/dev/null; }
# Balancers that were not told must not reach z0 either.
no_new_flows() {  # SECONDS
  local before
  before=$(new_flows)
  sleep "$1"
  [ "$(new_flows)" = "$before" ] && return
  echo "soak: $(($(new_flows) - before)) new flows in an evacuated zone"
  return 1
}
has_new_flows() { [ "$(new_flows)" -gt "$1" ]; }

evacuation_plan() {
  local i before
  curl -s -m 1 -X POST "http://$STORE/control?mode=copy" >/dev/null
  all_show 0 || { echo "soak: a zone is evacuated at the start" && return 1; }
  wait_for 50 has_new_flows 0 || return 1
  store_write '{"writes":[{"key":"op/evacuate/z0","value":""}]}'
  # The platform's bound from the acknowledgement on.
  wait_for 50 all_show 1 || return 1
  no_new_flows 2 || return 1
  # One at a time: a fresh balancer notifies all agents, also a fresh one.
  restart balancer-0 KILL
  wait_for 50 all_show 1 || return 1
  sleep 3
  restart agent-0 KILL
  wait_for 50 all_show 1 || return 1
  no_new_flows 1 || return 1
  # The store comes back from a copy without the key, which the operators write
  # again after a second.
  curl -s -m 1 -X POST "http://$STORE/control?mode=restore&ms=1000" >/dev/null
  for ((i = 0; i < 10; ++i)); do
    all_show 1 || { echo "soak: the evacuation ended with the era" && return 1; }
    no_new_flows 0.4 || return 1
  done
  store_write '{"remove":["op/evacuate/z0"]}'
  wait_for 50 all_show 0 || return 1
  before=$(new_flows)
  wait_for 50 has_new_flows "$before"
}
